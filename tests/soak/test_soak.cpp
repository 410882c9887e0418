#include "busyprocessors.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace sassafrasyard;

namespace {

/** Returns a number from the environment. */
int numberFrom(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoi(text);
}

} // namespace

// Guards against streams that are cut, and runs at two engines at a time, by the coincidence of
// reloads, versions of the configuration, leaving and silent engines and hosts without processor
// time; see incidents/dsm-yard-sighup-cut.md. Guards also against streams without a length and
// chunks that end as complete where their run was stopped or their engine exited; see
// incidents/pskv-ops-unframed-stop.md and incidents/unframed-exits.md.
// By hand: SOAK_HOSTS, SOAK_SECONDS, SOAK_SEED (the first seed), SOAK_SEEDS (their number),
// SOAK_BUSY (threads that keep processors busy) and SOAK_UNFRAMED (percent of such streams).
TEST_CASE("A fleet cuts no stream and runs none at two engines", "[soak]")
{
    constexpr int firstSeed = 20261204;
    constexpr int unframedPercent = 30;
    const int seed = numberFrom("SOAK_SEED", firstSeed);
    const int end = seed + numberFrom("SOAK_SEEDS", 2);
    const BusyProcessors busy(numberFrom("SOAK_BUSY", 1));
    for (int current = seed; current < end; ++current) {
        Fleet fleet(numberFrom("SOAK_HOSTS", 6), static_cast<std::uint64_t>(current),
                    numberFrom("SOAK_UNFRAMED", unframedPercent));
        REQUIRE(fleet.isReady());
        const bool haveEnded = fleet.run(Milliseconds(1000 * numberFrom("SOAK_SECONDS", 15)));
        const auto faults = fleet.findFaults();
        std::cout << "seed " << current << ": " << faults.size() << " faults; " << fleet.summary()
                  << std::endl;
        std::string text;
        for (const std::string &fault : faults)
            text += fault + "\n";
        INFO("seed " << current << "\n" << text);
        CHECK(haveEnded);
        CHECK(faults.empty());
    }
}
