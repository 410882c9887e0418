#include "inmemorystore.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds retention{1000};

const SoftwareVersion v1("1");
const SoftwareVersion v2("2");

/** Several hosts that keep the history in one store. */
class HistoryHosts
{
public:
    explicit HistoryHosts(std::size_t count)
        : now(std::make_shared<Milliseconds>(100'000))
    {
        for (std::size_t index = 0; index < count; ++index)
            this->addHost("host-" + std::to_string(index));
        this->publishMembers();
    }

    void addHost(const std::string &name)
    {
        Settings settings;
        settings.host = HostName(name);
        auto host = std::make_unique<Host>();
        host->entry = std::make_unique<EntryState>(settings, HostIncarnation(name + "-run"));
        host->history = std::make_unique<VersionHistory>(*host->entry, this->context, this->calls(),
                                                         Clock::manual(this->now),
                                                         ServiceVersionsOptions{retention});
        host->history->start();
        this->hosts.push_back(std::move(host));
    }

    /** Returns the calls of the store, which doesn't store the rejected object. */
    ObjectArchiveCalls calls()
    {
        ObjectArchiveCalls result = this->store.calls();
        result.write = [this, write = result.write](std::string name, std::string value,
                                                    Error &reason) -> boost::asio::awaitable<bool> {
            if (name == this->rejectedName)
                co_return false;
            co_return co_await write(name, value, reason);
        };
        return result;
    }

    /** Lets all hosts end and as many new ones start. */
    void restart()
    {
        const std::size_t count = this->hosts.size();
        this->hosts.clear();
        for (std::size_t index = 0; index < count; ++index)
            this->addHost("new-host-" + std::to_string(index));
        this->publishMembers();
    }

    /** Lets the hosts know each other; the dead ones no longer store anything. */
    void publishMembers(const std::set<std::size_t> &dead = {})
    {
        std::vector<MemberRecord> members;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            MemberRecord record;
            record.host = this->hosts[index]->entry->settings.host;
            record.incarnation = this->hosts[index]->entry->incarnation;
            record.state = dead.contains(index) ? MemberState::Dead : MemberState::Alive;
            members.push_back(record);
        }
        ++this->memberChanges;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->hosts[index]->isDead = dead.contains(index);
            this->hosts[index]->entry->publishMembers(members, this->memberChanges);
        }
    }

    /** Lets the hosts learn which versions the servers of the service have. */
    void setPresent(const std::set<SoftwareVersion> &versions)
    {
        VersionsByService present;
        if (!versions.empty())
            present.emplace("service", versions);
        for (const auto &host : this->hosts) {
            if (!host->isDead)
                host->history->setPresent(present);
        }
        this->run();
    }

    void pass(Milliseconds time)
    {
        *this->now += time;
        for (const auto &host : this->hosts) {
            if (!host->isDead)
                host->history->advance();
        }
        this->run();
    }

    void run()
    {
        this->context.restart();
        this->context.poll();
    }

    std::optional<SoftwareVersion> soleVersion(std::size_t host = 0) const
    {
        return this->hosts[host]->history->soleVersion("service");
    }

    struct Host
    {
        std::unique_ptr<EntryState> entry;
        std::unique_ptr<VersionHistory> history;
        bool isDead = false;
    };

    boost::asio::io_context context;
    InMemoryStore store;
    /** The name of an object that the store rejects. */
    std::string rejectedName;
    std::shared_ptr<Milliseconds> now;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    std::uint64_t memberChanges = 0;
};

std::string encoded(const std::set<SoftwareVersion> &versions)
{
    return VersionHistory::encode(versions);
}

} // namespace

// Guards against streams that can't be resumed, or continue on another version, after all hosts
// were killed at once.
TEST_CASE("Hosts that all start at once know the sole version from the history", "[runs]")
{
    HistoryHosts hosts(3);
    hosts.setPresent({v1});
    REQUIRE_FALSE(hosts.soleVersion());
    SECTION("one version for long")
    {
        hosts.restart();
        REQUIRE_FALSE(hosts.soleVersion());
        hosts.setPresent({v1});
        for (std::size_t host = 0; host < 3; ++host)
            REQUIRE(hosts.soleVersion(host) == v1);
    }
    SECTION("two versions")
    {
        hosts.setPresent({v1, v2});
        hosts.restart();
        hosts.setPresent({v1, v2});
        hosts.pass(2 * retention);
        REQUIRE_FALSE(hosts.soleVersion());
    }
    SECTION("a version whose servers left a moment ago")
    {
        hosts.setPresent({v1, v2});
        hosts.setPresent({v2});
        hosts.restart();
        hosts.setPresent({v2});
        hosts.pass(retention - Milliseconds(1));
        REQUIRE_FALSE(hosts.soleVersion());
        hosts.pass(Milliseconds(1));
        REQUIRE(hosts.soleVersion() == v2);
    }
    SECTION("another version that appeared while all hosts were gone")
    {
        hosts.restart();
        hosts.setPresent({v2});
        REQUIRE_FALSE(hosts.soleVersion());
    }
}

