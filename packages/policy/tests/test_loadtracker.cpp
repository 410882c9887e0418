#include "policy/load/loadtracker.h"
#include "policy/load/prefixindex.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

Milliseconds at(std::int64_t time)
{
    return Milliseconds(time);
}

LoadReport makeReport(std::uint32_t running, std::int64_t age, std::uint32_t memory = 0)
{
    LoadReport report;
    report.running = running;
    report.age = at(age);
    report.memoryUsedTokens = memory;
    report.memoryTotalTokens = 1000;
    return report;
}

CacheEvent makeEvent(std::uint64_t sequence, std::uint64_t prefix, bool isStored = true)
{
    CacheEvent event;
    event.sequence = sequence;
    event.prefixDigest = prefix;
    event.isStored = isStored;
    return event;
}

bool hasFreshHolder(const PrefixIndex &index, std::uint64_t prefix, Milliseconds now)
{
    const auto holders = index.holders(prefix);
    return !holders.empty() && index.isFresh(holders.front(), now);
}

} // namespace

// Guards against counting own requests twice, once in the report and once as own.
TEST_CASE("The estimate is the report plus the changes since it was taken", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    tracker.recordOwnLoad(0, 2, 100, at(1000));
    tracker.recordOwnLoad(0, 3, 150, at(2000));
    tracker.recordReport(0, makeReport(7, 500, 400), at(2100)); // taken at 1600: 2 own requests
    REQUIRE(tracker.running(0, at(2100)) == Approx(8.0));
    REQUIRE(tracker.othersMemory(0, at(2100)) == Approx(300.0));
    tracker.recordOwnLoad(0, 0, 0, at(2200));
    REQUIRE(tracker.running(0, at(2200)) == Approx(5.0));
    tracker.recordReport(0, makeReport(16, 5000), at(2300)); // older than the known one
    REQUIRE(tracker.running(0, at(2300)) == Approx(5.0));
}

// Guards against idle servers that look full in a large fleet, where a peer's digest is renewed
// only every few seconds but the requests in it take some milliseconds.
TEST_CASE("Short work in a peer's digest expires after its typical time", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    tracker.addServer(1);
    tracker.setShortWorkLifetime(ShortWork::Requests, at(60));
    tracker.setShortWorkLifetime(ShortWork::Prompts, at(400));
    const std::vector<PeerServerLoad> loads = {{0, 3, 0, 0, true}, {1, 2, 5000, 3000, false}};
    tracker.recordPeerLoad(HostName("peer"), 1, loads, at(1000));
    tracker.advance(at(1050));
    REQUIRE(tracker.running(0, at(1050)) == Approx(3.0));
    tracker.advance(at(1060));
    REQUIRE(tracker.running(0, at(1060)) == Approx(0.0));
    REQUIRE(tracker.running(1, at(1060)) == Approx(2.0));
    REQUIRE(tracker.estimate(1, at(1060)).peersPendingPromptTokens == Approx(3000.0));
    tracker.advance(at(1400));
    REQUIRE(tracker.estimate(1, at(1400)).peersPendingPromptTokens == Approx(0.0));
    REQUIRE(tracker.running(1, at(1400)) == Approx(2.0));
    REQUIRE(tracker.othersMemory(1, at(1400)) == Approx(5000.0));
    // A newer digest has its own lifetime: the expiry of the older one does not affect it.
    tracker.recordPeerLoad(HostName("peer"), 2, loads, at(1500));
    tracker.recordPeerLoad(HostName("peer"), 3, loads, at(1540));
    tracker.advance(at(1570));
    REQUIRE(tracker.running(0, at(1570)) == Approx(3.0));
}

// Guards against comparing a late report with own requests that were sent after it was taken.
TEST_CASE("A late report is compared with the own requests at the time it was taken", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    for (std::int64_t time = 0; time <= 9000; time += 50)
        tracker.recordOwnLoad(0, time < 5500 ? 11 : 1, 0, at(time));
    tracker.recordReport(0, makeReport(11, 5000), at(9000));
    REQUIRE(tracker.running(0, at(9000)) == Approx(1.0));
}

// Guards against excluding an idle server because of an old report of a full one.
TEST_CASE("The weight of a report decreases with its age", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    tracker.recordReport(0, makeReport(16, 0, 1000), at(0));
    REQUIRE(tracker.running(0, at(1000)) == Approx(16.0));
    REQUIRE(tracker.running(0, at(6000)) == Approx(8.0));
    REQUIRE(tracker.running(0, at(11000)) == 0.0);
    REQUIRE(tracker.othersMemory(0, at(11000)) == 0.0);
}

