#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** The content of the lease object. */
struct LeaseRecord
{
    /** The incarnation that holds or last held the lease. */
    HostIncarnation holder;
    /** The fencing token; increases with each acquisition. */
    std::uint64_t token = 0;
    /** Increases with each attempted write, so that two attempts are never equal. */
    std::uint64_t renewal = 0;

    /** Compares all fields. */
    bool operator==(const LeaseRecord &) const = default;
};

/** Formats a record as JSON text. */
std::string formatLease(const LeaseRecord &record);
/** Parses a record. @return nothing if the text is malformed. */
std::optional<LeaseRecord> parseLease(std::string_view text);

/** Time limits of a lease, in milliseconds. */
struct LeaseOptions
{
    /** How long a record must stay unchanged before another host may take the lease. */
    Milliseconds duration{15000};
    /** How long before the end of the duration the holder considers the lease expired; allows for
     * different clock rates and orders in flight. */
    Milliseconds margin{5000};
    /** How long the holder waits after a write before it renews the lease. */
    Milliseconds renewalInterval{3000};
};

/** A conditional write of the lease object. */
struct LeaseWrite
{
    /** The record to write. */
    LeaseRecord record;
    /** The version that the stored object must have; 0 if it must not exist. */
    std::uint64_t version = 0;
};

/**
 * One host's view of the lease for sending orders to engines.
 *
 * Pure. Clocks of different hosts are never compared. A candidate acquires the lease after the
 * object's version has not changed for the whole duration on the candidate's own steady clock. The
 * holder measures the duration from the time just before it sent its last successful write. A
 * holder that was paused therefore finds its lease expired before any other host can have acquired
 * it.
 */
class OrderLease
{
public:
    /** Creates the state of a host that does not hold the lease. */
    OrderLease(HostIncarnation self, LeaseOptions options);
    OrderLease(const OrderLease &) = delete;
    OrderLease &operator=(const OrderLease &) = delete;

    /**
     * Records the result of a read. @param record nothing if the object does not exist.
     * @param version the object's version; 0 if it does not exist.
     * @param readStarted when the read was sent, in milliseconds of the steady clock.
     * @param now when the reply arrived, in milliseconds of the steady clock.
     */
    void recordRead(const std::optional<LeaseRecord> &record, std::uint64_t version,
                    Milliseconds readStarted, Milliseconds now);
    /** Returns the write that acquires or renews the lease, or nothing if none is due. */
    std::optional<LeaseWrite> nextWrite(Milliseconds now);
    /** Records a successful write. @param version the new version of the object. */
    void recordWritten(std::uint64_t version);
    /** Stops using the lease, for example after an engine refused its token; writes nothing. */
    void abandon();

    /** Returns whether this host holds the lease at a time of its steady clock. */
    bool isHeld(Milliseconds now) const;
    /** Returns the fencing token of the last lease that this host held; 0 if it never held one. */
    std::uint64_t token() const;

private:
    struct PendingWrite
    {
        LeaseRecord record;
        Milliseconds sentAt{0};
    };

    HostIncarnation self;
    LeaseOptions options;
    std::optional<LeaseRecord> lastRecord;
    std::optional<std::uint64_t> lastVersion;
    Milliseconds unchangedSince{0};
    std::optional<PendingWrite> pendingWrite;
    std::uint64_t writeCount = 0;
    std::uint64_t heldToken = 0;
    std::optional<Milliseconds> heldSince;
};

} // namespace sassafrasyard
