#include "policy/pace/pacemonitor.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

std::vector<PaceMonitor::Member> makeMembers(std::uint32_t count)
{
    std::vector<PaceMonitor::Member> members;
    for (ServerIndex serverIndex = 0; serverIndex < count; ++serverIndex)
        members.push_back({serverIndex, {0}});
    return members;
}

/** Advances the time in steps of 100 ms with one sample per server and step. */
class PaceSimulation
{
public:
    explicit PaceSimulation(std::uint32_t count)
        : count(count)
    {
        this->monitor.setServers(makeMembers(count));
    }

    void run(std::int64_t milliseconds)
    {
        for (std::int64_t step = 0; step < milliseconds / 100; ++step) {
            this->now += Milliseconds(100);
            for (ServerIndex serverIndex = 0; serverIndex < this->count; ++serverIndex) {
                const bool hasStreams =
                        this->hasRunningStreams || this->monitor.allowance(serverIndex) > 0;
                if (this->stalled.contains(serverIndex) || !hasStreams)
                    continue;
                const auto slowedInterval = this->intervals.find(serverIndex);
                this->monitor.recordInterval(
                        serverIndex,
                        slowedInterval == this->intervals.end() ? 30.0 : slowedInterval->second,
                        this->now);
            }
            this->monitor.advance(this->now);
        }
    }

    std::uint32_t count;
    PaceMonitor monitor;
    Milliseconds now{0};
    std::map<ServerIndex, double> intervals;
    std::map<ServerIndex, bool> stalled;
    bool hasRunningStreams = false;
};

} // namespace

// Guards against requests for a slow server, and against one that never gets requests again.
TEST_CASE("A slow server is ejected, probed with a few requests and readmitted", "[pace]")
{
    PaceSimulation run(12);
    run.run(3000);
    REQUIRE(run.monitor.slowServers().empty());
    run.intervals[4] = 150.0;
    run.run(3000);
    REQUIRE(run.monitor.state(4) == PaceState::Ejected);
    REQUIRE(run.monitor.allowance(4) == 0);
    REQUIRE(run.monitor.slowServers() == std::vector<ServerIndex>{4});
    run.run(12000); // probes find it still slow
    REQUIRE(run.monitor.state(4) != PaceState::Normal);
    run.intervals.clear();
    std::uint32_t minimumAllowance = PaceMonitor::unlimited;
    for (int step = 0; step < 300; ++step) {
        run.run(100);
        if (run.monitor.state(4) == PaceState::Probing)
            minimumAllowance = std::min(minimumAllowance, run.monitor.allowance(4));
    }
    REQUIRE(minimumAllowance == 1);
    REQUIRE(run.monitor.state(4) == PaceState::Normal);
}

// Guards against ejecting a server because one caller reads slowly.
TEST_CASE("A single slow stream does not make a server slow", "[pace]")
{
    PaceSimulation run(8);
    for (int round = 0; round < 20; ++round) {
        run.run(1000);
        run.monitor.recordInterval(3, 5000.0, run.now);
    }
    REQUIRE(run.monitor.slowServers().empty());
}

// Guards against missing a server that stalls and so gives no samples at all.
TEST_CASE("A server on which several streams stall counts as slow", "[pace]")
{
    PaceSimulation run(8);
    run.run(2000);
    run.monitor.recordDecoding(2, 3);
    run.stalled[2] = true;
    run.run(4500);
    REQUIRE(run.monitor.state(2) == PaceState::Ejected);
}

// Guards against needless probes, each a slow request for a caller, while running streams show that
// the server is still slow.
TEST_CASE("A server whose streams are still slow is not probed before the longest ejection",
          "[pace]")
{
    PaceSimulation run(12);
    run.hasRunningStreams = true;
    run.intervals[4] = 150.0;
    run.run(3000);
    REQUIRE(run.monitor.state(4) == PaceState::Ejected);
    for (int step = 0; step < 250; ++step) {
        run.run(100);
        REQUIRE(run.monitor.state(4) == PaceState::Ejected);
    }
    run.intervals.clear();
    run.run(2000);
    REQUIRE(run.monitor.state(4) == PaceState::Probing);
}

