#pragma once

#include "policy/placement/placementpolicy.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/work/workrequest.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** What a ServerPool needs to know about its host. */
struct ServerPoolOptions
{
    /** This host's name. */
    HostName host;
    /** This host's failure domain. */
    FailureDomainName failureDomain;
    /** Chooses backend servers. */
    PlacementPolicy placement = leastOutstandingPlacement();
    /** Seed of every random choice. */
    std::uint64_t seed = 1;
};

/** Where a request was placed. */
struct Placement
{
    /** The backend server. */
    BackendServerName server;
    /** The engine memory reserved for it, in tokens. */
    std::uint32_t reservedTokens = 0;
};

/** What a pool has left for one model. */
struct PoolCapacity
{
    /** Slots of usable servers. */
    std::uint32_t totalSlots = 0;
    /** Estimated slots not in use by any host. */
    double freeSlots = 0.0;
};

/**
 * The backend servers as this host sees them: load, reservations, pace and placement.
 *
 * Pure: the same calls with the same seed give the same placements.
 */
class ServerPool
{
public:
    /** Creates an empty pool. */
    explicit ServerPool(ServerPoolOptions options);
    ServerPool(const ServerPool &) = delete;
    ServerPool &operator=(const ServerPool &) = delete;

    /** Replaces the set of servers. Work that runs on removed ones stays known until released. */
    void setBackendServers(std::span<const BackendServer> newServers, Milliseconds now);
    /** Marks a server as leaving (or not) before the configuration says so. */
    void setLeaving(const BackendServerName &server, bool isLeaving);
    /** Records whether a server answers at all. */
    void setReachable(const BackendServerName &server, bool isReachable);
    /** Records a load report. */
    void recordLoadReport(const LoadReport &report, Milliseconds now);
    /** Records a cache event. */
    void recordCacheEvent(const CacheEvent &event, Milliseconds now);
    /** Records a peer's digest of its own dispatches. */
    void recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now);
    /** Lets time pass. */
    void advance(Milliseconds now);

    /** Places a request and reserves what it needs, or returns nothing if no server can take it. */
    std::optional<Placement> place(const WorkRequest &request, Milliseconds now);
    /** Records how many tokens a placed request has produced so far. */
    void recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now);
    /** Frees what a placed request held; does nothing for an unknown one. */
    void release(const RequestName &request, WorkOutcome outcome, Milliseconds now);

    /** Returns this host's digest for its peers. */
    PeerLoadDigest peerLoadDigest(Milliseconds now);
    /** Returns what is left for a model. */
    PoolCapacity capacity(const ModelName &model, Milliseconds now) const;
    /** Returns the number of placed requests. */
    std::size_t placedCount() const;

private:
    struct PlacedRequest
    {
        WorkRequest request;
        Placement placement;
    };

    struct ServerState
    {
        BackendServer server;
        std::uint32_t ownRunning = 0;
        bool isMarkedLeaving = false;
        bool isReachable = true;
    };

    bool isUsable(const ServerState &state, const ModelName &model) const;
    std::vector<PlacementCandidate> candidatesFor(const WorkRequest &request) const;

    ServerPoolOptions options;
    std::map<BackendServerName, ServerState> servers;
    std::unordered_map<RequestName, PlacedRequest> placed;
    std::uint64_t digestSequence = 0;
};

} // namespace sassafrasyard
