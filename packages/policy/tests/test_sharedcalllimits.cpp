#include "callsimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace sassafrasyard;

namespace {

constexpr std::uint64_t seedCount = 20;

/** Runs a scenario with several seeds and checks that the server never gets too many calls. */
void checkLimit(CallSimulationOptions options,
                const std::function<void(CallSimulation &)> &prepare = {})
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        options.seed = seed;
        CallSimulation simulation(options);
        if (prepare)
            prepare(simulation);
        simulation.run(Milliseconds(40000));
        INFO("seed " << seed << ", limit " << options.limit << ", hosts " << options.hostCount);
        CHECK(simulation.largestExcess() <= 0.0);
    }
}

} // namespace

// Guards against hosts that each use the whole limit, and against a limit of which little is used.
TEST_CASE("All hosts together keep a limit and use most of it", "[limits]")
{
    for (const double limit : {0.4, 2.3, 12.0, 60.0}) {
        CallSimulationOptions options;
        options.limit = limit;
        options.callsPerSecond = 120.0;
        checkLimit(options);
        CallSimulation simulation(options);
        simulation.run(Milliseconds(40000));
        const double rate = simulation.callRate(Milliseconds(10000), Milliseconds(40000));
        INFO("limit " << limit);
        CHECK(rate >= 0.75 * limit);
        CHECK(rate <= 1.1 * limit);
    }
}

// Guards against shares of a limit that are less than one call, which hosts round up.
TEST_CASE("Many hosts keep a limit of less than one call a second", "[limits]")
{
    CallSimulationOptions options;
    options.hostCount = 195;
    options.callsPerSecond = 400.0;
    options.limit = 0.6;
    checkLimit(options);
    CallSimulation simulation(options);
    simulation.run(Milliseconds(40000));
    CHECK(simulation.callRate(Milliseconds(10000), Milliseconds(40000)) >= 0.3);
}

// Guards against a limit of zero that is never seen to end, because nobody calls the server.
TEST_CASE("A limit of zero is kept and its end is noticed", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 0.0;
    checkLimit(options);
    CallSimulation simulation(options);
    simulation.at(Milliseconds(20000), [&] { simulation.setLimit({}); });
    simulation.run(Milliseconds(40000));
    CHECK(simulation.callRate(Milliseconds(8000), Milliseconds(20000)) <= 0.5);
    CHECK(simulation.callRate(Milliseconds(30000), Milliseconds(40000)) >= 20.0);
}

// Guards against a former value of a limit that some host goes on to use.
TEST_CASE("A limit that changes, ends and returns is kept", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 8.0;
    checkLimit(options, [](CallSimulation &simulation) {
        simulation.at(Milliseconds(8000), [&] { simulation.setLimit(2.0); });
        simulation.at(Milliseconds(14000), [&] { simulation.setLimit(5.0); });
        simulation.at(Milliseconds(20000), [&] { simulation.setLimit({}); });
        simulation.at(Milliseconds(26000), [&] { simulation.setLimit(1.5); });
    });
}

// Guards against a restarted server whose former limit holds calls off, or whose new one is missed.
TEST_CASE("A restarted server starts without a limit and may state a new one", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 1.0;
    checkLimit(options, [](CallSimulation &simulation) {
        simulation.at(Milliseconds(12000), [&] { simulation.restartServer(); });
        simulation.at(Milliseconds(18000), [&] { simulation.setLimit(3.0); });
    });
    CallSimulation simulation(options);
    simulation.at(Milliseconds(12000), [&] { simulation.restartServer(); });
    simulation.run(Milliseconds(20000));
    CHECK(simulation.callRate(Milliseconds(14000), Milliseconds(20000)) >= 20.0);
}