// Guards against judging a probe by a report from before it, and against an endless ejection.
TEST_CASE("A report taken before the probe does not end it", "[pace]")
{
    PaceMonitor monitor;
    monitor.setServers(makeMembers(4));
    Milliseconds now{0};
    const auto step = [&](Milliseconds lag) {
        now += Milliseconds(250);
        for (ServerIndex serverIndex = 0; serverIndex < 4; ++serverIndex)
            monitor.recordReport(serverIndex, serverIndex == 1 ? 200.0 : 30.0, now - lag);
        monitor.advance(now);
    };
    while (monitor.state(1) != PaceState::Ejected)
        step(Milliseconds(500));
    while (monitor.state(1) != PaceState::Probing && now < Milliseconds(120000))
        step(Milliseconds(500));
    REQUIRE(now >= Milliseconds(30000));
    REQUIRE(now < Milliseconds(60000));
    for (int count = 0; count < 8; ++count)
        step(Milliseconds(2500));
    REQUIRE(monitor.state(1) == PaceState::Probing);
    for (int count = 0; count < 8; ++count)
        step(Milliseconds(500));
    REQUIRE(monitor.state(1) == PaceState::Ejected);
}

// Guards against judging a new server by the measurements of the one that had its index before.
TEST_CASE("A server that gets a used index starts without measurements", "[pace]")
{
    PaceSimulation run(8);
    run.hasRunningStreams = true;
    run.intervals[5] = 300.0;
    run.run(3000);
    REQUIRE(run.monitor.state(5) == PaceState::Ejected);
    run.monitor.resetServer(5);
    REQUIRE(run.monitor.allowance(5) == PaceMonitor::unlimited);
    run.stalled[5] = true;
    run.run(2000);
    REQUIRE(run.monitor.ratio(5) == 1.0);
    REQUIRE(run.monitor.slowServers().empty());
}

// Guards against ratios to too few servers and against outdated reports.
TEST_CASE("Reports count while they are recent and enough peers have an interval", "[pace]")
{
    PaceMonitor monitor;
    monitor.setServers(makeMembers(4));
    monitor.recordReport(0, 30.0, Milliseconds(0));
    monitor.recordReport(1, 90.0, Milliseconds(0));
    monitor.advance(Milliseconds(250));
    REQUIRE(monitor.ratio(1) == 1.0);
    monitor.recordReport(2, 30.0, Milliseconds(0));
    monitor.advance(Milliseconds(500));
    REQUIRE(monitor.ratio(1) == Approx(3.0));
    monitor.advance(Milliseconds(6000));
    REQUIRE(monitor.ratio(1) == 1.0);
}

// Guards against ejecting so many servers that the others can't serve the load.
TEST_CASE("The ejected share is bounded for every model", "[pace]")
{
    rc::prop("bounded share", [] {
        PaceMonitor monitor;
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 20);
        std::vector<PaceMonitor::Member> members;
        for (ServerIndex serverIndex = 0; serverIndex < count; ++serverIndex) {
            members.push_back({serverIndex, {serverIndex % 2}});
            if (*rc::gen::inRange(0, 3) == 0)
                members.back().models.push_back(1 - serverIndex % 2);
        }
        monitor.setServers(members);
        Milliseconds now{0};
        for (int step = 0; step < 60; ++step) {
            now += Milliseconds(250);
            for (const PaceMonitor::Member &member : members) {
                for (int sample = 0; sample < 10; ++sample)
                    monitor.recordInterval(member.serverIndex, *rc::gen::element(10.0, 30.0, 300.0),
                                           now);
            }
            if (members.size() > 1 && *rc::gen::inRange(0, 15) == 0) {
                members.pop_back();
                monitor.setServers(members);
            }
            monitor.advance(now);
            for (std::uint32_t model = 0; model < 2; ++model) {
                double servers = 0;
                double ejected = 0;
                for (const PaceMonitor::Member &member : members) {
                    if (std::find(member.models.begin(), member.models.end(), model)
                        == member.models.end())
                        continue;
                    servers += 1;
                    ejected += monitor.state(member.serverIndex) == PaceState::Ejected ? 1 : 0;
                }
                RC_ASSERT(ejected <= 0.34 * servers);
            }
        }
    });
}
