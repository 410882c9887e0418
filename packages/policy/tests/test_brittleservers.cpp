#include "brittlesimulation.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

constexpr std::uint64_t seedCount = 3;

BrittleSimulation play(const BrittleSimulationOptions &options)
{
    BrittleSimulation simulation(options);
    simulation.run();
    return simulation;
}

/** Checks falls and served calls over rejection limits, demands and seeds. */
void checkService(std::size_t hostCount, std::size_t serverCount, std::size_t slots)
{
    constexpr double servedShare = 0.85;
    for (const double demand : {0.7, 1.0, 1.5}) {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            BrittleSimulationOptions options{hostCount, serverCount, slots, 0.0,
                                             demand,    false,       seed};
            const BrittleSimulation sound = play(options);
            options.canFall = true;
            options.sharesPlaces = true;
            for (const double limit : {1.0, 3.0, 10.0}) {
                options.rejectionLimit = limit;
                const BrittleSimulation brittle = play(options);
                INFO("hosts " << hostCount << ", servers " << serverCount << ", limit " << limit
                              << ", demand " << demand << ", seed " << seed << ", rejected "
                              << brittle.rejected());
                const double permittedFalls = 2.0 + 0.1 * static_cast<double>(serverCount);
                CHECK(static_cast<double>(brittle.falls()) <= permittedFalls);
                CHECK(static_cast<double>(brittle.served())
                      >= servedShare * static_cast<double>(sound.served()));
            }
        }
    }
}

} // namespace

// Guards against hosts that learn that a brittle server is full only from its rejections, which
// make it fall over: each host may cause only few, but the server counts those of all.
TEST_CASE("Brittle servers seldom fall over and go on working", "[brittle]")
{
    for (const std::size_t hostCount : {std::size_t{9}, std::size_t{69}, std::size_t{195}}) {
        checkService(hostCount, 12, 8);
        checkService(hostCount, 4, 6);
    }
}

// Guards against calls of a lost server that make the others reject calls, and against all calls
// that waited for it when it is back.
TEST_CASE("Brittle servers don't fall over because one is lost and returns", "[brittle]")
{
    for (const std::size_t hostCount : {std::size_t{9}, std::size_t{195}}) {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            BrittleSimulationOptions options{hostCount, 4, 6, 1.0, 1.5, true, seed, true};
            BrittleSimulation simulation(options);
            simulation.loseServer(0, Milliseconds(12000));
            simulation.loseServer(1, Milliseconds(14000));
            simulation.loseServer(0, Milliseconds(22000));
            simulation.run();
            INFO("hosts " << hostCount << ", seed " << seed);
            CHECK(simulation.falls() <= 2);
        }
    }
}

namespace {

const BackendServerName run("server/1");
constexpr Milliseconds start{100000};

SharedConcurrency makePlaces()
{
    return {HostName("host"), HostIncarnation("host-run")};
}

PlaceRequest makeAsk(const std::string &host, std::uint64_t sequence, std::uint32_t outstanding)
{
    return {HostIncarnation(host), sequence, run, true, 2, outstanding, sequence, 3.0, 0};
}

PlaceRequest makeReport(const std::string &host, std::uint64_t sequence, std::uint32_t outstanding)
{
    PlaceRequest request = makeAsk(host, sequence, outstanding);
    request.isAsk = false;
    return request;
}

} // namespace

// Guards against a place that is given out twice, or stays taken after its call has ended.
TEST_CASE("A server has as many places as slots", "[places]")
{
    SharedConcurrency places = makePlaces();
    REQUIRE(places.decide(makeAsk("a", 1, 0), start).isGranted);
    REQUIRE(places.decide(makeAsk("b", 1, 0), start).isGranted);
    const CallPermit denied = places.decide(makeAsk("c", 1, 0), start);
    REQUIRE_FALSE(denied.isGranted);
    REQUIRE(denied.pause >= SharedConcurrency::minimumPause);
    places.decide(makeReport("a", 2, 0), start);
    REQUIRE(places.decide(makeAsk("c", 2, 0), start).isGranted);
}

// Guards against requests that overtake each other on different connections: an older report must
// not free a place.
TEST_CASE("An older report does not free a place", "[places]")
{
    SharedConcurrency places = makePlaces();
    REQUIRE(places.decide(makeAsk("a", 2, 1), start).isGranted);
    places.decide(makeReport("a", 1, 0), start);
    REQUIRE_FALSE(places.decide(makeAsk("b", 1, 0), start).isGranted);
}

