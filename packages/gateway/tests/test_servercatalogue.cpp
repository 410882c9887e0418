#include "gateway/gateway.h"

#include <catch2/catch.hpp>

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

// Guards against new work on a server that announced its leaving or whose entry went.
TEST_CASE("A server that drains or whose entry is removed is leaving once", "[servers]")
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
TEST_CASE("News that is older than what is known changes nothing", "[servers]")
{
    ServerCatalogue catalogue;
    catalogue.applyEntry(makeEntry("a", 5, true));
    catalogue.applyEntry(makeEntry("a", 4, false));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
    catalogue.applyEntry(makeEntry("b", 7));
    catalogue.applyRemoval(BackendServerName("b"), 6);
    REQUIRE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against losing every server after an outage in which the store let their entries lapse.
TEST_CASE("Entries that lapsed in an outage wait for their return", "[servers]")
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
TEST_CASE("Without an outage a missing entry means that its server left", "[servers]")
{
    ServerCatalogue catalogue({Milliseconds(2000), Milliseconds(3000)});
    const std::vector<ServerEntry> both{makeEntry("a", 1), makeEntry("b", 2)};
    catalogue.applyList(both, Milliseconds(0), Milliseconds(0));
    catalogue.recordStoreContact(Milliseconds(8000));
    const std::vector<ServerEntry> one{makeEntry("a", 1)};
    catalogue.applyList(one, Milliseconds(10000), Milliseconds(10000));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("b")));
}

// Guards against trust in the cache and load of a server that started again under its name.
TEST_CASE("A server that starts again under its name is told apart", "[servers]")
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

// Guards against servers of services that the configuration does not know.
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

// Guards against a host that goes on using a leaving server because its own watch is late or cut.
TEST_CASE("A peer's word that a server leaves counts until the store has had time to tell",
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
    SECTION("What a peer told is not told on")
    {
        REQUIRE(catalogue.leavingRuns().empty());
    }
    SECTION("The store's word confirms it without a second notice")
    {
        catalogue.applyEntry(makeEntry("a", 2, true));
        catalogue.advance(Milliseconds(9000));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        REQUIRE(observed.leaving == std::vector<std::string>{"a"});
        REQUIRE(observed.restarted.empty());
        REQUIRE(catalogue.leavingRuns() == runs);
    }
    SECTION("An entry of before does not end it, the time does")
    {
        catalogue.applyEntry(makeEntry("a", 1));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        catalogue.advance(Milliseconds(3099));
        REQUIRE_FALSE(catalogue.isUsable(BackendServerName("a")));
        catalogue.advance(Milliseconds(3100));
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
        REQUIRE(observed.restarted == std::vector<std::string>{"a"});
    }
    SECTION("A later run of the server is not meant")
    {
        ServerEntry later = makeEntry("a", 4);
        later.startedAt = 2;
        catalogue.applyEntry(later);
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
        catalogue.recordPeerReport(runs, Milliseconds(1200));
        REQUIRE(catalogue.isUsable(BackendServerName("a")));
    }
}

// Guards against work for a server that said that it leaves, on the word of an entry that is older
// or was written again.
TEST_CASE("A server's own word that it leaves holds until it runs anew", "[servers]")
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
    // Its entry lapses and comes back, as in an outage of the store.
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
