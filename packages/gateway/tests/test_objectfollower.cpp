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

/** A store whose answers are scripted; it hangs once they are used up. */
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
        source.list = [this](std::string, std::string after, Error &reason) {
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

struct Follower
{
    explicit Follower(ScriptedStore &store, Milliseconds resyncInterval = Milliseconds(60000))
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
                  {Milliseconds(10), resyncInterval, Milliseconds(1), Milliseconds(2)})
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

ObjectPage pageOf(const std::string &name, bool hasMore, std::uint64_t revision)
{
    return {{{name, revision, "{}"}}, hasMore, revision};
}

} // namespace

// Guards against changes that are missed because the watch starts after the last page.
TEST_CASE("The watch goes on from the revision of the first page", "[store]")
{
    ScriptedStore store;
    store.lists = {pageOf("a", true, 10), pageOf("b", false, 12)};
    store.watches = {{ObjectChanges{{{{"c", 13, "{}"}, false}}, 13}}};
    Follower follower(store);
    follower.run();
    REQUIRE(follower.lists == std::vector<std::string>{"ab"});
    REQUIRE(store.listedAfter == std::vector<std::string>{"", "a"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{10, 13});
    REQUIRE(follower.changes == std::vector<std::string>{"c"});
}

// Guards against a follower that keeps asking for a history that is gone.
TEST_CASE("After the history is gone everything is read anew", "[store]")
{
    ScriptedStore store;
    store.lists = {pageOf("a", false, 10), pageOf("b", false, 40)};
    store.watches = {{std::nullopt, ErrorCode::HistoryGone}};
    Follower follower(store);
    follower.run();
    REQUIRE(follower.lists == std::vector<std::string>{"a", "b"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{10, 40});
}

// Guards against a list that is taken for whole although a page of it failed.
TEST_CASE("A failed page discards the list, a failed watch does not", "[store]")
{
    ScriptedStore store;
    store.lists = {pageOf("a", true, 10), std::nullopt, pageOf("a", false, 11)};
    store.watches = {{std::nullopt}};
    Follower follower(store);
    follower.run();
    REQUIRE(follower.lists == std::vector<std::string>{"a"});
    REQUIRE(store.watchedFrom == std::vector<std::uint64_t>{11, 11});
}

// Guards against a watch that hears nothing although there were changes.
TEST_CASE("Everything is read again after the interval", "[store]")
{
    ScriptedStore store;
    store.lists = {pageOf("a", false, 10), pageOf("b", false, 11)};
    store.watches = {{ObjectChanges{{}, 10}}};
    Follower follower(store, Milliseconds(0));
    follower.run();
    REQUIRE(follower.lists == std::vector<std::string>{"a", "b"});
}