// Guards against places of a lost host that are never given out again, and against those of a host
// that goes on reporting being given to others.
TEST_CASE("Places of a host that no longer reports are given out again", "[places]")
{
    SharedConcurrency places = makePlaces();
    places.decide(makeReport("a", 1, 1), start);
    places.decide(makeReport("b", 1, 1), start);
    const Milliseconds later = start + SharedConcurrency::reportRetention;
    places.decide(makeReport("b", 2, 1), later - Milliseconds(1));
    places.removeExpired(later - Milliseconds(1));
    REQUIRE_FALSE(places.decide(makeAsk("c", 1, 0), later - Milliseconds(1)).isGranted);
    places.removeExpired(later);
    REQUIRE(places.decide(makeAsk("c", 2, 0), later).isGranted);
    REQUIRE_FALSE(places.decide(makeAsk("d", 1, 0), later).isGranted);
}

// Guards against a new granter that gives out places which the previous one has given.
TEST_CASE("A new granter waits until the hosts have reported", "[places]")
{
    SharedConcurrency places = makePlaces();
    places.setHosts({}, start);
    places.setHosts({}, start + Milliseconds(1));
    REQUIRE_FALSE(places.decide(makeAsk("a", 1, 0), start + Milliseconds(2)).isGranted);
    const Milliseconds later = start + Milliseconds(1) + SharedConcurrency::takeoverTime;
    REQUIRE(places.decide(makeAsk("a", 2, 0), later).isGranted);
}

// Guards against a server that goes on getting calls although it is about to fall over.
TEST_CASE("A server that rejects calls gets none for a time", "[places]")
{
    SharedConcurrency places = makePlaces();
    PlaceRequest report = makeReport("a", 1, 0);
    report.rejections = 1;
    places.decide(report, start);
    REQUIRE(places.decide(makeAsk("a", 2, 0), start).isGranted);
    report.sequence = 3;
    places.decide(report, start);
    REQUIRE_FALSE(places.decide(makeAsk("a", 4, 0), start).isGranted);
    const Milliseconds later = start + SharedConcurrency::rejectionPause;
    REQUIRE(places.decide(makeAsk("a", 5, 0), later).isGranted);
}

// Guards against a server with few slots that gets no calls while a lost host may be alive.
TEST_CASE("A server has a place although a host is lost", "[places]")
{
    SharedConcurrency places = makePlaces();
    const std::vector<PermitHost> live{{HostName("b"), true}};
    const std::vector<PermitHost> lost{{HostName("b"), false}};
    places.setHosts(live, start);
    places.setHosts(lost, start);
    PlaceRequest ask = makeAsk("a", 1, 0);
    ask.slots = 1;
    REQUIRE(places.decide(ask, start + SharedConcurrency::takeoverTime).isGranted);
}

// Guards against two hosts that give out the places of one server during a planned stop.
TEST_CASE("A host that stops gives out no places while another is live", "[places]")
{
    SharedConcurrency places = makePlaces();
    const std::vector<PermitHost> hosts{{HostName("b"), true}};
    places.leave();
    places.setHosts(hosts, start);
    REQUIRE(places.granter(run) == HostName("b"));
    places.setHosts({}, start);
    const Milliseconds later = start + SharedConcurrency::takeoverTime;
    REQUIRE(places.decide(makeAsk("a", 1, 0), later).isGranted);
}

// Guards against a response that was sent before the statement and ends it, and against a statement
// that is kept although its server no longer makes it or is gone.
TEST_CASE("A service is brittle while one of its servers says so", "[places]")
{
    const BackendServerName other("server/2");
    BrittleStatements statements;
    REQUIRE(statements.recordResponse("service", run, 3.0, start, start + Milliseconds(10)));
    REQUIRE_FALSE(statements.recordResponse("service", other, 1.0, start, start));
    REQUIRE(statements.rejectionLimit("service") == 1.0);
    REQUIRE_FALSE(statements.rejectionLimit("another"));
    const Milliseconds later = start + Milliseconds(20);
    REQUIRE_FALSE(statements.recordResponse("service", other, {}, start, later));
    REQUIRE(statements.rejectionLimit("service") == 1.0);
    REQUIRE_FALSE(statements.recordResponse("service", other, {}, later, later));
    REQUIRE(statements.rejectionLimit("service") == 3.0);
    REQUIRE(statements.recordResponse("service", run, {}, later, later));
    REQUIRE(statements.isEmpty());
    statements.recordResponse("service", run, 3.0, start, start);
    statements.removeExpired(start + BrittleStatements::retention);
    REQUIRE(statements.isEmpty());
}
