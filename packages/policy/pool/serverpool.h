#pragma once

#include "policy/length/lengthestimator.h"
#include "policy/load/cacheturnover.h"
#include "policy/load/loadtracker.h"
#include "policy/load/prefixindex.h"
#include "policy/pace/pacemonitor.h"
#include "policy/placement/placementpolicy.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/speed/enginespeeds.h"
#include "policy/work/workrequest.h"

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** Settings of a ServerPool. */
struct ServerPoolOptions
{
    /** This host's name. */
    HostName host;
    /** This host's failure domain. */
    FailureDomainName failureDomain;
    /** Chooses the backend server of each request. */
    PlacementPolicy placement = leastOutstandingPlacement();
    /** Seed of all random choices. */
    std::uint64_t seed = 1;
    /** The quantile of a request's estimated output for which memory is reserved, in [0, 1). */
    double reservationQuantile = 0.7;
    /** The maximum number of backend servers in the load digest sent to peers. */
    std::size_t digestLimit = 256;
    /** Settings of the output length estimate. */
    LengthEstimatorOptions length = {};
    /** Settings of the load estimate. */
    LoadTrackerOptions load = {};
    /** Settings of the prefix index. */
    PrefixIndexOptions prefix = {};
    /**
     * Settings of the pace monitor; its seed is replaced by one derived from the pool's seed and
     * host.
     */
    PaceMonitorOptions pace = {};
};

/** Where a request was placed. */
struct Placement
{
    /** The backend server. */
    BackendServerName server;
    /** The engine memory reserved for it, in tokens. */
    std::uint32_t reservedTokens = 0;
    /** The tokens of its prompt that are probably cached there. */
    std::uint32_t cachedTokens = 0;
    /** Tokens of other prompts that it waits for beyond those at the least loaded candidate. */
    std::uint32_t acceptedWaitTokens = 0;
};

/** The capacity of a pool for one model. */
struct PoolCapacity
{
    /** Slots of all usable servers. */
    std::uint32_t totalSlots = 0;
    /** Estimated slots that no host uses. */
    double freeSlots = 0.0;
};

/** What may slow the streams of an engine down. */
struct EngineCondition
{
    /** The learned time per token relative to the median of the model; 1 if unknown. */
    double speedRatio = 1.0;
    /** Tokens of prompts that are not read yet. */
    double pendingPromptTokens = 0.0;
    /** The share of the memory that is in use or reserved, by the estimate. */
    double memoryShare = 0.0;
};

/** What a pause of a stream inside its engine probably comes from. */
enum class PauseCause : std::uint8_t {
    /** The engine is slower than others of its model. */
    SlowEngine,
    /** The engine reads prompts of other requests between the tokens of the stream. */
    Prompts,
    /** Neither; the engine may have preempted the run for want of memory. */
    Preemption,
};

/** Returns the name of a cause for logs and metrics. */
std::string_view toString(PauseCause cause);
/** Returns the likely cause of a pause on an engine in a condition. */
PauseCause likelyPauseCause(const EngineCondition &condition);

/** A backend server that is ejected or being probed because it is slow. */
struct SlowServer
{
    /** The backend server. */
    BackendServerName server;
    /** Ejected or Probing. */
    PaceState state = PaceState::Ejected;
    /** Its time per token divided by the median of its peers. */
    double paceRatio = 1.0;
};

/** An engine whose memory is expected to run out while its requests decode. */
struct MemoryShortage
{
    /** The engine. */
    BackendServerName server;
    /** The estimated demand beyond its memory, in tokens. */
    std::uint64_t excessTokens = 0;
};

/**
 * Tracks the load, reservations and speed of the backend servers, and places requests on them.
 *
 * Uses no clock or other input: the same calls with the same seed give the same placements.
 */
class ServerPool
{
public:
    /** Creates an empty pool. */
    explicit ServerPool(ServerPoolOptions options);
    ServerPool(const ServerPool &) = delete;
    ServerPool &operator=(const ServerPool &) = delete;