// Guards against two hosts that permit calls at the same time while the hosts change.
TEST_CASE("A limit is kept while hosts join, leave and restart", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 3.0;
    options.spareCount = 6;
    checkLimit(options, [](CallSimulation &simulation) {
        for (std::size_t index = 0; index < 6; ++index) {
            const Milliseconds start(5000 + 4000 * static_cast<int>(index));
            simulation.at(start, [&simulation, index] { simulation.startHost(9 + index); });
            simulation.at(start + Milliseconds(1300),
                          [&simulation, index] { simulation.stopHost(index); });
            simulation.at(start + Milliseconds(2500),
                          [&simulation, index] { simulation.restartHost(7 + index % 2); });
        }
    });
}

// Guards against a series of granters that each permit the whole limit while others still ask the
// previous one.
TEST_CASE("A limit is kept while one host after the other joins", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 6.0;
    options.callsPerSecond = 120.0;
    options.hostCount = 2;
    options.spareCount = 24;
    checkLimit(options, [](CallSimulation &simulation) {
        for (std::size_t index = 0; index < 24; ++index) {
            const Milliseconds start(6000 + 400 * static_cast<int>(index));
            simulation.at(start, [&simulation, index] { simulation.startHost(2 + index); });
        }
    });
}

// Guards against a frozen granter: others must not take its place beside it when it wakes.
TEST_CASE("A limit is kept while hosts freeze and wake", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 3.0;
    checkLimit(options, [](CallSimulation &simulation) {
        for (std::size_t index = 0; index < 8; ++index) {
            const Milliseconds start(5000 + 3500 * static_cast<int>(index));
            simulation.at(start, [&simulation, index] {
                simulation.freezeHost(index, Milliseconds(2000 + 900 * static_cast<int>(index)));
            });
        }
    });
}

// Guards against groups of hosts that can't see each other and each use the whole limit.
TEST_CASE("A limit is kept while hosts can't see each other", "[limits]")
{
    for (const std::size_t groups : {std::size_t{2}, std::size_t{3}, std::size_t{9}}) {
        CallSimulationOptions options;
        options.limit = 3.0;
        checkLimit(options, [groups](CallSimulation &simulation) {
            simulation.at(Milliseconds(6000), [&simulation, groups] { simulation.split(groups); });
            simulation.at(Milliseconds(24000), [&simulation] { simulation.split(1); });
        });
    }
}

// Guards against calls that are held off for long after the host that permits them was lost.
TEST_CASE("Calls continue after the granter is lost", "[limits]")
{
    CallSimulationOptions options;
    options.limit = 4.0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        options.seed = seed;
        CallSimulation simulation(options);
        simulation.at(Milliseconds(10000), [&] { simulation.killHost(simulation.granter()); });
        simulation.run(Milliseconds(30000));
        INFO("seed " << seed);
        CHECK(simulation.largestExcess() <= 0.0);
        CHECK(simulation.callRate(Milliseconds(18000), Milliseconds(30000)) >= 2.4);
    }
}

// Guards against a bucket that permits more than its rate over time.
TEST_CASE("An allowance permits its rate, a burst and the urgent debt", "[limits]")
{
    for (const double rate : {0.25, 1.0, 7.0, 80.0}) {
        CallAllowance allowance{Milliseconds(0)};
        int taken = 0;
        for (Milliseconds now{0}; now < Milliseconds(20000); now += Milliseconds(3)) {
            allowance.setRate(rate, 2.0, now);
            taken += allowance.tryTake(taken % 2 == 0, now) ? 1 : 0;
        }
        const double burst = std::max(2.0, rate / 4.0);
        CHECK(taken <= 20.0 * rate + burst + CallAllowance::urgentDebt);
        CHECK(taken >= 20.0 * rate - 1.0);
    }
}

// Guards against a stated wait after which there is still no room.
TEST_CASE("The stated wait of an allowance is true", "[limits]")
{
    CallAllowance allowance{Milliseconds(0)};
    allowance.setRate(2.2, 1.0, Milliseconds(0));
    const Milliseconds wait = allowance.timeUntilNext(Milliseconds(0));
    REQUIRE(wait == Milliseconds(455));
    REQUIRE_FALSE(allowance.tryTake(false, wait - Milliseconds(1)));
    REQUIRE(allowance.tryTake(false, wait));
}
