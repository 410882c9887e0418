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
    /** The run of the daemon that holds or held the lease. */
    HostIncarnation holder;
    /** The fencing token; rises with each holder. */
    std::uint64_t token = 0;
    /** Rises with each write that the holder attempts. */
    std::uint64_t renewal = 0;

    /** Compares all fields. */
    bool operator==(const LeaseRecord &) const = default;
};

/** Writes a record as JSON text. */
std::string formatLease(const LeaseRecord &record);
/** Reads a record, or nothing if the text is malformed. */
std::optional<LeaseRecord> parseLease(std::string_view text);

/** Time limits of a lease. */
struct LeaseOptions
{
    /** How long a record must stay unchanged before another host may take the lease. */
    Milliseconds duration{15000};
    /** How much earlier the holder stops, for different clock rates and orders under way. */
    Milliseconds margin{5000};
    /** How often the holder renews. */
    Milliseconds renewalInterval{3000};
};

/** A conditional write of the lease object. */
struct LeaseWrite
{
    /** The record to write. */
    LeaseRecord record;
    /** The object's version that must be stored; 0 if it must not exist. */
    std::uint64_t version = 0;
};

/**
 * One host's view of the lease for orders to engines.
 *
 * Pure. No host compares its clock with another's: a candidate takes the lease after it has seen
 * the same version for the whole duration on its own steady clock, and the holder counts from the
 * moment before it sent its last successful write. A holder that was paused therefore finds its
 * lease ended before any other host can have taken it.
 */
class OrderLease
{
public:
    /** Creates a view without a lease. */
    OrderLease(HostIncarnation self, LeaseOptions options);
    OrderLease(const OrderLease &) = delete;
    OrderLease &operator=(const OrderLease &) = delete;

    /**
     * Records what was read. @param record nothing if the object does not exist.
     * @param readStarted when the read was sent, in milliseconds of the steady clock.
     */
    void recordRead(const std::optional<LeaseRecord> &record, std::uint64_t version,
                    Milliseconds readStarted, Milliseconds now);
    /** Returns the write that takes or renews the lease, or nothing if none is due. */
    std::optional<LeaseWrite> nextWrite(Milliseconds now);
    /** Records a successful write. @param version the new version of the object. */
    void recordWritten(std::uint64_t version);
    /** Gives the lease up, as after an engine refused its token. */
    void abandon();

    /** Returns whether this host holds the lease at an instant of its steady clock. */
    bool isHeld(Milliseconds now) const;
    /** Returns the fencing token of the last lease held. */
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
