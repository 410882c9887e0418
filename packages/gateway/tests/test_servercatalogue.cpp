#include "gateway/gateway.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace sassafrasyard;

namespace {

ServerEntry makeEntry(const std::string &name, std::uint64_t revision, bool isLeaving = false)
{
    ServerEntry entry;
    entry.name = BackendServerName(name);
    entry.service = "model";
    entry.address = "10.0.0.1:80";
    entry.revision = revision;
    entry.isLeaving = isLeaving;
    entry.startedAt = 1;
    return entry;
}

struct ObservedHooks
{
    std::vector<std::string> leaving;
    std::vector<std::string> restarted;
    int changes = 0;

    void attach(ServerCatalogue &catalogue)
    {
        catalogue.setHooks(
                [this](const BackendServerName &name) { this->leaving.push_back(name.toString()); },
                [this] { ++this->changes; },
                [this](const BackendServerName &name) {
                    this->restarted.push_back(name.toString());
                });
    }
};

} // namespace

// Guards against new work on a server that announced its leaving or whose entry was removed.
TEST_CASE("The leaving hook is called once for a server that drains or whose entry is removed",
          "[servers]")
{
    ServerCatalogue catalogue;
    ObservedHooks observed;
    observed.attach(catalogue);
    catalogue.applyEntry(makeEntry("a", 1));
    catalogue.applyEntry(makeEntry("b", 2));
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    catalogue.applyEntry(makeEntry("a", 3, true));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    catalogue.applyRemoval(BackendServerName("a"), 4);
    catalogue.applyRemoval(BackendServerName("b"), 5);
    REQUIRE(observed.leaving == std::vector<std::string>{"a", "b"});
}