// Guards against writes that grow with the hosts, the servers or the time, and against a change
// that nobody stores because the responsible host is gone.
TEST_CASE("One host stores the versions of a service, and only when they change", "[runs]")
{
    HistoryHosts hosts(5);
    hosts.setPresent({v1});
    REQUIRE(hosts.store.objects == std::map<std::string, std::string>{{"service", encoded({v1})}});
    REQUIRE(hosts.store.writes == 1);
    for (int time = 0; time < 20; ++time) {
        hosts.setPresent({v1});
        hosts.pass(retention);
    }
    REQUIRE(hosts.store.writes == 1);
    REQUIRE(hosts.store.reads == 5);
    // Each host in turn is the only one that is left.
    for (std::size_t left = 0; left < 5; ++left) {
        std::set<std::size_t> dead{0, 1, 2, 3, 4};
        dead.erase(left);
        hosts.publishMembers(dead);
        const SoftwareVersion version("left-" + std::to_string(left));
        hosts.setPresent({version});
        hosts.pass(Milliseconds(0));
        REQUIRE(hosts.store.objects["service"].find(version.toString()) != std::string::npos);
    }
    hosts.publishMembers();
    hosts.setPresent({});
    hosts.pass(retention);
    REQUIRE(hosts.store.objects.empty());
}

// Guards against a version that the history never shows because the store was unavailable, or lost
// it when it was restored from a copy.
TEST_CASE("The history is stored again after a failure and after a restore", "[runs]")
{
    HistoryHosts hosts(3);
    hosts.setPresent({v1});
    hosts.store.isUnavailable = true;
    hosts.setPresent({v1, v2});
    hosts.pass(Milliseconds(10));
    REQUIRE(hosts.store.objects["service"] == encoded({v1}));
    REQUIRE(hosts.store.writes <= 3);
    hosts.store.isUnavailable = false;
    hosts.pass(Milliseconds(10));
    REQUIRE(hosts.store.objects["service"] == encoded({v1, v2}));
    hosts.store.objects["service"] = encoded({v1});
    for (const auto &host : hosts.hosts)
        host->history->readAgain();
    hosts.run();
    REQUIRE(hosts.store.objects["service"] == encoded({v1, v2}));
    hosts.store.objects.clear();
    for (const auto &host : hosts.hosts)
        host->history->readAgain();
    hosts.run();
    REQUIRE(hosts.store.objects["service"] == encoded({v1, v2}));
}

// Guards against a sole version that is only the readable part of the history.
TEST_CASE("A malformed history makes nothing sole until it is replaced", "[runs]")
{
    HistoryHosts hosts(3);
    hosts.store.objects["service"] = "{\"versions\":[1]}";
    hosts.restart();
    hosts.setPresent({v1});
    hosts.pass(retention - Milliseconds(1));
    REQUIRE_FALSE(hosts.soleVersion());
    REQUIRE(hosts.store.writes == 0);
    hosts.pass(Milliseconds(1));
    REQUIRE(hosts.soleVersion() == v1);
    REQUIRE(hosts.store.objects["service"] == encoded({v1}));
    hosts.restart();
    hosts.setPresent({v1});
    REQUIRE(hosts.soleVersion() == v1);
    Error reason;
    for (const char *text : {"", "null", "[]", "{}", R"({"versions":1})", R"({"versions":[]})",
                             R"({"versions":[""]})", R"({"versions":["1",2]})"}) {
        CAPTURE(text);
        REQUIRE_FALSE(VersionHistory::decode({"service", 1, text}, reason));
        REQUIRE(reason.code == ErrorCode::InvalidRequest);
    }
    const SoftwareVersion longest(std::string(64, 'v'));
    REQUIRE(VersionHistory::decode({"service", 1, encoded({longest, v1})}, reason)
            == std::set<SoftwareVersion>{longest, v1});
    const SoftwareVersion tooLong(std::string(65, 'v'));
    REQUIRE_FALSE(VersionHistory::decode({"service", 1, encoded({tooLong})}, reason));
}

// Guards against streams that are attributed to a version before the store has answered.
TEST_CASE("Nothing is sole while the store does not tell the history", "[runs]")
{
    HistoryHosts hosts(1);
    hosts.setPresent({v1});
    hosts.pass(retention);
    hosts.store.isUnavailable = true;
    hosts.restart();
    hosts.setPresent({v1});
    REQUIRE_FALSE(hosts.soleVersion());
    const int writes = hosts.store.writes;
    hosts.store.isUnavailable = false;
    hosts.context.restart();
    hosts.context.run_for(std::chrono::milliseconds(1200));
    REQUIRE(hosts.soleVersion() == v1);
    REQUIRE(hosts.store.writes == writes);
}

// Guards against a version of leaving servers that is not counted although they still run streams.
TEST_CASE("The versions of all registered servers are present", "[runs]")
{
    std::vector<ServerEntry> entries(4);
    entries[0].service = "plan";
    entries[0].softwareVersion = v1;
    entries[1] = entries[0];
    entries[1].softwareVersion = v2;
    entries[1].isLeaving = true;
    entries[2] = entries[0];
    entries[3].service = "tag";
    entries[3].softwareVersion = v2;
    REQUIRE(presentVersions(entries) == VersionsByService{{"plan", {v1, v2}}, {"tag", {v2}}});
}

// Guards against services whose versions are never stored because the store rejects another one.
TEST_CASE("A service that can't be stored does not hold up the others", "[runs]")
{
    HistoryHosts hosts(1);
    hosts.rejectedName = "a";
    hosts.hosts[0]->history->setPresent({{"a", {v1}}, {"b", {v1}}});
    hosts.run();
    REQUIRE(hosts.store.objects == std::map<std::string, std::string>{{"b", encoded({v1})}});
}
