#pragma once

#include "core/core.h"
#include "protocol/protocol.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sassafrasyard {

/** Time limits and gossip parameters of a MemberTable. */
struct MemberTableOptions
{
    /** How long a suspected member has to refute before it is declared dead, in milliseconds. */
    Milliseconds suspicionTimeout{3000};
    /** How long the record of a dead member is kept, in milliseconds. */
    Milliseconds deadRetention{3600000};
    /** Every n-th probe goes to a dead member, to detect the end of a network partition. */
    std::uint32_t deadProbeInterval = 5;
    /** Each update is sent this many times per bit of the number of members. */
    std::uint32_t retransmissionFactor = 3;
    /** The seed of the random probe order. */
    std::uint64_t seed = 1;
};

/**
 * This host's view of the members, with the SWIM rules for conflicting updates.
 *
 * The record with the higher version wins; at equal versions Dead overrides Leaving, Leaving
 * overrides Suspect, and Suspect overrides Alive. Only the member itself increments its version, to
 * refute wrong updates about it. A new incarnation at the same peer address replaces the earlier
 * one.
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
    /** Returns a member's record by incarnation, or nothing if it is unknown. */
    std::optional<MemberRecord> find(const HostIncarnation &incarnation) const;
    /** Returns the number of members that are alive or suspected, this host included. */
    std::size_t liveCount() const;

    /** Sets and announces whether this host accepts calls. */
    void setServing(bool isServing);
    /** Sets this host's state to Leaving and announces it. */
    void leave();
    /** Applies updates received from a peer and passes on those that are new. */
    void applyUpdates(std::span<const MemberRecord> updates, Milliseconds now);
    /** Applies records that every member reads from the registry, and does not pass them on. */
    void applyRegisteredRecords(std::span<const MemberRecord> records, Milliseconds now);
    /** Returns the member to probe next, or nothing if there is none. */
    std::optional<MemberRecord> nextProbe();
    /** Returns up to count random alive members that can probe the target indirectly. */
    std::vector<MemberRecord> indirectProbers(const HostIncarnation &target, std::size_t count);
    /** Marks a member that failed direct and indirect probes as suspect, or as dead if it was
     * leaving. */
    void recordProbeFailure(const HostIncarnation &incarnation, Milliseconds now);
    /** Declares suspects dead after the suspicion timeout and removes dead members after the
     * retention time. */
    void advance(Milliseconds now);
    /** Returns up to limit updates, those sent least often first, and counts them as sent. */
    std::vector<MemberRecord> takeUpdates(std::size_t limit);
    /** Returns a number that increases with each change of a record, including this host's own. */
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
