// Measures failure detection and traffic of MemberTable for growing numbers of hosts, in virtual
// time.

#include "membership/membership.h"
#include "protocol/protocol.h"

#include <cstdio>
#include <memory>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr std::size_t updatesPerMessage = 8;
constexpr Milliseconds probeInterval{1000};

MemberRecord recordOf(std::size_t number)
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

/** A fleet of member tables that exchange messages without loss. */
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        std::vector<MemberRecord> all;
        all.reserve(size);
        for (std::size_t number = 0; number < size; ++number)
            all.push_back(recordOf(number));
        for (std::size_t number = 0; number < size; ++number) {
            MemberTableOptions options;
            options.seed = number + 1;
            this->tables.push_back(std::make_unique<MemberTable>(all[number], options));
            this->tables.back()->applyUpdates(all, Milliseconds(0));
            this->isUp.push_back(true);
        }
    }

    /** Lets one probe interval pass. */
    void step()
    {
        this->now += probeInterval;
        for (std::size_t number = 0; number < this->tables.size(); ++number) {
            if (this->isUp[number])
                this->probeFrom(number);
        }
    }

    void stop(std::size_t number) { this->isUp[number] = false; }

    /** Returns how many running hosts know that the member is dead. */
    std::size_t countDead(std::size_t member) const
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < this->tables.size(); ++number) {
            const auto known = this->tables[number]->find(recordOf(member).incarnation);
            if (this->isUp[number] && known && known->state == MemberState::Dead)
                ++count;
        }
        return count;
    }

    std::size_t bytes = 0;
    Milliseconds now{0};

private:
    void probeFrom(std::size_t number)
    {
        MemberTable &table = *this->tables[number];
        table.advance(this->now);
        const auto target = table.nextProbe();
        if (!target)
            return;
        const std::size_t peer = this->numberOf(*target);
        if (!this->isUp[peer]) {
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
        this->bytes += encodeMessage(probe).size() + encodeMessage(reply).size();
    }

    std::size_t numberOf(const MemberRecord &record) const
    {
        return std::stoul(record.host.toString().substr(6));
    }

    std::vector<std::unique_ptr<MemberTable>> tables;
    std::vector<bool> isUp;
};

void measure(std::size_t size)
{
    constexpr int settleSteps = 700;
    constexpr int quietSteps = 20;
    constexpr int maximumSteps = 120;
    Fleet fleet(size);
    for (int step = 0; step < settleSteps; ++step)
        fleet.step();
    fleet.bytes = 0;
    for (int step = 0; step < quietSteps; ++step)
        fleet.step();
    const double quiet = static_cast<double>(fleet.bytes) / static_cast<double>(size) / quietSteps;
    const Milliseconds stoppedAt = fleet.now;
    fleet.stop(0);
    fleet.bytes = 0;
    int steps = 0;
    Milliseconds first{0};
    while (fleet.countDead(0) < size - 1 && steps < maximumSteps) {
        fleet.step();
        ++steps;
        if (first == Milliseconds(0) && fleet.countDead(0) > 0)
            first = fleet.now - stoppedAt;
    }
    const double busy = static_cast<double>(fleet.bytes) / static_cast<double>(size) / steps;
    std::printf("%6zu %14.0f %14.0f %16lld %16lld\n", size, quiet, busy,
                static_cast<long long>(first.count()),
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