// Guards against a late digest replacing a newer one, and against counting requests of dead peers.
TEST_CASE("Digests are replaced by newer ones and expire", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    const HostName peer("entry-2");
    tracker.recordPeerLoad(peer, 5, std::vector<PeerServerLoad>{{0, 4, 400}}, at(0));
    tracker.recordPeerLoad(peer, 4, std::vector<PeerServerLoad>{{0, 9, 900}}, at(100));
    REQUIRE(tracker.running(0, at(100)) == Approx(4.0));
    tracker.recordPeerLoad(peer, 6, std::vector<PeerServerLoad>{{0, 1, 100}}, at(200));
    REQUIRE(tracker.running(0, at(200)) == Approx(1.0));
    REQUIRE(tracker.othersMemory(0, at(200)) == Approx(100.0));
    tracker.advance(at(200 + 15000));
    REQUIRE(tracker.peerCount() == 0);
    REQUIRE(tracker.running(0, at(15200)) == 0.0);
    tracker.recordPeerLoad(peer, 1, std::vector<PeerServerLoad>{{0, 2, 200}},
                           at(15300)); // restarted
    REQUIRE(tracker.running(0, at(15300)) == Approx(2.0));
}

// Guards against counting a peer's work twice when its first digest comes after a report.
TEST_CASE("A new peer's first digest is part of the report, later changes are not", "[load]")
{
    LoadTracker tracker;
    tracker.addServer(0);
    tracker.recordReport(0, makeReport(6, 0), at(0));
    const HostName peer("entry-2");
    tracker.recordPeerLoad(peer, 1, std::vector<PeerServerLoad>{{0, 5, 0}}, at(100));
    REQUIRE(tracker.running(0, at(100)) == Approx(6.0));
    tracker.recordPeerLoad(peer, 2, std::vector<PeerServerLoad>{{0, 8, 0}}, at(200));
    REQUIRE(tracker.running(0, at(200)) == Approx(9.0));
    tracker.recordReport(0, makeReport(9, 0), at(14000));
    tracker.advance(at(15300)); // the peer's requests are still part of the report
    REQUIRE(tracker.running(0, at(15300)) == Approx(9.0));
}

// Guards against sums of peers' loads that drift over replacements, expiries and removed servers.
TEST_CASE("Expired digests leave no load behind", "[load]")
{
    rc::prop("no load remains", [] {
        LoadTracker tracker;
        for (ServerIndex serverIndex = 0; serverIndex < 3; ++serverIndex)
            tracker.addServer(serverIndex);
        std::int64_t time = 0;
        const int steps = *rc::gen::inRange(0, 60);
        for (int step = 0; step < steps; ++step) {
            time += *rc::gen::inRange(0, 6000);
            const auto serverIndex = *rc::gen::inRange<ServerIndex>(0, 3);
            const auto count = *rc::gen::inRange<std::uint32_t>(0, 9);
            const HostName peer("peer-" + std::to_string(*rc::gen::inRange(0, 3)));
            if (*rc::gen::inRange(0, 8) == 0)
                tracker.removeServer(serverIndex);
            else
                tracker.recordPeerLoad(
                        peer, *rc::gen::inRange<std::uint64_t>(1, 40),
                        std::vector<PeerServerLoad>{{serverIndex, count, count * 10}}, at(time));
            tracker.advance(at(time));
            RC_ASSERT(tracker.running(serverIndex, at(time)) >= 0.0);
        }
        tracker.advance(at(time + 15000));
        for (ServerIndex serverIndex = 0; serverIndex < 3; ++serverIndex) {
            RC_ASSERT(tracker.running(serverIndex, at(time + 15000)) == 0.0);
            RC_ASSERT(tracker.othersMemory(serverIndex, at(time + 15000)) == 0.0);
        }
    });
}

// Guards against affinity to an evicted prefix: entries expire with time and after lost events.
TEST_CASE("A prefix entry expires", "[load]")
{
    PrefixIndex index;
    index.recordEvent(0, makeEvent(1, 11), at(0));
    REQUIRE(hasFreshHolder(index, 11, at(59000)));
    REQUIRE_FALSE(hasFreshHolder(index, 11, at(60000)));
    index.recordEvent(0, makeEvent(2, 11), at(60000));
    index.recordEvent(0, makeEvent(5, 12), at(61000)); // 3 and 4 are lost
    REQUIRE(hasFreshHolder(index, 11, at(65000)));
    REQUIRE_FALSE(hasFreshHolder(index, 11, at(66000)));
    REQUIRE(hasFreshHolder(index, 12, at(66000)));
    index.recordEvent(0, makeEvent(6, 12, false), at(66000));
    REQUIRE_FALSE(hasFreshHolder(index, 12, at(66000)));
    REQUIRE(index.holders(0).empty());
}

// Guards against unbounded memory use by distinct prompts.
TEST_CASE("The number of prefixes is bounded", "[load]")
{
    PrefixIndexOptions options;
    options.maximumPrefixes = 10;
    PrefixIndex index(options);
    for (std::uint64_t prefix = 1; prefix < 1000; ++prefix)
        index.recordUse(static_cast<ServerIndex>(prefix % 40), prefix, at(0));
    REQUIRE(index.prefixCount() == 10);
    for (ServerIndex serverIndex = 0; serverIndex < 40; ++serverIndex)
        index.recordUse(serverIndex, 5000, at(serverIndex));
    REQUIRE(index.holders(5000).size() == 16);
}
