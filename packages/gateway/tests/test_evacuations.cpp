#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds applyTime{5000};
const FailureDomainName domainA("a");
const FailureDomainName domainB("b");

std::vector<FailureDomainName> noDomains()
{
    return {};
}

ServerEntry makeEntry(const std::string &name, const FailureDomainName &domain,
                      std::uint64_t revision, bool isLeaving = false)
{
    ServerEntry entry;
    entry.name = BackendServerName(name);
    entry.service = "service";
    entry.address = "10.0.0.1:80";
    entry.failureDomain = domain;
    entry.revision = revision;
    entry.startedAt = 1;
    entry.isLeaving = isLeaving;
    return entry;
}

} // namespace

// Guards against a host that serves before it knows what is evacuated.
TEST_CASE("The evacuations are known after the first list", "[evacuations]")
{
    Evacuations evacuations(applyTime);
    REQUIRE_FALSE(evacuations.isKnown());
    evacuations.applyList(noDomains(), Milliseconds(100));
    REQUIRE(evacuations.isKnown());
    REQUIRE(evacuations.age(Milliseconds(150)) == Milliseconds(50));
    ServingState serving({true, Milliseconds(5000), Milliseconds(2000)});
    serving.setEvacuationsRequired(true);
    serving.confirmServers(Milliseconds(0));
    REQUIRE_FALSE(serving.areServersKnown());
    serving.confirmEvacuations();
    REQUIRE(serving.areServersKnown());
}

// Guards against a host of a deployment without evacuations that waits for them.
TEST_CASE("Evacuations that are not required do not delay the start", "[evacuations]")
{
    ServingState serving({true, Milliseconds(5000), Milliseconds(2000)});
    serving.confirmServers(Milliseconds(0));
    REQUIRE(serving.areServersKnown());
}

// Guards against a return to a server after the evacuation must be in force.
TEST_CASE("The time to return counts from the last read without the evacuation", "[evacuations]")
{
    Evacuations evacuations(applyTime);
    evacuations.applyList(noDomains(), Milliseconds(1000));
    REQUIRE(evacuations.applyStart(domainA));
    REQUIRE(evacuations.returnLimits().at(domainA) == Milliseconds(3500));
    Evacuations restarted(applyTime);
    restarted.applyList(std::vector{domainA}, Milliseconds(9000));
    REQUIRE(restarted.returnLimits().at(domainA) == Milliseconds(0));
}

// Guards against an evacuation that ends with the restore of a store that lacks it, and against one
// that lasts forever because the operators did not write it again.
TEST_CASE("An evacuation that a restored store lacks ends after the time to apply", "[evacuations]")
{
    Evacuations evacuations(applyTime);
    evacuations.applyList(std::vector{domainA, domainB}, Milliseconds(0));
    evacuations.recordStoreRestored(Milliseconds(1000));
    evacuations.applyList(noDomains(), Milliseconds(1000));
    REQUIRE(evacuations.contains(domainA));
    REQUIRE(evacuations.applyStart(domainA));
    evacuations.advance(Milliseconds(5999));
    REQUIRE(evacuations.contains(domainB));
    // The store may be away, so that nothing shows whether the operators have written again.
    evacuations.advance(Milliseconds(9000));
    REQUIRE(evacuations.contains(domainB));
    evacuations.confirm(Milliseconds(6000));
    evacuations.advance(Milliseconds(9000));
    REQUIRE_FALSE(evacuations.contains(domainB));
    REQUIRE(evacuations.contains(domainA));
    evacuations.applyEnd(domainA);
    REQUIRE_FALSE(evacuations.contains(domainA));
}

// Guards against a hook that is missed or called without a change, each of which costs a round of
// decisions for all servers.
TEST_CASE("The change hook is called once for each change", "[evacuations]")
{
    Evacuations evacuations(applyTime);
    int changes = 0;
    evacuations.setChangeHook([&changes] { ++changes; });
    evacuations.applyList(noDomains(), Milliseconds(0));
    REQUIRE(changes == 0);
    evacuations.applyList(std::vector{domainA, domainB}, Milliseconds(1));
    REQUIRE(changes == 1);
    evacuations.applyStart(domainA);
    evacuations.applyEnd(FailureDomainName("c"));
    REQUIRE(changes == 1);
    evacuations.applyEnd(domainA);
    evacuations.applyList(noDomains(), Milliseconds(2));
    REQUIRE(changes == 3);
}

