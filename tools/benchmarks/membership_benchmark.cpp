// Measures the failure detection time and the traffic of MemberTable for several numbers of hosts,
// in simulated time.

#include "membership/membership.h"
#include "protocol/protocol.h"

#include <cstdio>
#include <memory>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr std::size_t updatesPerMessage = 8;
constexpr Milliseconds probeInterval{1000};

MemberRecord makeRecord(std::size_t number)
{
    MemberRecord record;
    record.host = HostName("entry-" + std::to_string(number));
    record.incarnation = HostIncarnation(RandomSource(number + 1).nextHex());
    record.failureDomain = FailureDomainName("domain-" + std::to_string(number % 20));
    record.region = "region-" + std::to_string(number % 7);
    record.peerAddress =
            "10.0." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":7001";
    record.callerAddress = record.peerAddress;
    return record;
}

/** Hosts whose member tables exchange probes without message loss or delay. */
class SimulatedFleet
{
public:
    explicit SimulatedFleet(std::size_t size)
    {
        std::vector<MemberRecord> records;
        records.reserve(size);
        for (std::size_t number = 0; number < size; ++number)
            records.push_back(makeRecord(number));
        for (std::size_t number = 0; number < size; ++number) {
            MemberTableOptions options;
            options.seed = number + 1;
            this->tables.push_back(std::make_unique<MemberTable>(records[number], options));
            this->tables.back()->applyUpdates(records, Milliseconds(0));
            this->isRunning.push_back(true);
        }
    }

    /** Advances the time by one probe interval; each running host probes one member. */
    void step()
    {
        this->now += probeInterval;
        for (std::size_t number = 0; number < this->tables.size(); ++number) {
            if (this->isRunning[number])
                this->runProbe(number);
        }
    }

    void stop(std::size_t number) { this->isRunning[number] = false; }

    /** Returns the number of running hosts that list the member as dead. */
    std::size_t countDead(std::size_t member) const
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < this->tables.size(); ++number) {
            const auto record = this->tables[number]->find(makeRecord(member).incarnation);
            if (this->isRunning[number] && record && record->state == MemberState::Dead)
                ++count;
        }
        return count;
    }

    std::size_t sentBytes = 0;
    Milliseconds now{0};

private:
    void runProbe(std::size_t number)
    {
        MemberTable &table = *this->tables[number];
        table.advance(this->now);
        const auto target = table.nextProbe();
        if (!target)
            return;
        const std::size_t peer = this->indexOf(*target);
        if (!this->isRunning[peer]) {
            table.recordProbeFailure(target->incarnation, this->now);
            return;
        }
        this->exchange(table, *this->tables[peer]);
    }

    void exchange(MemberTable &from, MemberTable &to)
    {
        Probe probe;
        probe.sender = from.self();
        probe.gossip.members = from.takeUpdates(updatesPerMessage);
        to.applyUpdates(std::span(&probe.sender, 1), this->now);
        to.applyUpdates(probe.gossip.members, this->now);
        ProbeReply reply;
        reply.sender = to.self();
        reply.gossip.members = to.takeUpdates(updatesPerMessage);
        from.applyUpdates(std::span(&reply.sender, 1), this->now);
        from.applyUpdates(reply.gossip.members, this->now);
        this->sentBytes += encodeMessage(probe).size() + encodeMessage(reply).size();
    }

    std::size_t indexOf(const MemberRecord &record) const
    {
        return std::stoul(record.host.toString().substr(6));
    }

    std::vector<std::unique_ptr<MemberTable>> tables;
    std::vector<bool> isRunning;
};

void measure(std::size_t size)
{
    constexpr int warmUpSteps = 700;
    constexpr int idleSteps = 20;
    constexpr int maximumSteps = 120;
    SimulatedFleet fleet(size);
    for (int step = 0; step < warmUpSteps; ++step)
        fleet.step();
    fleet.sentBytes = 0;
    for (int step = 0; step < idleSteps; ++step)
        fleet.step();
    const double idleBytesPerSecond =
            static_cast<double>(fleet.sentBytes) / static_cast<double>(size) / idleSteps;
    const Milliseconds stoppedAt = fleet.now;
    fleet.stop(0);
    fleet.sentBytes = 0;
    int steps = 0;
    Milliseconds firstDetection{0};
    while (fleet.countDead(0) < size - 1 && steps < maximumSteps) {
        fleet.step();
        ++steps;
        if (firstDetection == Milliseconds(0) && fleet.countDead(0) > 0)
            firstDetection = fleet.now - stoppedAt;
    }
    const double failureBytesPerSecond =
            static_cast<double>(fleet.sentBytes) / static_cast<double>(size) / steps;
    std::printf("%6zu %14.0f %14.0f %16lld %16lld\n", size, idleBytesPerSecond,
                failureBytesPerSecond, static_cast<long long>(firstDetection.count()),
                static_cast<long long>((fleet.now - stoppedAt).count()));
}

} // namespace

int main()
{
    std::printf("%6s %14s %14s %16s %16s\n", "hosts", "quiet B/s", "failure B/s", "first dead ms",
                "all know ms");
    for (const std::size_t size : {9U, 33U, 100U, 330U})
        measure(size);
    return 0;
}
