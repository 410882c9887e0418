#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>

using namespace sassafrasyard;

namespace {

BackendServerName serverName(int number)
{
    return BackendServerName("engine-" + std::to_string(number));
}

bool areEqual(const std::vector<QuarantineRecord> &left, const std::vector<QuarantineRecord> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const QuarantineRecord &one, const QuarantineRecord &other) {
                          return one.requestDigest == other.requestDigest
                                  && one.deaths == other.deaths && one.remaining == other.remaining
                                  && one.incident == other.incident;
                      });
}

} // namespace

// Guards against a request that keeps crashing servers, and against refusing the requests that ran
// next to it.
TEST_CASE("A request is refused after two deaths, requests next to it are not", "[policy]")
{
    CrashQuarantine quarantine;
    for (const std::uint64_t digest : {1U, 2U, 3U})
        quarantine.recordDeath(digest, serverName(1), Milliseconds(1000));
    REQUIRE(quarantine.isSuspect(2, Milliseconds(1000)));
    REQUIRE_FALSE(quarantine.refusedFor(1, Milliseconds(1000)));
    // A second loss of the same server within 5 s belongs to the same death.
    quarantine.recordDeath(2, serverName(1), Milliseconds(3000));
    REQUIRE_FALSE(quarantine.refusedFor(2, Milliseconds(3000)));
    quarantine.recordDeath(1, serverName(2), Milliseconds(4000));
    REQUIRE(quarantine.refusedFor(1, Milliseconds(4000)) == CrashQuarantine::duration);
    REQUIRE_FALSE(quarantine.refusedFor(2, Milliseconds(4000)));
    REQUIRE_FALSE(quarantine.refusedFor(1, Milliseconds(4000) + CrashQuarantine::duration));
}

// Guards against a refusal of only 1 minute after two deaths that are 9 minutes apart.
TEST_CASE("The refusal lasts ten minutes from the second death", "[policy]")
{
    CrashQuarantine quarantine;
    quarantine.recordDeath(1, serverName(1), Milliseconds(0));
    quarantine.recordDeath(1, serverName(2), Milliseconds(540'000));
    REQUIRE(quarantine.refusedFor(1, Milliseconds(1'139'999)) == Milliseconds(1));
    REQUIRE_FALSE(quarantine.refusedFor(1, Milliseconds(1'140'000)));
}

// Guards against counting a death twice because two hosts recorded it.
TEST_CASE("A death recorded by two hosts counts once, two deaths on two hosts count twice",
          "[policy]")
{
    CrashQuarantine first({1, 4096, 256});
    CrashQuarantine second({2, 4096, 256});
    first.recordDeath(7, serverName(1), Milliseconds(1000));
    second.recordDeath(7, serverName(1), Milliseconds(1400));
    first.merge(second.records(Milliseconds(1500)), Milliseconds(1500));
    REQUIRE_FALSE(first.refusedFor(7, Milliseconds(1500)));
    second.recordDeath(7, serverName(2), Milliseconds(9000));
    first.merge(second.records(Milliseconds(9000)), Milliseconds(9000));
    REQUIRE(first.refusedFor(7, Milliseconds(9000)));
}

// Guards against counting a death again when its record is gossiped, and against results that
// depend on the order of arrival.
TEST_CASE("Merging is idempotent and commutative", "[policy]")
{
    rc::prop("hosts that have received the same records agree", [] {
        std::array<CrashQuarantine, 3> origins{CrashQuarantine({1, 4096, 256}),
                                               CrashQuarantine({2, 4096, 256}),
                                               CrashQuarantine({3, 4096, 256})};
        Milliseconds now{0};
        const int deaths = *rc::gen::inRange(1, 20);
        for (int index = 0; index < deaths; ++index) {
            now += Milliseconds(*rc::gen::inRange(0, 20'000));
            origins[*rc::gen::inRange<std::size_t>(0, 3)].recordDeath(
                    *rc::gen::inRange<std::uint64_t>(1, 4), serverName(*rc::gen::inRange(0, 3)),
                    now);
        }
        std::vector<QuarantineRecord> all;
        for (const CrashQuarantine &origin : origins) {
            const auto records = origin.records(now);
            all.insert(all.end(), records.begin(), records.end());
        }
        CrashQuarantine forward;
        forward.merge(all, now);
        const auto once = forward.records(now);
        forward.merge(all, now);
        forward.merge(once, now);
        RC_ASSERT(areEqual(forward.records(now), once));
        std::vector<QuarantineRecord> shuffled = all;
        std::reverse(shuffled.begin(), shuffled.end());
        const auto middle =
                static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, shuffled.size() + 1));
        std::rotate(shuffled.begin(), shuffled.begin() + middle, shuffled.end());
        CrashQuarantine backward;
        backward.merge(shuffled, now);
        RC_ASSERT(areEqual(backward.records(now), once));
    });
}

// Guards against records that never expire because two hosts keep sending them to each other.
TEST_CASE("Gossip with delays does not renew a record's lifetime", "[policy]")
{
    CrashQuarantine first({1, 4096, 256});
    CrashQuarantine second({2, 4096, 256});
    first.recordDeath(7, serverName(1), Milliseconds(0));
    Milliseconds now{0};
    for (; now < Milliseconds(1'300'000); now += Milliseconds(1000)) {
        const auto forth = first.records(now);
        const Milliseconds arrival = now + Milliseconds(200);
        second.merge(forth, arrival);
        const auto back = second.records(arrival);
        first.merge(back, arrival + Milliseconds(200));
        first.advance(now);
        second.advance(now);
    }
    REQUIRE(first.size() == 0);
    REQUIRE(second.size() == 0);
}

// Guards against unbounded memory use by requests with deaths.
TEST_CASE("The number of kept request digests is bounded", "[policy]")
{
    CrashQuarantine quarantine({1, 16, 8});
    quarantine.recordDeath(1, serverName(1), Milliseconds(0));
    quarantine.recordDeath(1, serverName(2), Milliseconds(0));
    for (std::uint64_t digest = 2; digest < 200; ++digest)
        quarantine.recordDeath(digest, serverName(3), Milliseconds(10));
    REQUIRE(quarantine.size() == 16);
    REQUIRE(quarantine.refusedFor(1, Milliseconds(10)));
    const auto records = quarantine.records(Milliseconds(10));
    REQUIRE(records.size() == 8);
    // The record of a refused request must reach all hosts, whatever else is reported.
    REQUIRE(records.front().requestDigest == 1);
}
