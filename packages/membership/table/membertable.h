#pragma once

#include "core/core.h"
#include "protocol/protocol.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sassafrasyard {

/** Time limits and bounds of a MemberTable. */
struct MemberTableOptions
{
    /** How long a suspected member may refute before it counts as dead, in milliseconds. */
    Milliseconds suspicionTimeout{3000};
    /** How long a dead member is remembered, in milliseconds. */
    Milliseconds deadRetention{3600000};
    /** One probe in this many goes to a dead member, so that a healed partition is noticed. */
    std::uint32_t deadProbeInterval = 5;
    /** An update is sent this often per doubling of the number of members. */
    std::uint32_t retransmissionFactor = 3;
    /** Seed of the probe order. */
    std::uint64_t seed = 1;
};

/**
 * The members as this host knows them, with SWIM rules for conflicting news.
 *
 * A higher version wins; at equal versions Dead beats Leaving beats Suspect beats Alive. Only the
 * member itself raises its version, to refute wrong news about it. A second run of a daemon at the
 * same peer address replaces the first.
 */
class MemberTable
{
public:
    /** Creates a table that holds only this host. */
    MemberTable(MemberRecord self, MemberTableOptions options);

    /** Returns this host's own record. */
    const MemberRecord &self() const;
    /** Returns all records, this host's included, ordered by incarnation. */
    std::vector<MemberRecord> members() const;
    /** Returns a record by incarnation, or nothing. */
    std::optional<MemberRecord> find(const HostIncarnation &incarnation) const;
    /** Returns the number of members that are alive or suspected, this host included. */
    std::size_t liveCount() const;

    /** Announces whether this host takes callers. */
    void setServing(bool isServing);
    /** Announces that this host is leaving. */
    void leave();
    /** Takes in news about members. */
    void applyUpdates(std::span<const MemberRecord> updates, Milliseconds now);
    /** Takes in news that every member reads from one place, so that it is not passed on. */
    void applyRegisteredRecords(std::span<const MemberRecord> records, Milliseconds now);
    /** Returns the member to probe next, or nothing if there is none. */
    std::optional<MemberRecord> nextProbe();
    /** Returns up to count members to ask for indirect probes of the target. */
    std::vector<MemberRecord> indirectProbers(const HostIncarnation &target, std::size_t count);
    /** Records that a member failed direct and indirect probes. */
    void recordProbeFailure(const HostIncarnation &incarnation, Milliseconds now);
    /** Declares suspects dead after their timeout and forgets members long dead. */
    void advance(Milliseconds now);
    /** Returns up to limit updates to send, least sent first, and counts them as sent. */
    std::vector<MemberRecord> takeUpdates(std::size_t limit);
    /** Returns a number that rises with each change of a record, this host's own included. */
    std::uint64_t changeCount() const;

private:
    struct Entry
    {
        MemberRecord record;
        Milliseconds changedAt{0};
        std::uint32_t timesSent = 0;
    };

    void apply(const MemberRecord &update, Milliseconds now, std::uint32_t timesSent);
    void applyToSelf(const MemberRecord &update);
    void replaceEarlierRuns(const MemberRecord &update, Milliseconds now);
    void refillProbeOrder();
    std::uint32_t retransmissionLimit() const;

    MemberRecord ownRecord;
    std::uint32_t ownTimesSent = 0;
    MemberTableOptions options;
    RandomSource random;
    std::map<HostIncarnation, Entry> entries;
    std::vector<HostIncarnation> probeOrder;
    std::uint32_t probeCount = 0;
    std::uint64_t changes = 1;
};

} // namespace sassafrasyard
