#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

const std::uint64_t sharedDigest = makeRequestDigest("account", "/path", "");
const std::uint64_t distinctDigest = makeRequestDigest("account", "/path", "body");

BackendServerName serverName(int number)
{
    return BackendServerName("server-" + std::to_string(number));
}

} // namespace

// Guards against applying the rules for shared digests to requests with bodies, and the reverse.
TEST_CASE("Only requests without a body have a shared digest", "[policy]")
{
    REQUIRE(isSharedDigest(sharedDigest));
    REQUIRE_FALSE(isSharedDigest(distinctDigest));
    REQUIRE(makeRequestDigest("other", "/path", "") != sharedDigest);
    REQUIRE(makeRequestDigest("account", "/other", "") != sharedDigest);
    REQUIRE(digestText(0x1aU) == "000000000000001a");
}

// Guards against refusing requests for ten minutes because they look like one that crashes servers.
TEST_CASE("A shared digest is refused after the third death, for one minute at first", "[policy]")
{
    CrashQuarantine quarantine;
    Milliseconds now{0};
    quarantine.recordDeath(sharedDigest, serverName(1), now);
    quarantine.recordDeath(sharedDigest, serverName(2), now);
    REQUIRE_FALSE(quarantine.refusedFor(sharedDigest, now));
    quarantine.recordDeath(sharedDigest, serverName(3), now);
    REQUIRE(quarantine.refusedFor(sharedDigest, now) == CrashQuarantine::sharedDuration);
    now += CrashQuarantine::sharedDuration;
    REQUIRE_FALSE(quarantine.refusedFor(sharedDigest, now));
    quarantine.recordDeath(sharedDigest, serverName(4), now);
    REQUIRE(quarantine.refusedFor(sharedDigest, now) == 2 * CrashQuarantine::sharedDuration);
}

// Guards against refusing a frequent request because of servers that crash for another reason.
TEST_CASE("A run that does not crash its server cancels earlier deaths", "[policy]")
{
    CrashQuarantine quarantine;
    for (int round = 0; round < 20; ++round) {
        const Milliseconds now(10'000 * round);
        quarantine.recordDeath(sharedDigest, serverName(2 * round), now);
        quarantine.recordDeath(sharedDigest, serverName(2 * round + 1), now);
        REQUIRE(quarantine.isSuspect(sharedDigest, now));
        quarantine.recordCrashFreeRun(sharedDigest, now + Milliseconds(100));
        REQUIRE_FALSE(quarantine.isSuspect(sharedDigest, now + Milliseconds(100)));
        REQUIRE_FALSE(quarantine.refusedFor(sharedDigest, now + Milliseconds(100)));
    }
}

// Guards against a host without own traffic that refuses a request which runs well on its peers.
TEST_CASE("Crash-free runs are shared between hosts like deaths", "[policy]")
{
    CrashQuarantine first({1, 4096, 64});
    CrashQuarantine second({2, 4096, 64});
    for (int number = 0; number < 3; ++number)
        first.recordDeath(sharedDigest, serverName(number), Milliseconds(1000));
    second.merge(first.records(Milliseconds(1000)), Milliseconds(1001));
    REQUIRE(second.refusedFor(sharedDigest, Milliseconds(1001)));
    first.recordCrashFreeRun(sharedDigest, Milliseconds(1200));
    second.merge(first.records(Milliseconds(1200)), Milliseconds(1201));
    REQUIRE_FALSE(second.isSuspect(sharedDigest, Milliseconds(1201)));
    // A copy of the record that arrives late does not count as a later run.
    first.merge(second.records(Milliseconds(1400)), Milliseconds(1900));
    first.recordDeath(sharedDigest, serverName(4), Milliseconds(1300));
    REQUIRE(first.isSuspect(sharedDigest, Milliseconds(1900)));
}
