#pragma once

#include "policy/placement/placementpolicy.h"
#include "policy/pool/serverpool.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/work/decision.h"
#include "policy/work/workrequest.h"

#include <cstddef>
#include <deque>
#include <span>
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
    /** How long a request may wait before it is refused, in milliseconds. */
    Milliseconds maximumWait{5000};
    /** Seed of every random choice. */
    std::uint64_t seed = 1;
};

/** The limits of one client account. */
struct AccountLimits
{
    /** The client account. */
    ClientAccountName account;
    /** Its share relative to other accounts. */
    double weight = 1.0;
    /** Requests it may have running over all entry hosts; 0 for no limit. */
    std::uint32_t maximumRunning = 0;
    /** Requests a second it may start over all entry hosts; 0 for no limit. */
    double requestsPerSecond = 0.0;
    /** The highest priority its requests may use. */
    Priority highestPriority = Priority::High;
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
    /** Withdraws a request that is still waiting; does nothing if it is not waiting. */
    void withdraw(const RequestName &request, Milliseconds now);
    /** Records an engine's load report. */
    void recordLoadReport(const LoadReport &report, Milliseconds now);
    /** Records a cache event of an engine. */
    void recordCacheEvent(const CacheEvent &event, Milliseconds now);
    /** Records a peer's digest of its own dispatches. */
    void recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now);
    /** Records a peer's quarantine records. */
    void recordPeerQuarantine(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Lets time pass: refuses requests that waited too long, places others. */
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
    struct WaitingRequest
    {
        WorkRequest request;
        Milliseconds submittedAt;
    };

    void placeWaiting(Milliseconds now);

    DispatcherOptions options;
    ServerPool pool;
    std::deque<WaitingRequest> waiting;
    std::vector<Decision> decisions;
};

} // namespace sassafrasyard
