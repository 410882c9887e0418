#pragma once

#include "policy/admission/accountlimiter.h"
#include "policy/admission/accountlimits.h"
#include "policy/admission/admissionqueue.h"
#include "policy/admission/costestimator.h"
#include "policy/admission/groupload.h"
#include "policy/dispatch/serverflags.h"
#include "policy/hedging/hedgepolicy.h"
#include "policy/placement/placementpolicy.h"
#include "policy/pool/serverpool.h"
#include "policy/quarantine/crashquarantine.h"
#include "policy/quarantine/promptpartquarantine.h"
#include "policy/retries/retrybudget.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/suspension/suspensionpolicy.h"
#include "policy/work/decision.h"
#include "policy/work/workrequest.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Settings of a Dispatcher. */
struct DispatcherOptions
{
    /** This host's name. */
    HostName host;
    /** This host's failure domain. */
    FailureDomainName failureDomain;
    /** Chooses the backend server of each request. */
    PlacementPolicy placement = leastOutstandingPlacement();
    /** The maximum number of requests waiting on this host. */
    std::size_t queueLimit = 2000;
    /** The maximum number of requests of one client account waiting on this host. */
    std::size_t accountQueueLimit = 500;
    /**
     * The time after which a waiting request is refused, in milliseconds. Half of the target of
     * 1.1 s for the first token is left for the network, prompt processing and one retry.
     */
    Milliseconds maximumWait{550};
    /** A request counts as short if its maximumTokens is set and not above this, in tokens. */
    std::uint32_t shortTokens = 256;
    /** Whether engines can suspend a stream so that a short request may use its slot. */
    bool allowsSuspension = true;
    /** Limits on suspensions. */
    SuspensionOptions suspension;
    /** Limits on retries. */
    RetryBudgetOptions retries;
    /** When a second attempt is started for a slow request. */
    HedgeOptions hedging;
    /** Seed of all random choices. */
    std::uint64_t seed = 1;
};

/**
 * Decides when each request runs and on which backend server.
 *
 * The caller reports events and executes the decisions that takeDecisions() returns. Each submitted
 * request gets exactly one Refusal, or one Assignment after which the caller must call
 * recordFinished().
 */
class Dispatcher
{
public:
    /** Creates a dispatcher without backend servers. */
    explicit Dispatcher(DispatcherOptions options);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Replaces the set of backend servers. Requests on removed servers keep running. */
    void setBackendServers(std::span<const BackendServer> servers, Milliseconds now);
    /** Replaces the limits of all client accounts; an account that is not listed has no limits. */
    void setAccountLimits(std::span<const AccountLimits> limits);
    /** Sets the number of live entry hosts, among which the accounts' limits are divided. */
    void setLiveHostCount(std::size_t count);
    /** Overrides a backend server's leaving state until the configuration catches up. */
    void setLeaving(const BackendServerName &server, bool isLeaving);

    /** Records whether a backend server is reachable; an unreachable one gets no new requests. */
    void setReachable(const BackendServerName &server, bool isReachable);
    /** Records whether a backend server gets no new requests for a time; its load stays known. */
    void setPaused(const BackendServerName &server, bool isPaused);

    /**
     * Records that a server of an evacuated failure domain may get new requests again; see
     * ServerPool::startGradually().
     */
    void recordReturn(const BackendServerName &server, Milliseconds now);

