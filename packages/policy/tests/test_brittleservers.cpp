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
    for (const double limit : {1.0, 3.0, 10.0}) {
        for (const double demand : {0.7, 1.0, 1.5}) {
            for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
                BrittleSimulationOptions options{hostCount, serverCount, slots, limit,
                                                 demand,    false,       seed};
                const BrittleSimulation sound = play(options);
                options.canFall = true;
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