// Guards against an old entry that makes a leaving server usable again.
TEST_CASE("Entries and removals with an older revision are ignored", "[servers]")
{
    ServerCatalogue catalogue;
    catalogue.applyEntry(makeEntry("a", 5, true));
    catalogue.applyEntry(makeEntry("a", 4, false));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    catalogue.applyEntry(makeEntry("b", 7));
    catalogue.applyRemoval(BackendServerName("b"), 6);
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against removing all servers after an outage in which their entries expired.
TEST_CASE("Servers whose entries expired in an outage are kept until they register again",
          "[servers]")
{
    ServerCatalogue catalogue({Milliseconds(2000), Milliseconds(3000)});
    const std::vector<ServerEntry> both{makeEntry("a", 1), makeEntry("b", 2)};
    catalogue.applyList(both, Milliseconds(0), Milliseconds(0));
    const std::vector<ServerEntry> none;
    catalogue.applyList(none, Milliseconds(10000), Milliseconds(10000));
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    catalogue.applyEntry(makeEntry("a", 3));
    catalogue.advance(Milliseconds(11999));
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
    catalogue.advance(Milliseconds(12000));
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against work on a server that left while the store was in contact.
TEST_CASE("Without an outage a server with a missing entry is removed", "[servers]")
{
    ServerCatalogue catalogue({Milliseconds(2000), Milliseconds(3000)});
    const std::vector<ServerEntry> both{makeEntry("a", 1), makeEntry("b", 2)};
    catalogue.applyList(both, Milliseconds(0), Milliseconds(0));
    catalogue.recordStoreContact(Milliseconds(8000));
    const std::vector<ServerEntry> one{makeEntry("a", 1)};
    catalogue.applyList(one, Milliseconds(10000), Milliseconds(10000));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against relying on the cache and load of a server that has restarted under its name.
TEST_CASE("A restart of a server under the same name is detected", "[servers]")
{
    ServerCatalogue catalogue;
    ObservedHooks observed;
    observed.attach(catalogue);
    catalogue.applyEntry(makeEntry("a", 1));
    ServerEntry restarted = makeEntry("a", 2);
    restarted.startedAt = 99;
    catalogue.applyEntry(restarted);
    REQUIRE(observed.restarted == std::vector<std::string>{"a"});
}

// Guards against using servers of services that the configuration does not contain.
TEST_CASE("Servers get the properties of their service", "[servers]")
{
    ServerCatalogue catalogue;
    catalogue.applyEntry(makeEntry("a", 1));
    ServingConfiguration configuration;
    REQUIRE(catalogue.backendServers(configuration).empty());
    Service service;
    service.name = "model";
    service.engine = EngineProperties();
    service.engine->memoryTokens = 34161;
    configuration.services.emplace("model", service);
    const auto servers = catalogue.backendServers(configuration);
    REQUIRE(servers.size() == 1);
    REQUIRE(servers[0].kind == BackendServerKind::Engine);
    REQUIRE(servers[0].memoryTokens == 34161);
}

// Guards against a host that keeps using a leaving server because its own watch is late or cut.
TEST_CASE("A peer's report that a server is leaving counts until the store could confirm it",
          "[servers]")
{
    ServerCatalogue reporter;
    reporter.applyEntry(makeEntry("a", 2, true));
    reporter.applyEntry(makeEntry("b", 3));
    const std::vector<BackendServerName> runs = reporter.leavingRuns();
    REQUIRE(runs.size() == 1);
    ServerCatalogue catalogue;
    ObservedHooks observed;
    observed.attach(catalogue);
    catalogue.applyEntry(makeEntry("a", 1));
    catalogue.applyEntry(makeEntry("b", 3));
    catalogue.recordPeerReport(runs, Milliseconds(1000));
    catalogue.recordPeerReport(runs, Milliseconds(1100));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
    REQUIRE(observed.leaving == std::vector<std::string>{"a"});
    SECTION("The report of a peer is not passed to other peers")
    {
        REQUIRE(catalogue.leavingRuns().empty());
    }
    SECTION("Confirmation by the store does not call the leaving hook again")
    {
        catalogue.applyEntry(makeEntry("a", 2, true));
        catalogue.advance(Milliseconds(9000));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        REQUIRE(observed.leaving == std::vector<std::string>{"a"});
        REQUIRE(observed.restarted.empty());
        REQUIRE(catalogue.leavingRuns() == runs);
    }
    SECTION("An unchanged entry does not revoke the report, its expiry does")
    {
        catalogue.applyEntry(makeEntry("a", 1));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        catalogue.advance(Milliseconds(3099));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        catalogue.advance(Milliseconds(3100));
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
        REQUIRE(observed.restarted == std::vector<std::string>{"a"});
    }
    SECTION("The report does not apply to a later process of the server")
    {
        ServerEntry later = makeEntry("a", 4);
        later.startedAt = 2;
        catalogue.applyEntry(later);
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
        catalogue.recordPeerReport(runs, Milliseconds(1200));
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
    }
}

// Guards against work on a server that announced its leaving, caused by an entry that is older or
// was written again.
TEST_CASE("A server that announced its leaving stays unusable until it restarts", "[servers]")
{
    ServerCatalogue catalogue;
    ObservedHooks observed;
    observed.attach(catalogue);
    catalogue.applyEntry(makeEntry("a", 1));
    catalogue.recordLeavingAnnouncement(BackendServerName("a"), 7);
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    catalogue.recordLeavingAnnouncement(BackendServerName("a"), 1);
    catalogue.recordLeavingAnnouncement(BackendServerName("a"), 1);
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    REQUIRE(observed.leaving == std::vector<std::string>{"a"});
    REQUIRE(catalogue.leavingRuns().size() == 1);
    catalogue.applyEntry(makeEntry("a", 2));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    // The entry expires and returns, as in an outage of the store.
    catalogue.applyRemoval(BackendServerName("a"), 3);
    catalogue.applyEntry(makeEntry("a", 4));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    ServerEntry restarted = makeEntry("a", 5);
    restarted.startedAt = 2;
    catalogue.applyEntry(restarted);
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    REQUIRE(catalogue.leavingRuns().empty());
    REQUIRE(observed.restarted == std::vector<std::string>{"a"});
}

// Guards against a live server that stays unused because it was removed shortly before a restore,
// and against departures that are remembered for ever.
TEST_CASE("A server that was removed before a restore is used again if its entry lasts",
          "[servers]")
{
    ServerCatalogue catalogue({Milliseconds(2000), Milliseconds(3000)});
    const std::vector<ServerEntry> both{makeEntry("a", 1), makeEntry("b", 2)};
    catalogue.applyList(both, Milliseconds(1000), Milliseconds(1000));
    catalogue.applyRemoval(BackendServerName("b"), 3);
    catalogue.recordStoreRestored(Milliseconds(2000));
    catalogue.applyList(both, Milliseconds(2000), Milliseconds(2000));
    REQUIRE(catalogue.isUsable(BackendServerName("a")));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("b")));
    catalogue.advance(Milliseconds(6999));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("b")));
    catalogue.advance(Milliseconds(7000));
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
    catalogue.applyRemoval(BackendServerName("b"), 4);
    catalogue.advance(Milliseconds(70'000));
    catalogue.recordStoreRestored(Milliseconds(70'000));
    catalogue.applyList(both, Milliseconds(70'000), Milliseconds(70'000));
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against a stream that continues on a server of another version, one that leaves or one
// that has gone, and against a dispatcher that is not told of a changed version.
TEST_CASE("A stream may continue on usable servers of its software version", "[order]")
{
    ServerCatalogue catalogue;
    ObservedHooks observed;
    observed.attach(catalogue);
    const BackendServerName a("a");
    const SoftwareVersion v1("v1");
    const SoftwareVersion v2("v2");
    ServerEntry entry = makeEntry("a", 1);
    entry.softwareVersion = v1;
    catalogue.applyEntry(entry);
    REQUIRE(catalogue.canContinue(a, v1));
    REQUIRE_FALSE(catalogue.canContinue(a, v2));
    REQUIRE_FALSE(catalogue.canContinue(BackendServerName("b"), v1));
    REQUIRE(catalogue.usableServers("model", v1).size() == 1);
    REQUIRE(catalogue.usableServers("model", v2).empty());

    const int changes = observed.changes;
    entry.softwareVersion = v2;
    entry.revision = 2;
    catalogue.applyEntry(entry);
    REQUIRE(observed.changes == changes + 1);
    REQUIRE_FALSE(catalogue.canContinue(a, v1));
    REQUIRE(catalogue.canContinue(a, v2));

    // A second server at the same address does not change what is known of the first.
    ServerEntry other = makeEntry("b", 3);
    other.softwareVersion = v1;
    catalogue.applyEntry(other);
    REQUIRE_FALSE(catalogue.canContinue(a, v1));
    REQUIRE(catalogue.canContinue(BackendServerName("b"), v1));

    catalogue.recordLeavingAnnouncement(a, 1);
    REQUIRE_FALSE(catalogue.canContinue(a, v2));
    catalogue.applyRemoval(BackendServerName("b"), 4);
    REQUIRE_FALSE(catalogue.canContinue(BackendServerName("b"), v1));
}

// Guards against a request to a server after its drain time, because a second report of the leaving
// began the time again or the leaving of a former process counted.
TEST_CASE("The time to return to a leaving server begins with its first report", "[servers]")
{
    const auto now = std::make_shared<Milliseconds>(1000);
    ServerCatalogue catalogue({}, Clock::manual(now));
    const BackendServerName a("a");
    const std::vector<BackendServerName> runs{ServerCatalogue::runName(makeEntry("a", 1))};
    catalogue.applyEntry(makeEntry("a", 1));
    REQUIRE_FALSE(catalogue.returnableUntil(a));
    catalogue.recordPeerReport(runs, *now);
    const auto until = catalogue.returnableUntil(a);
    REQUIRE(until);
    REQUIRE(*until > Milliseconds(1000));
    REQUIRE(*until < Milliseconds(3000));
    *now = Milliseconds(1500);
    catalogue.recordPeerReport(runs, *now);
    catalogue.applyEntry(makeEntry("a", 2, true));
    catalogue.recordLeavingAnnouncement(a, 1);
    REQUIRE(catalogue.returnableUntil(a) == until);

    ServerEntry restarted = makeEntry("a", 3);
    restarted.startedAt = 2;
    catalogue.applyEntry(restarted);
    REQUIRE_FALSE(catalogue.returnableUntil(a));
    ++restarted.revision;
    restarted.isLeaving = true;
    catalogue.applyEntry(restarted);
    REQUIRE(catalogue.returnableUntil(a) == *until + Milliseconds(500));

    // Its leaving began before the removal, when that is no longer known.
    catalogue.applyRemoval(a, 5);
    restarted.revision = 6;
    catalogue.applyEntry(restarted);
    REQUIRE_FALSE(catalogue.returnableUntil(a));
}

// Guards against the former drain time in use after the settings were read again.
TEST_CASE("A changed drain time applies to servers that are leaving", "[servers]")
{
    const auto now = std::make_shared<Milliseconds>(1000);
    ServerCatalogue catalogue({}, Clock::manual(now));
    catalogue.applyEntry(makeEntry("a", 1));
    catalogue.applyEntry(makeEntry("a", 2, true));
    const auto until = catalogue.returnableUntil(BackendServerName("a"));
    catalogue.setDrainTime(Milliseconds(4000));
    REQUIRE(*catalogue.returnableUntil(BackendServerName("a")) - *now == 2 * (*until - *now));
}