    /** Replaces the set of servers. Requests on removed servers stay tracked until released. */
    void setBackendServers(std::span<const BackendServer> newServers, Milliseconds now);
    /** Overrides a server's leaving state until the configuration catches up. */
    void setLeaving(const BackendServerName &server, bool isLeaving);
    /**
     * Records whether a server is reachable; its load report and cached prefixes are dropped if
     * not.
     */
    void setReachable(const BackendServerName &server, bool isReachable);
    /** Records whether a server gets no new requests for a time; its load stays known. */
    void setPaused(const BackendServerName &server, bool isPaused);
    /**
     * Limits the requests of this host on a server that had none for a time, because all hosts
     * return to it at once. The limit rises with time and then ends; see returnLimit().
     */
    void startGradually(const BackendServerName &server, Milliseconds now);
    /**
     * Records that an engine refused a copy or a request for want of room. For a short time it gets
     * neither copies nor runs that need moves; the load data of hosts does not show it in time.
     */
    void recordFull(const BackendServerName &server, Milliseconds now);
    /** Records a load report; ignored for an unknown server. */
    void recordLoadReport(const LoadReport &report, Milliseconds now);
    /** Records a cache event; ignored for an unknown server. */
    void recordCacheEvent(const CacheEvent &event, Milliseconds now);
    /** Records a peer's summary of its outstanding requests. */
    void recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now);
    /** Returns how fast this host found engines lately, to tell its peers. */
    std::vector<EngineSpeed> ownSpeeds(Milliseconds now) const;
    /**
     * Records what a peer found; see EngineSpeeds::recordPeer(). Speeds of unknown engines are
     * ignored.
     *
     * @return false if the speed is not believed.
     */
    bool recordPeerSpeed(const EngineSpeed &speed, Milliseconds now);
    /** Advances the time: expires peers' digests and checks for slow servers. Call it regularly. */
    void advance(Milliseconds now);

    /** Places a request and reserves memory for it, or returns nothing if no server can take it. */
    std::optional<Placement> place(const WorkRequest &request, Milliseconds now);
    /** Records the number of tokens that a placed request has produced so far. */
    void recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now);
    /** Frees the slot and memory of a placed request; does nothing for an unknown one. */
    void release(const RequestName &request, WorkOutcome outcome, Milliseconds now);

    /** Returns the summary of this host's outstanding requests to send to its peers. */
    PeerLoadDigest peerLoadDigest(Milliseconds now);
    /**
     * Returns the total and free slots for a model.
     *
     * @param version the software version of the servers to count, or nothing for any.
     */
    PoolCapacity capacity(const ModelName &model, const std::optional<SoftwareVersion> &version,
                          Milliseconds now) const;
    /** Returns the condition of an engine; that of an unknown one is unremarkable. */
    EngineCondition engineCondition(const BackendServerName &server, Milliseconds now) const;
    /** Returns the number of placed requests. */
    std::size_t placedCount() const;
    /** Returns the servers that are ejected or being probed, for logs and metrics. */
    std::vector<SlowServer> slowServers() const;
    /**
     * Returns the engines whose reserved and otherwise used memory exceeds their total by a token
     * or more.
     */
    std::vector<MemoryShortage> memoryShortages(Milliseconds now) const;
    /**
     * Returns a quantile of the remaining output of a placed request, in tokens; 0 if it is
     * unknown.
     */
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

    /**
     * The server data that place() reads, kept separate from the larger configuration for locality.
     */
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
        /** What the marked holder probably has of the prompt, and since when it was not used. */
        std::uint32_t prefixTokens = 0;
        Milliseconds prefixStoredAt{0};
        bool isConfigured = false;
        bool isEngine = false;
        bool isSameDomain = false;
        bool isLeaving = false;
        bool isMarkedLeaving = false;
        bool isReachable = true;
        bool isPaused = false;
        bool isTracked = true;
        /** When a server returned that starts gradually. */
        std::optional<Milliseconds> returnedAt;
        /** Until when an engine counts as full that refused work for want of room. */
        Milliseconds fullUntil{0};
    };

    /** What a request asks of an engine. */
    struct RoomNeeded
    {
        /** The memory, in tokens. */
        double tokens = 0.0;
        /** Whether engines are left out that refused work for want of room. */
        bool avoidsFull = false;
        /** The number of engines of the model. */
        std::size_t engineCount = 0;
    };

    /**
     * The servers of a model, and the smallest request that found no candidate. The refusal is
     * valid until the time or capacityVersion changes. Requests that are bound to a software
     * version or avoid servers neither set nor use it, because they have other candidates.
     */
    struct ModelServers
    {
        std::vector<ServerIndex> indices;
        bool hasUntracked = false;
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
    static std::uint32_t gradualLimit(const ServerState &state, Milliseconds now);
    static double memoryTotal(const ServerState &state, const LoadEstimate &load);
    static double memoryExcess(const ServerState &state, const LoadEstimate &load);
    bool hasVersion(ServerIndex serverIndex, const std::optional<SoftwareVersion> &version) const;
    bool usesUntracked(const ModelServers &model, const std::optional<SoftwareVersion> &version,
                       std::span<const BackendServerName> avoided) const;
    bool isRefusalCached(const ModelServers &model, double neededMemory, Milliseconds now) const;
    void collectForRequest(const ModelServers &model, const WorkRequest &request,
                           const RoomNeeded &room, Milliseconds now);
    void reserve(PlacedRequest &placedRequest, const WorkRequest &request, Milliseconds now);
    std::uint32_t expectedOutput(const PlacedRequest &request, Milliseconds now) const;
    void markPrefixHolders(const WorkRequest &request, Milliseconds now);
    void markHolders(const PromptPrefix &prefix, Milliseconds now);
    double cachedTokens(const ServerState &state, double freeTokens, std::size_t engineCount,
                        Milliseconds now) const;
    bool collectCandidates(std::span<const ServerIndex> indices, const WorkRequest &request,
                           const RoomNeeded &room, bool mayUseUntracked, bool isPaceLimited,
                           Milliseconds now);
    void addCandidate(ServerIndex serverIndex, const RoomNeeded &room, Milliseconds now);
    void clearPendingPrompt(PlacedRequest &request);
    void recordWorkTime(ShortWork kind, Milliseconds time);
    void updateReservation(PlacedRequest &request, Milliseconds now);
    void recordPace(PlacedRequest &request, std::uint32_t tokens, Milliseconds now);

    ServerPoolOptions options;
    LengthEstimator lengthEstimator;
    LoadTracker loadTracker;
    PrefixIndex prefixIndex;
    PaceMonitor paceMonitor;
    EngineSpeeds speeds;
    CacheTurnover cacheTurnover;
    std::vector<ServerState> states;
    std::vector<BackendServer> configurations;
    std::vector<ServerIndex> freeIndices;
    std::unordered_map<BackendServerName, ServerIndex> indicesByName;
    std::unordered_map<ModelName, ModelServers> serversByModel;
    std::unordered_map<RequestName, PlacedRequest> placed;
    std::vector<PlacementCandidate> candidates;
    std::uint64_t placementCount = 0;
    /** The smoothed duration of each kind of short work, in milliseconds, once one was measured. */
    std::array<std::optional<double>, 2> typicalWorkTimes;
    /** Increases with each event that may make a request placeable. */
    std::uint64_t capacityVersion = 1;
    std::uint64_t digestSequence = 0;
};

} // namespace sassafrasyard
