#pragma once

#include "configuration/configuration.h"
#include "core/core.h"
#include "entry/positions/positioncodec.h"
#include "entry/state/configurationholder.h"
#include "network/network.h"
#include "observability/observability.h"
#include "protocol/protocol.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace sassafrasyard {

/** The state that the components of an entry host share. Thread-safe. */
class EntryState
{
public:
    /** Creates the state of one incarnation. */
    EntryState(Settings settings, HostIncarnation incarnation);
    EntryState(const EntryState &) = delete;
    EntryState &operator=(const EntryState &) = delete;

    /** The settings the daemon was started with. */
    const Settings settings;
    /** The incarnation of this process. */
    const HostIncarnation incarnation;
    /** The monotonic clock, for time-outs and intervals. */
    const Clock steadyClock;
    /** Milliseconds since the Unix epoch, for times that are sent to other hosts. */
    const Clock systemClock;
    /** Encodes and authenticates stream positions and call bindings. */
    const PositionCodec positions;
    /** The configuration in force. */
    ConfigurationHolder configuration;
    /** The metrics that this host exports. */
    Metrics metrics;
    /** Whether a planned stop is in progress. */
    std::atomic<bool> isDraining = false;
    /** The number of callers' requests in progress, streams included. */
    std::atomic<std::size_t> activeRequests = 0;
    /** Relayed tokens that are not yet in the metrics; updating these for each token costs more. */
    std::atomic<std::uint64_t> pendingTokenCount = 0;

    /** Returns the members that were last published; never null. */
    std::shared_ptr<const std::vector<MemberRecord>> members() const;
    /** Publishes a member table and its change count, unless a later one is already published. */
    void publishMembers(std::vector<MemberRecord> records, std::uint64_t changeCount);
    /** Returns the change count of the published member table. */
    std::uint64_t publishedChangeCount() const;
    /** Returns the caller addresses of all other live members, nearest first. */
    std::vector<std::string> otherCallerAddresses() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const std::vector<MemberRecord>> publishedMembers;
    std::uint64_t membersChangeCount = 0;
};

/** Counts a request as active during the lifetime of the object. */
class ActiveRequest
{
public:
    /** Counts one more active request. */
    explicit ActiveRequest(EntryState &state);
    /** Counts it as ended. */
    ~ActiveRequest();
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    EntryState &state;
};

} // namespace sassafrasyard
