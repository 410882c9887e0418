#include "gateway/gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <deque>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

/** A store with scripted results; it blocks when they are used up. */
class ScriptedStore
{
public:
    using ListAnswer = std::optional<ObjectPage>;

    struct WatchAnswer
    {
        std::optional<ObjectChanges> changes;
        ErrorCode failure = ErrorCode::PlatformUnavailable;
    };

    ObjectSource source()
    {
        ObjectSource source;
        source.list = [this](std::string, std::string after, ReadAge age, Error &reason) {
            this->ages.push_back(age);
            return this->list(std::move(after), reason);
        };
        source.watch = [this](std::string, std::uint64_t revision, Milliseconds, Error &reason) {
            return this->watch(revision, reason);
        };
        return source;
    }

    std::deque<ListAnswer> lists;
    std::deque<WatchAnswer> watches;
    std::vector<std::string> listedAfter;
    std::vector<ReadAge> ages;
    std::vector<std::uint64_t> watchedFrom;

private:
    static net::awaitable<void> hang()
    {
        net::steady_timer timer(co_await net::this_coro::executor,
                                net::steady_timer::time_point::max());
        co_await timer.async_wait(net::use_awaitable);
    }

    net::awaitable<std::optional<ObjectPage>> list(std::string after, Error &reason)
    {
        this->listedAfter.push_back(after);
        if (this->lists.empty())
            co_await hang();
        ListAnswer answer = std::move(this->lists.front());
        this->lists.pop_front();
        reason.code = ErrorCode::PlatformUnavailable;
        co_return answer;
    }

    net::awaitable<std::optional<ObjectChanges>> watch(std::uint64_t revision, Error &reason)
    {
        this->watchedFrom.push_back(revision);
        if (this->watches.empty())
            co_await hang();
        const WatchAnswer answer = this->watches.front();
        this->watches.pop_front();
        reason.code = answer.failure;
        co_return answer.changes;
    }
};

struct FollowerHarness
{
    explicit FollowerHarness(ScriptedStore &store,
                             Milliseconds resyncInterval = Milliseconds(60000),
                             Milliseconds watchInterval = Milliseconds(0))
        : now(std::make_shared<Milliseconds>(Milliseconds(1000)))
        , follower(
                  "kind", store.source(), Clock::manual(this->now),
                  [this](std::span<const RegisteredObject> objects, Milliseconds) {
                      std::string names;
                      for (const RegisteredObject &object : objects)
                          names += object.name;
                      this->lists.push_back(names);
                  },
                  [this](std::span<const ObjectChange> changes, Milliseconds) {
                      for (const ObjectChange &change : changes)
                          this->changes.push_back(change.object.name);
                  },
                  {Milliseconds(10), resyncInterval, watchInterval, Milliseconds(1),
                   Milliseconds(2)})
    {
    }

    void run()
    {
        this->follower.start(this->context);
        this->context.run_for(std::chrono::milliseconds(200));
    }

    net::io_context context;
    std::shared_ptr<Milliseconds> now;
    ObjectFollower follower;
    std::vector<std::string> lists;
    std::vector<std::string> changes;
};

ObjectPage makePage(const std::string &name, bool hasMore, std::uint64_t revision)
{
    return {{{name, revision, "{}"}}, hasMore, revision};
}

} // namespace

// Guards against missed changes because the watch starts after the last page.
TEST_CASE("The watch continues from the revision of the first page", "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", true, 10), makePage("b", false, 12)};
    store.watches = {{ObjectChanges{{{{"c", 13, "{}"}, false}}, 13}}};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"ab"});
    REQUIRE(store.listedAfter == std::vector<std::string>{"", "a"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{10, 13});
    REQUIRE(harness.changes == std::vector<std::string>{"c"});
}

// Guards against a follower that keeps requesting a dropped history.
TEST_CASE("Everything is read again after the history is gone", "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", false, 10), makePage("b", false, 40)};
    store.watches = {{std::nullopt, ErrorCode::HistoryGone}};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"a", "b"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{10, 40});
}

// Guards against accepting a list as complete although one of its pages failed.
TEST_CASE("A failed page discards the list", "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", true, 10), std::nullopt, makePage("a", false, 11)};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"a"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{11});
}

// Guards against objects of later pages that count as removed because a page in between has no
// object with a readable name, and against a page that is requested again and again.
TEST_CASE("A list with a page from which it can't continue is discarded", "[store][odd]")
{
    ScriptedStore store;
    store.lists = {makePage("a", true, 10), ObjectPage{{}, true, 10}, makePage("b", true, 11),
                   makePage("b", true, 11), makePage("c", false, 12)};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"c"});
    REQUIRE(store.listedAfter == std::vector<std::string>{"", "a", "", "b", ""});
}

// Guards against a list that mixes a store from before a restore with the copy: its entries would
// count as news, and the restore would be noticed only with the next list.
TEST_CASE("A list whose pages are from before and after a restore is read again", "[store]")
{
    const auto at = [](std::uint64_t era) {
        return storeposition::make(era, 10);
    };
    ScriptedStore store;
    store.lists = {makePage("a", true, at(1)), makePage("b", true, at(1)),
                   makePage("c", false, at(2)), makePage("d", false, at(2))};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"d"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{at(2)});
}

