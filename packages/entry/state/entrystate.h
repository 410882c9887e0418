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

/** What the parts of an entry host share; everything in it is safe from any thread. */
class EntryState
{
public:
    /** Creates the state of one run of the daemon. */
    EntryState(Settings settings, HostIncarnation incarnation);
    EntryState(const EntryState &) = delete;
    EntryState &operator=(const EntryState &) = delete;

    /** The settings the daemon was started with. */
    const Settings settings;
    /** This run's incarnation. */
    const HostIncarnation incarnation;
    /** Never goes back; for time-outs and intervals. */
    const Clock steadyClock;
    /** Milliseconds since the Unix epoch; for times that other hosts read. */
    const Clock systemClock;
    /** Writes and checks stream positions and call bindings. */
    const PositionCodec positions;
    /** The configuration in force. */
    ConfigurationHolder configuration;
    /** The metrics. */
    Metrics metrics;
    /** Whether a planned stop is in progress. */
    std::atomic<bool> isDraining = false;
    /** Callers' requests in progress, streams included. */
    std::atomic<std::size_t> activeRequests = 0;
    /** Tokens relayed since they were last added to the metrics; counting each there costs more. */
    std::atomic<std::uint64_t> pendingTokenCount = 0;

    /** Returns the members as last published. */
    std::shared_ptr<const std::vector<MemberRecord>> members() const;
    /** Publishes the members as of a change of their table, unless a later one is published. */
    void publishMembers(std::vector<MemberRecord> records, std::uint64_t changeCount);
    /** Returns the change of the member table that is published. */
    std::uint64_t publishedChangeCount() const;
    /** Returns the callers' addresses of the live members other than this host, nearest first. */
    std::vector<std::string> otherCallerAddresses() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const std::vector<MemberRecord>> publishedMembers;
    std::uint64_t membersChangeCount = 0;
};

/** Counts a request as active for the life of the object. */
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