// Guards against a store that fills the memory of all hosts with evacuations.
TEST_CASE("The number of evacuations is bounded", "[evacuations]")
{
    Evacuations evacuations(applyTime);
    for (std::size_t number = 0; number < Evacuations::maximumDomains; ++number)
        REQUIRE(evacuations.applyStart(FailureDomainName("d" + std::to_string(number))));
    REQUIRE_FALSE(evacuations.applyStart(domainA));
    REQUIRE_FALSE(evacuations.contains(domainA));
}

// Guards against servers of an evacuated domain that get work, streams that are not moved away from
// there, and servers that are not used again afterwards.
TEST_CASE("Servers count as leaving while their domain is evacuated", "[evacuations]")
{
    ServerCatalogue catalogue;
    std::vector<std::string> leaving;
    std::vector<std::string> returned;
    catalogue.setHooks([&](const BackendServerName &name) { leaving.push_back(name.toString()); },
                       {}, {});
    catalogue.setReturnHook(
            [&](const BackendServerName &name) { returned.push_back(name.toString()); });
    catalogue.applyEntry(makeEntry("near", domainA, 1));
    catalogue.applyEntry(makeEntry("drained", domainA, 2, true));
    catalogue.applyEntry(makeEntry("far", domainB, 3));
    catalogue.setEvacuatedDomains({{domainA, Milliseconds(0)}});
    REQUIRE(leaving == std::vector<std::string>{"near"});
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("near")));
    REQUIRE(catalogue.isUsable(BackendServerName("far")));
    REQUIRE_FALSE(catalogue.isServiceEvacuated("service"));
    // Peers follow the store themselves, and a report would outlast the evacuation.
    REQUIRE(catalogue.leavingRuns()
            == std::vector{ServerCatalogue::runName(makeEntry("drained", domainA, 2))});
    catalogue.applyEntry(makeEntry("added", domainA, 4));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("added")));
    catalogue.setEvacuatedDomains({{domainA, Milliseconds(0)}, {domainB, Milliseconds(0)}});
    REQUIRE(catalogue.isServiceEvacuated("service"));
    catalogue.setEvacuatedDomains({{domainB, Milliseconds(0)}});
    REQUIRE(returned == std::vector<std::string>{"added", "near"});
    REQUIRE(catalogue.isUsable(BackendServerName("near")));
    REQUIRE_FALSE(catalogue.isUsable(BackendServerName("drained")));
}

// Guards against a run that returns to a leaving server whose domain is evacuated since long.
TEST_CASE("An evacuation limits the time to return to a leaving server", "[evacuations]")
{
    ServerCatalogue catalogue;
    catalogue.applyEntry(makeEntry("a", domainA, 1));
    catalogue.setEvacuatedDomains({{domainA, Milliseconds(0)}});
    REQUIRE(catalogue.returnableUntil(BackendServerName("a")) == Milliseconds(0));
    catalogue.applyEntry(makeEntry("a", domainA, 2, true));
    REQUIRE(catalogue.returnableUntil(BackendServerName("a")) == Milliseconds(0));
}

// Guards against calls that are passed on to an evacuated domain, and against calls that wait for a
// service that is evacuated as a whole.
TEST_CASE("Calls go to the servers of other domains or are refused at once", "[evacuations]")
{
    GatewayFixture fixture;
    Route route;
    route.name = "call";
    route.pathPrefix = "/call/";
    route.kind = CallKind::Idempotent;
    route.maximumAttempts = 2;
    route.timeout = Milliseconds(3000);
    fixture.addRoute(route);
    for (const char *name : {"a", "b"}) {
        fixture.addServer(name,
                          [](const HttpRequest &request,
                             HttpResponder &responder) -> boost::asio::awaitable<void> {
                              co_await responder.send(GatewayFixture::signedAnswer(request));
                          });
        ServerEntry entry = makeEntry(name, FailureDomainName(name), 2);
        entry.address = fixture.addressOf(name);
        entry.slots = 8;
        entry.softwareVersion = SoftwareVersion("v1");
        fixture.applyEntry(entry);
    }
    fixture.evacuate({{domainA, Milliseconds(0)}});
    for (int number = 0; number < 10; ++number)
        REQUIRE(fixture.call("/call/", "c" + std::to_string(number)).status == 200);
    REQUIRE(fixture.callCount("a") == 0);
    fixture.evacuate({{domainA, Milliseconds(0)}, {domainB, Milliseconds(0)}});
    const Milliseconds before = Clock::steady().now();
    const HttpResponse refused = fixture.call("/call/", "refused");
    constexpr Milliseconds immediateTime{250};
    REQUIRE(Clock::steady().now() - before < immediateTime);
    REQUIRE(refused.status == 503);
    REQUIRE(findHeader(refused.headers, "Retry-After"));
    REQUIRE(fixture.callCount("b") == 10);
}
