#pragma once

#include "policy/length/lengthestimator.h"
#include "policy/load/loadtracker.h"
#include "policy/load/prefixindex.h"
#include "policy/pace/pacemonitor.h"
#include "policy/placement/placementpolicy.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/work/workrequest.h"

#include <array>
#include <cstddef>
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
    /** The quantile of a request's expected output that is reserved, from 0 to below 1. */
    double reservationQuantile = 0.7;
    /** How many backend servers a digest for peers names at most. */
    std::size_t digestLimit = 256;
    /** Bounds and rates of the length estimate. */
    LengthEstimatorOptions length = {};
    /** Times of the load estimate. */
    LoadTrackerOptions load = {};
    /** Bounds and times of the prefix index. */
    PrefixIndexOptions prefix = {};
    /** Thresholds and times of the pace monitor; its seed is derived from the pool's. */
    PaceMonitorOptions pace = {};
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

/** A backend server that is ejected or probed because it is slow. */
struct SlowServer
{
    /** The backend server. */
    BackendServerName server;
    /** Whether it is ejected or probed. */
    PaceState state = PaceState::Ejected;
    /** Its time per token relative to the median of its peers. */
    double paceRatio = 1.0;
};

/** An engine whose memory is expected to fill up in mid-decode. */
struct MemoryShortage
{
    /** The engine. */
    BackendServerName server;
    /** By how much the estimate exceeds its memory, in tokens. */
    std::uint64_t excessTokens = 0;
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
    /** Returns the servers that are ejected or probed, for logs and metrics. */
    std::vector<SlowServer> slowServers() const;
    /** Returns the engines whose estimated and reserved memory exceeds what they have. */
    std::vector<MemoryShortage> memoryShortages(Milliseconds now) const;
    /** Returns a quantile of the remaining output of a placed request, in tokens. */
    std::uint32_t remainingTokens(const RequestName &request, double quantile,
                                  Milliseconds now) const;

private:
    struct PlacedRequest
    {
        ServerIndex serverIndex = 0;
        LengthClass lengthClass;
        std::uint32_t promptTokens = 0;
        std::uint32_t maximumTokens = 0;
        std::uint32_t reservedTokens = 0;
        std::uint32_t produced = 0;
        std::uint32_t pendingPromptTokens = 0;
        std::uint32_t paceSampleTokens = 0;
        Milliseconds paceSampledAt{0};
        Milliseconds placedAt{0};
    };

    /** What place() reads of a server; kept apart from its names, which are large. */
    struct ServerState
    {
        std::uint32_t slots = 0;
        std::uint32_t memoryTokens = 0;
        std::uint32_t ownRunning = 0;
        std::uint32_t ownDecoding = 0;
        std::uint64_t ownReserved = 0;
        std::uint64_t ownUsed = 0;
        std::uint64_t ownPending = 0;
        std::uint64_t prefixHolderMark = 0;
        bool isConfigured = false;
        bool isEngine = false;
        bool isSameDomain = false;
        bool isLeaving = false;
        bool isMarkedLeaving = false;
        bool isReachable = true;
    };

    /** The smallest request that found no candidate; holds until an event may change that. */
    struct ModelServers
    {
        std::vector<ServerIndex> indices;
        std::uint64_t refusedCapacityVersion = 0;
        Milliseconds refusedAt{0};
        double refusedMemory = 0.0;
    };

    ServerIndex indexFor(const BackendServer &server);
    void configure(ServerIndex serverIndex, const BackendServer &server);
    void removeIfUnused(ServerIndex serverIndex);
    void rebuildModels();
    std::optional<ServerIndex> findIndex(const BackendServerName &server) const;

    static bool isUsable(const ServerState &state);
    static double memoryTotal(const ServerState &state, const LoadEstimate &load);
    static double memoryExcess(const ServerState &state, const LoadEstimate &load);
    bool isRefusalCached(const ModelServers &model, double neededMemory, Milliseconds now) const;
    void reserve(PlacedRequest &request, std::uint64_t prefix, Milliseconds now);
    std::uint32_t expectedOutput(const PlacedRequest &request, Milliseconds now) const;
    void markPrefixHolders(std::uint64_t prefix, Milliseconds now);
    bool collectCandidates(std::span<const ServerIndex> indices, double neededMemory,
                           bool isPaceLimited, Milliseconds now);
    void addCandidate(ServerIndex serverIndex, double neededMemory, Milliseconds now);
    void clearPendingPrompt(PlacedRequest &request);
    void recordWorkTime(ShortWork kind, Milliseconds time);
    void updateReservation(PlacedRequest &request, Milliseconds now);
    void recordPace(PlacedRequest &request, std::uint32_t tokens, Milliseconds now);

    ServerPoolOptions options;
    LengthEstimator lengthEstimator;
    LoadTracker loadTracker;
    PrefixIndex prefixIndex;
    PaceMonitor paceMonitor;
    std::vector<ServerState> states;
    std::vector<BackendServer> configurations;
    std::vector<ServerIndex> freeIndices;
    std::unordered_map<BackendServerName, ServerIndex> indicesByName;
    std::unordered_map<ModelName, ModelServers> serversByModel;
    std::unordered_map<RequestName, PlacedRequest> placed;
    std::vector<PlacementCandidate> candidates;
    std::uint64_t placementCount = 0;
    /** The typical times of short work by kind, in milliseconds, once one was measured. */
    std::array<std::optional<double>, 2> typicalWorkTimes;
    /** Rises with each event that may make room for a request. */
    std::uint64_t capacityVersion = 1;
    std::uint64_t digestSequence = 0;
};

} // namespace sassafrasyard