    /** Submits a request for placement. Its name must not be in use. */
    void submit(const WorkRequest &request, Milliseconds now);
    /** Records the number of tokens that a running request has produced so far. */
    void recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now);
    /** Records the end of a running request and frees its slot and reservations. */
    void recordFinished(const RequestName &request, WorkOutcome outcome, Milliseconds now);
    /**
     * Records that a server crashed while it ran a request.
     *
     * @param requestDigest WorkRequest::requestDigest; 0 is ignored.
     * @param promptParts WorkRequest::promptParts.
     */
    void recordDeath(std::uint64_t requestDigest, std::span<const std::uint64_t> promptParts,
                     const BackendServerName &server, Milliseconds now);
    /** Removes a request from the queue without a decision; does nothing if it is not waiting. */
    void withdraw(const RequestName &request, Milliseconds now);
    /**
     * Refuses a request that waits for a backend server; does nothing if it is not waiting.
     *
     * @param reason the reason of the Refusal.
     * @param retryAfter in milliseconds.
     */
    void refuseWaiting(const RequestName &request, ErrorCode reason, Milliseconds retryAfter);
    /** Records an engine's load report. */
    void recordLoadReport(const LoadReport &report, Milliseconds now);
    /** Records that an engine stored or evicted a cached prompt prefix. */
    void recordCacheEvent(const CacheEvent &event, Milliseconds now);
    /** Records a peer's summary of its outstanding requests. */
    void recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now);
    /** Returns for how long a request stays quarantined, or nothing if it may run. */
    std::optional<Milliseconds> quarantinedFor(const WorkRequest &request, Milliseconds now) const;
    /** Sets the function that is called when a request or a part of prompts becomes quarantined. */
    void setQuarantineHook(CrashQuarantine::RefusalHook hook);
    /** Records a peer's quarantine records. */
    void recordPeerQuarantine(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Records that a running request delivered its first output. */
    void recordFirstToken(const RequestName &request, Milliseconds now);
    /**
     * Returns whether to start a second attempt of a running request now; if so, charges the hedge
     * budget. The caller submits the second attempt with WorkRequest::hedgeOf set.
     */
    bool takeHedge(const RequestName &request, Milliseconds now);
    /**
     * Reserves engine memory for a copy of a running request's state on another engine.
     *
     * @param copy the run to copy; its name must not be in use, and avoided must list the servers
     *     whose failure the copy protects against.
     * @param isUrgent whether the request continues on that engine at once, which raises the memory
     *     limit.
     * @return the engine, or nothing if none has enough free memory.
     */
    std::optional<BackendServerName> reserveCopy(const WorkRequest &copy, bool isUrgent,
                                                 Milliseconds now);
    /** Turns a copy into a running request, for example after its original was lost. */
    void promoteCopy(const RequestName &copy, Milliseconds now);
    /**
     * Records that an engine refused a copy or a request for want of room; see
     * ServerPool::recordFull().
     */
    void recordFull(const BackendServerName &server, Milliseconds now);
    /** Returns how fast this host found engines lately; see ServerPool::ownSpeeds(). */
    std::vector<EngineSpeed> ownSpeeds(Milliseconds now) const;
    /** Records what a peer found; see ServerPool::recordPeerSpeed(). */
    bool recordPeerSpeed(const EngineSpeed &speed, Milliseconds now);
    /** Returns what may slow the streams of an engine down. */
    EngineCondition engineCondition(const BackendServerName &server, Milliseconds now) const;
    /** Frees the memory reserved for a copy; does nothing for an unknown name. */
    void releaseCopy(const RequestName &copy, Milliseconds now);
    /**
     * Advances the time: refuses waiting requests that can't be served in time, and retries
     * placement of the others. Must be called regularly.
     */
    void advance(Milliseconds now);

    /** Returns the decisions made since the last call, oldest first. */
    std::vector<Decision> takeDecisions();
    /** Returns the summary of this host's outstanding requests to send to its peers. */
    PeerLoadDigest peerLoadDigest(Milliseconds now);
    /** Returns the quarantine records to share with peers. */
    std::vector<QuarantineRecord> quarantineRecords(Milliseconds now) const;
    /** Returns the number of waiting requests. */
    std::size_t waitingCount() const;
    /** Returns the number of running requests. */
    std::size_t runningCount() const;

private:
    struct Group
    {
        Group(QueueGroup key, std::uint64_t number, Milliseconds permittedWait)
            : key(std::move(key))
            , number(number)
            , load(permittedWait)
        {
        }

        QueueGroup key;
        std::uint64_t number;
        GroupLoad load;
        /** Levels whose next request could not be placed since capacity last changed. */
        AdmissionQueue::LevelMask blocked = 0;
        std::size_t running = 0;
        std::size_t borrowedSlots = 0;
        Milliseconds lastUsedAt{0};
    };

    struct Copy
    {
        WorkRequest request;
        BackendServerName server;
    };

    struct RunningRequest
    {
        WorkRequest request;
        Group *group = nullptr;
        BackendServerName server;
        Milliseconds assignedAt{0};
        std::uint32_t tokens = 0;
        double cost = 0.0;
        bool hasOutput = false;
        /** When the request's first output was recorded. */
        std::optional<Milliseconds> firstOutputAt;
        bool isCrashFree = false;
        bool isHedged = false;
        /** The suspended request whose slot this request uses, if any. */
        std::optional<RequestName> lender;
        /** The request that uses the slot of this one while it is suspended, if any. */
        std::optional<RequestName> borrower;
    };

    std::optional<Refusal> checkAdmission(const WorkRequest &request, Milliseconds now);
    Group &groupFor(const WorkRequest &request, Milliseconds now);
    void recordOutput(RunningRequest &work, Milliseconds now);
    void recordTokenUse(const RunningRequest &work, WorkOutcome outcome);
    void releaseSlot(const RunningRequest &work, WorkOutcome outcome, Milliseconds now);

    void refuse(const WorkRequest &request, ErrorCode reason, Milliseconds retryAfter);
    void refuseExpired(Milliseconds now);
    void refuseSurplus(Group &group, Milliseconds now);
    bool isWaitTooLong(Group &group, const WorkRequest &request, std::size_t level,
                       const QueuePosition &position, Milliseconds now);
    Milliseconds retryAfter(Group &group, Milliseconds now);

    void recordCapacityChange(Milliseconds now);
    void placeGroup(Group &group, Milliseconds now);
    bool tryPlace(Group &group, const WorkRequest &request, Milliseconds now);
    bool tryPlaceInBorrowedSlot(Group &group, const WorkRequest &request, Milliseconds now);
    std::optional<RequestName> findSlotLender(const Group &group, const WorkRequest &request,
                                              Milliseconds now) const;
    void assign(Group &group, const WorkRequest &request, const Placement &placement,
                Milliseconds now);
    std::optional<std::size_t> choose(const PlacementPolicy &policy, const WorkRequest &request,
                                      std::span<const PlacementCandidate> candidates) const;
    bool isSuspect(const WorkRequest &request, Milliseconds now) const;
    void recordCrashFreeRun(const WorkRequest &request, bool hasOutput, Milliseconds now);
    void updateSuspectServers(Milliseconds now);
    void removeIdleGroups(Milliseconds now);

    DispatcherOptions options;
    ServerPool pool;
    AdmissionQueue queue;
    AccountLimiter limiter;
    SuspensionPolicy suspension;
    RetryBudget retries;
    CrashQuarantine quarantine;
    PromptPartQuarantine partQuarantine;
    HedgePolicy hedging;
    std::map<QueueGroup, Group> groups;
    std::unordered_map<RequestName, RunningRequest> running;
    std::unordered_map<RequestName, Copy> copies;
    /**
     * Requests that ended while another one used their slot. They are released in the pool when
     * that one ends.
     */
    std::unordered_map<RequestName, WorkOutcome> deferredReleases;
    ServerFlags servers;
    std::set<BackendServerName> suspectServers;
    CostEstimator costs;
    std::set<ClientAccountName> weightedAccounts;
    std::vector<Decision> decisions;
    std::uint64_t groupCount = 0;
    /** The number of times that waiting requests were placed after a change of capacity. */
    std::uint64_t placementRounds = 0;
    std::uint64_t refusalCount = 0;
    Milliseconds lastCleanup{0};
    bool isPlacingSuspect = false;
    /** The share of an engine's memory that may be in use with the copy that is being placed. */
    std::optional<double> currentCopyMemoryLimit;
};

} // namespace sassafrasyard