// Guards against changes that a failed watch did not report, and against dropping the known state
// while the store fails.
TEST_CASE("After a failed watch everything is read again and the old list is kept until then",
          "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", false, 11), std::nullopt, makePage("b", false, 12)};
    store.watches = {{std::nullopt}};
    FollowerHarness harness(store);
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"a", "b"});
    REQUIRE(store.ages == std::vector<ReadAge>(3, ReadAge::Current));
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{11, 12});
}

// Guards against a watch that reports no change although there were some.
TEST_CASE("Everything is read again if an old list shows a change that the watch did not report",
          "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", false, 10), makePage("b", false, 11), makePage("b", false, 12)};
    store.watches = {{ObjectChanges{{}, 12}}};
    FollowerHarness harness(store, Milliseconds(0));
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"a", "b"});
    REQUIRE(std::vector<ReadAge>(store.ages.begin(), store.ages.begin() + 3)
            == std::vector<ReadAge>{ReadAge::Current, ReadAge::Seconds, ReadAge::Current});
}

// Guards against old lists that revert removals or changes.
TEST_CASE("An old list without unknown changes is ignored", "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", false, 10), makePage("a", false, 10)};
    FollowerHarness harness(store, Milliseconds(0));
    harness.run();
    REQUIRE(harness.lists == std::vector<std::string>{"a"});
    REQUIRE(store.ages
            == std::vector<ReadAge>{ReadAge::Current, ReadAge::Seconds, ReadAge::Seconds});
}

// Guards against one billed call to the store for each change of a group.
TEST_CASE("Watches that return changes are rate-limited", "[store]")
{
    ScriptedStore store;
    store.lists = {makePage("a", false, 10)};
    for (std::uint64_t revision = 11; revision < 60; ++revision)
        store.watches.push_back({ObjectChanges{{{{"a", revision, "{}"}, false}}, revision}});
    FollowerHarness harness(store, Milliseconds(60000), Milliseconds(50));
    harness.run();
    // The clock is stopped, so only the burst of two starts and the third watch waits.
    REQUIRE(store.watchedFrom.size() >= 2);
    REQUIRE(store.watchedFrom.size() <= 5);
}

// Guards against a missed change that counts as known, and the reverse.
TEST_CASE("Versions show whether an old list contains an unknown change", "[store]")
{
    const std::vector<RegisteredObject> start = {{"a", 5, "{}"}, {"b", 7, "{}"}};
    ObjectVersions versions;
    versions.assign(start);
    const auto listOf = [](std::vector<RegisteredObject> objects, std::uint64_t revision) {
        return ObjectPage{std::move(objects), false, revision};
    };
    SECTION("The same list, or one from before the last change, agrees")
    {
        REQUIRE(versions.agreesWith(listOf(start, 9)));
        REQUIRE(versions.agreesWith(listOf({{"a", 5, "{}"}}, 6)));
    }
    SECTION("A newer revision, an unknown object and a missing one do not")
    {
        REQUIRE_FALSE(versions.agreesWith(listOf({{"a", 8, "{}"}, {"b", 7, "{}"}}, 9)));
        REQUIRE_FALSE(
                versions.agreesWith(listOf({{"a", 5, "{}"}, {"b", 7, "{}"}, {"c", 8, "{}"}}, 9)));
        REQUIRE_FALSE(versions.agreesWith(listOf({{"a", 5, "{}"}}, 9)));
    }
    SECTION("An object whose removal is known may still be listed")
    {
        const std::vector<ObjectChange> changes = {{{"b", 10, "{}"}, true}};
        versions.apply(changes);
        REQUIRE(versions.agreesWith(listOf(start, 9)));
        REQUIRE(versions.agreesWith(listOf({{"a", 5, "{}"}}, 11)));
        REQUIRE_FALSE(versions.agreesWith(listOf({{"a", 5, "{}"}, {"b", 12, "{}"}}, 13)));
    }
}

// Guards against hosts that refuse keyed calls, or cannot deny calls, because a watch without
// changes confirms the state too late.
TEST_CASE("Watches without changes confirm the state within the bounds", "[store]")
{
    constexpr Milliseconds answerTime{20};
    for (const int apply : {1000, 2000, 3000, 4000, 8000}) {
        for (const int trust : {2000, 5000, 10000}) {
            ServingBounds bounds;
            bounds.maximumApplyTime = Milliseconds(apply);
            bounds.maximumKeyAge = Milliseconds(trust);
            const auto options = ObjectFollowerOptions::within(bounds, Milliseconds(2000));
            // The oldest state, just before the next watch ends.
            const Milliseconds oldest = 2 * (options.watchWait + answerTime);
            ServingState state(bounds);
            state.confirmConfiguration(Milliseconds(0));
            CAPTURE(apply, trust, oldest.count());
            REQUIRE(state.areKeysTrusted(oldest));
            REQUIRE(state.isConfigurationCurrent(oldest));
        }
    }
}
