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

/** What the dispatcher needs to know about its host. */
struct DispatcherOptions
{
    /** This host's name. */
    HostName host;
    /** This host's failure domain. */
    FailureDomainName failureDomain;
    /** Chooses backend servers. */
    PlacementPolicy placement = leastOutstandingPlacement();
    /** How many requests may wait on this host. */
    std::size_t queueLimit = 2000;
    /** How many requests of one client account may wait on this host. */
    std::size_t accountQueueLimit = 500;
    /**
     * How long a request may wait before it is refused, in milliseconds. It leaves half of the
     * target of 1.1 s to the first token for the network, the prompt and one retry.
     */
    Milliseconds maximumWait{550};
    /** A request with maximumTokens set to at most this is short, in tokens. */
    std::uint32_t shortTokens = 256;
    /** Whether the engines can suspend a stream, so that short work may use its slot. */
    bool allowsSuspension = true;
    /** Bounds on suspensions. */
    SuspensionOptions suspension;
    /** Bounds on retries. */
    RetryBudgetOptions retries;
    /** When a second attempt is worthwhile. */
    HedgeOptions hedging;
    /** Seed of every random choice. */
    std::uint64_t seed = 1;
};

/**
 * Decides where and when requests run.
 *
 * The driver feeds events in and carries out the decisions that takeDecisions() returns. Every
 * submitted request ends in exactly one Refusal or in an Assignment followed by the driver's
 * recordFinished().
 */
class Dispatcher
{
public:
    /** Creates a dispatcher without backend servers. */
    explicit Dispatcher(DispatcherOptions options);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Replaces the set of backend servers. Running work on removed ones goes on. */
    void setBackendServers(std::span<const BackendServer> servers, Milliseconds now);
    /** Replaces the limits of all client accounts. */
    void setAccountLimits(std::span<const AccountLimits> limits);
    /** Tells how many entry hosts are alive, to share the accounts' limits among them. */
    void setLiveHostCount(std::size_t count);
    /** Marks a backend server as leaving (or not) before the configuration says so. */
    void setLeaving(const BackendServerName &server, bool isLeaving);

    /** Records whether a backend server answers at all; an unreachable one gets no new work. */
    void setReachable(const BackendServerName &server, bool isReachable);

    /** Hands in a request. Its name must not be in use. */
    void submit(const WorkRequest &request, Milliseconds now);
    /** Records how many tokens a running request has produced so far. */
    void recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now);
    /** Records the end of a running request and frees what it held. */
    void recordFinished(const RequestName &request, WorkOutcome outcome, Milliseconds now);
    /** Records that a request was running on a server that crashed; a digest of 0 is ignored. */
    void recordDeath(std::uint64_t requestDigest, const BackendServerName &server,
                     Milliseconds now);
    /** Withdraws a request that is still waiting; does nothing if it is not waiting. */
    void withdraw(const RequestName &request, Milliseconds now);
    /** Records an engine's load report. */
    void recordLoadReport(const LoadReport &report, Milliseconds now);
    /** Records a cache event of an engine. */
    void recordCacheEvent(const CacheEvent &event, Milliseconds now);
    /** Records a peer's digest of its own dispatches. */
    void recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now);
    /** Returns how long a request is refused for the servers that it crashed; nothing if not. */
    std::optional<Milliseconds> quarantinedFor(std::uint64_t requestDigest, Milliseconds now) const;
    /** Sets what is called when a request begins to be refused for the servers that it crashed. */
    void setQuarantineHook(CrashQuarantine::RefusalHook hook);
    /** Records a peer's quarantine records. */
    void recordPeerQuarantine(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Records that a running request delivered its first output. */
    void recordFirstToken(const RequestName &request, Milliseconds now);
    /**
     * Returns whether to start a second attempt at a running request now, and takes it from the
     * budget. The second attempt is submitted with WorkRequest::hedgeOf set.
     */
    bool takeHedge(const RequestName &request, Milliseconds now);
    /**
     * Reserves memory for a copy of a running request's memory on another engine.
     *
     * @param copy describes the request; its name must not be in use, and avoided must hold the
     *     servers that the copy is to survive.
     * @param isUrgent whether the request will go on there at once, so that more room may be used.
     * @return the engine, or nothing if none has room.
     */
    std::optional<BackendServerName> reserveCopy(const WorkRequest &copy, bool isUrgent,
                                                 Milliseconds now);
    /** Turns a copy into a running request, as when its original was lost. */
    void promoteCopy(const RequestName &copy, Milliseconds now);
    /** Frees what a copy reserved; does nothing for an unknown one. */
    void releaseCopy(const RequestName &copy, Milliseconds now);
    /** Lets time pass: refuses requests that can't be served in time, places others. */
    void advance(Milliseconds now);

    /** Returns the decisions made since the last call, in order. */
    std::vector<Decision> takeDecisions();
    /** Returns this host's digest for its peers. */
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
        /** Levels whose next request found no place since capacity last changed. */
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
        /** For a guest, the request whose slot it uses. */
        std::optional<RequestName> lender;
        /** The guest that uses this request's slot. */
        std::optional<RequestName> borrower;
    };

    std::optional<Refusal> checkAdmission(const WorkRequest &request, Milliseconds now);
    Group &groupFor(const WorkRequest &request, Milliseconds now);
    void recordOutput(RunningRequest &work, Milliseconds now);
    void recordTokenUse(const RunningRequest &work, WorkOutcome outcome);
    void releaseSlot(const RunningRequest &work, WorkOutcome outcome, Milliseconds now);

    void refuse(const WorkRequest &request, ErrorCode reason, Milliseconds retryAfter);
    void refuseWaiting(const RequestName &name, ErrorCode reason, Milliseconds retryAfter);
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
    void updateSuspectServers(Milliseconds now);
    void removeIdleGroups(Milliseconds now);

    DispatcherOptions options;
    ServerPool pool;
    AdmissionQueue queue;
    AccountLimiter limiter;
    SuspensionPolicy suspension;
    RetryBudget retries;
    CrashQuarantine quarantine;
    HedgePolicy hedging;
    std::map<QueueGroup, Group> groups;
    std::unordered_map<RequestName, RunningRequest> running;
    std::unordered_map<RequestName, Copy> copies;
    /** Requests that ended while a guest used their slot, which the pool still counts. */
    std::unordered_map<RequestName, WorkOutcome> deferredReleases;
    ServerFlags servers;
    std::set<BackendServerName> suspectServers;
    CostEstimator costs;
    std::set<ClientAccountName> weightedAccounts;
    std::vector<Decision> decisions;
    std::uint64_t groupCount = 0;
    std::uint64_t refusalCount = 0;
    Milliseconds lastCleanup{0};
    bool isPlacingSuspect = false;
    /** The memory share up to which a copy that is being placed may fill an engine. */
    std::optional<double> currentCopyMemoryLimit;
};

} // namespace sassafrasyard
