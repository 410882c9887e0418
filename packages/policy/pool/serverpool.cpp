#include "policy/pool/serverpool.h"

#include "policy/placement/stablehash.h"
#include "policy/pool/returnlimit.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sassafrasyard {

namespace {

/** The part of a slot that must be free for one more request, since the load is an estimate. */
constexpr double slotMargin = 0.5;
/** One tracked server may be full or hold the run already. */
constexpr std::ptrdiff_t minimumTrackedChoices = 2;
/** Weight of a new sample in the moving average, which covers about the last ten. */
constexpr double workTimeSmoothing = 0.1;
/** A copy or a prompt that ends frees memory within some hundred milliseconds. */
constexpr Milliseconds fullTime{300};
/** A peer's short work counts for twice its typical duration, since some takes longer. */
constexpr double workTimesPerLifetime = 2.0;

std::uint32_t clampTokens(double tokens)
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, largest));
}

PaceMonitorOptions paceOptions(const ServerPoolOptions &options)
{
    PaceMonitorOptions pace = options.pace;
    pace.seed = combineHashes(options.seed, stableHash(options.host.toString()));
    return pace;
}

} // namespace

std::string_view toString(PauseCause cause)
{
    switch (cause) {
    case PauseCause::SlowEngine:
        return "slow_engine";
    case PauseCause::Prompts:
        return "prompts";
    case PauseCause::Preemption:
        return "preemption_suspected";
    }
    return "unknown";
}

PauseCause likelyPauseCause(const EngineCondition &condition)
{
    if (condition.speedRatio > EngineSpeeds::equalFactor)
        return PauseCause::SlowEngine;
    return condition.pendingPromptTokens > 0.0 ? PauseCause::Prompts : PauseCause::Preemption;
}

ServerPool::ServerPool(ServerPoolOptions options)
    : options(std::move(options))
    , lengthEstimator(this->options.length)
    , loadTracker(this->options.load)
    , prefixIndex(this->options.prefix)
    , paceMonitor(paceOptions(this->options))
{
    assert(this->options.placement);
    assert(this->options.reservationQuantile >= 0.0 && this->options.reservationQuantile < 1.0);
}

void ServerPool::setBackendServers(std::span<const BackendServer> newServers, Milliseconds)
{
    ++this->capacityVersion;
    std::vector<bool> isListed(this->states.size(), false);
    for (const BackendServer &server : newServers) {
        const ServerIndex serverIndex = this->indexFor(server);
        if (serverIndex >= isListed.size())
            isListed.resize(serverIndex + 1, false);
        isListed[serverIndex] = true;
        this->configure(serverIndex, server);
    }
    for (ServerIndex serverIndex = 0; serverIndex < this->states.size(); ++serverIndex) {
        if (isListed[serverIndex] || !this->states[serverIndex].isConfigured)
            continue;
        this->states[serverIndex].isConfigured = false;
        this->removeIfUnused(serverIndex);
    }
    this->rebuildModels();
}

void ServerPool::setLeaving(const BackendServerName &server, bool isLeaving)
{
    ++this->capacityVersion;
    if (const auto serverIndex = this->findIndex(server))
        this->states[*serverIndex].isMarkedLeaving = isLeaving;
}

void ServerPool::setReachable(const BackendServerName &server, bool isReachable)
{
    const auto serverIndex = this->findIndex(server);
    if (!serverIndex || this->states[*serverIndex].isReachable == isReachable)
        return;
    ++this->capacityVersion;
    this->states[*serverIndex].isReachable = isReachable;
    if (isReachable)
        return;
    // The server may return as a new process without its former load and cache.
    this->loadTracker.discardReport(*serverIndex);
    this->prefixIndex.removeServer(*serverIndex);
}

void ServerPool::setPaused(const BackendServerName &server, bool isPaused)
{
    ++this->capacityVersion;
    if (const auto serverIndex = this->findIndex(server))
        this->states[*serverIndex].isPaused = isPaused;
}

void ServerPool::startGradually(const BackendServerName &server, Milliseconds now)
{
    ++this->capacityVersion;
    if (const auto serverIndex = this->findIndex(server))
        this->states[*serverIndex].returnedAt = now;
}

void ServerPool::recordFull(const BackendServerName &server, Milliseconds now)
{
    ++this->capacityVersion;
    if (const auto serverIndex = this->findIndex(server))
        this->states[*serverIndex].fullUntil = now + fullTime;
}

void ServerPool::recordLoadReport(const LoadReport &report, Milliseconds now)
{
    const auto serverIndex = this->findIndex(report.server);
    if (!serverIndex)
        return;
    ++this->capacityVersion;
    this->loadTracker.recordReport(*serverIndex, report, now);
    // An idle engine repeats its last interval, which does not reflect its current speed.
    const double interval = PaceMonitor::unloadedInterval(
            report.tokenIntervalMilliseconds, report.running, this->states[*serverIndex].slots);
    if (report.running > 0)
        this->paceMonitor.recordReport(*serverIndex, interval,
                                       now - std::max(report.age, Milliseconds(0)));
}

void ServerPool::recordCacheEvent(const CacheEvent &event, Milliseconds now)
{
    if (const auto serverIndex = this->findIndex(event.server))
        this->prefixIndex.recordEvent(*serverIndex, event, now);
}

void ServerPool::recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now)
{
    if (digest.host == this->options.host)
        return;
    std::vector<PeerServerLoad> serverLoads;
    serverLoads.reserve(digest.entries.size());
    for (const PeerLoadEntry &entry : digest.entries) {
        const auto serverIndex = this->findIndex(entry.server);
        // Peers announce their work on tracked servers only, so that on others stays incomplete.
        if (serverIndex && this->states[*serverIndex].isTracked)
            serverLoads.push_back({*serverIndex, entry.running, entry.reservedTokens,
                                   entry.pendingPromptTokens,
                                   !this->states[*serverIndex].isEngine});
    }
    ++this->capacityVersion;
    this->loadTracker.recordPeerLoad(digest.host, digest.sequence, serverLoads, now);
}

void ServerPool::advance(Milliseconds now)
{
    ++this->capacityVersion;
    this->loadTracker.advance(now);
    this->paceMonitor.advance(now);
    this->speeds.advance(now);
}

std::vector<EngineSpeed> ServerPool::ownSpeeds(Milliseconds now) const
{
    std::vector<EngineSpeed> found;
    for (ServerIndex serverIndex = 0; serverIndex < this->states.size(); ++serverIndex) {
        EngineSpeed speed = this->speeds.own(serverIndex, now);
        if (!this->states[serverIndex].isConfigured || speed.samples <= 0.0)
            continue;
        speed.server = this->configurations[serverIndex].name;
        found.push_back(std::move(speed));
    }
    return found;
}

bool ServerPool::recordPeerSpeed(const EngineSpeed &speed, Milliseconds now)
{
    const auto serverIndex = this->findIndex(speed.server);
    return !serverIndex
            || this->speeds.recordPeer(*serverIndex, speed.millisecondsPerToken, speed.samples,
                                       now);
}

std::optional<Placement> ServerPool::place(const WorkRequest &request, Milliseconds now)
{
    assert(!this->placed.contains(request.name));
    const auto model = this->serversByModel.find(request.model);
    if (model == this->serversByModel.end())
        return std::nullopt;
    ModelServers &modelServers = model->second;
    PlacedRequest entry;
    entry.lengthClass =
            LengthEstimator::classOf(request.account, request.model, request.promptTokens);
    entry.promptTokens = request.promptTokens;
    entry.maximumTokens = request.maximumTokens;
    entry.pendingPromptTokens = request.isPrefillNeeded ? request.promptTokens : 0;
    entry.placedAt = now;
    const double neededMemory =
            static_cast<double>(entry.promptTokens) + this->expectedOutput(entry, now);
    const bool isRefusalShared =
            !request.softwareVersion && request.avoided.empty() && !request.needsMoves;
    if (isRefusalShared && this->isRefusalCached(modelServers, neededMemory, now))
        return std::nullopt;
    this->markPrefixHolders(request, now);
    const RoomNeeded room{neededMemory, request.needsMoves, modelServers.indices.size()};
    this->collectForRequest(modelServers, request, room, now);
    if (this->candidates.empty()) {
        if (!isRefusalShared)
            return std::nullopt;
        modelServers.refusedCapacityVersion = this->capacityVersion;
        modelServers.refusedAt = now;
        modelServers.refusedMemory = neededMemory;
        return std::nullopt;
    }
    const std::optional<std::size_t> chosen = this->options.placement(request, this->candidates);
    if (!chosen)
        return std::nullopt;
    entry.serverIndex = static_cast<ServerIndex>(this->candidates[*chosen].server
                                                 - this->configurations.data());
    this->reserve(entry, request, now);
    Placement placement{this->configurations[entry.serverIndex].name, entry.reservedTokens};
    const PlacementCandidate &taken = this->candidates[*chosen];
    if (taken.cachedTokens > 0.0) {
        double leastPending = taken.pendingPromptTokens;
        for (const PlacementCandidate &candidate : this->candidates)
            leastPending = std::min(leastPending, candidate.pendingPromptTokens);
        placement.cachedTokens = clampTokens(taken.cachedTokens);
        placement.acceptedWaitTokens = clampTokens(taken.pendingPromptTokens - leastPending);
    }
    this->placed.emplace(request.name, entry);
    return placement;
}

void ServerPool::recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now)
{
    const auto known = this->placed.find(request);
    if (known == this->placed.end() || tokens <= known->second.produced)
        return;
    ++this->capacityVersion;
    PlacedRequest &entry = known->second;
    ServerState &state = this->states[entry.serverIndex];
    if (entry.pendingPromptTokens > 0)
        this->recordWorkTime(ShortWork::Prompts, now - entry.placedAt);
    this->clearPendingPrompt(entry);
    this->recordPace(entry, tokens, now);
    state.ownUsed += tokens - entry.produced;
    this->loadTracker.recordOwnLoad(entry.serverIndex, state.ownRunning, state.ownUsed, now);
    const bool isNewBucket =
            LengthEstimator::bucketOf(tokens) != LengthEstimator::bucketOf(entry.produced);
    if (isNewBucket)
        this->lengthEstimator.recordProgress(entry.lengthClass, entry.produced, tokens, now);
    entry.produced = tokens;
    const std::uint64_t used = std::uint64_t{entry.promptTokens} + tokens;
    if (isNewBucket || used > entry.reservedTokens)
        this->updateReservation(entry, now);
}

void ServerPool::release(const RequestName &request, WorkOutcome outcome, Milliseconds now)
{
    const auto known = this->placed.find(request);
    if (known == this->placed.end())
        return;
    PlacedRequest entry = known->second;
    ++this->capacityVersion;
    this->placed.erase(known);
    this->clearPendingPrompt(entry);
    ServerState &state = this->states[entry.serverIndex];
    if (outcome == WorkOutcome::Completed && !state.isEngine)
        this->recordWorkTime(ShortWork::Requests, now - entry.placedAt);
    --state.ownRunning;
    state.ownReserved -= entry.reservedTokens;
    state.ownUsed -= std::uint64_t{entry.promptTokens} + entry.produced;
    if (entry.produced > 0) {
        --state.ownDecoding;
        this->paceMonitor.recordDecoding(entry.serverIndex, state.ownDecoding);
    }
    this->loadTracker.recordOwnLoad(entry.serverIndex, state.ownRunning, state.ownUsed, now);
    // A request cut off by its limit or otherwise only gives a lower bound of its natural length.
    const bool isCutOff = entry.maximumTokens > 0 && entry.produced >= entry.maximumTokens;
    if (outcome == WorkOutcome::Completed && entry.produced > 0 && !isCutOff)
        this->lengthEstimator.recordEnd(entry.lengthClass, entry.produced, now);
    this->removeIfUnused(entry.serverIndex);
}

PeerLoadDigest ServerPool::peerLoadDigest(Milliseconds)
{
    PeerLoadDigest digest{this->options.host, ++this->digestSequence, {}};
    for (ServerIndex serverIndex = 0; serverIndex < this->states.size(); ++serverIndex) {
        const ServerState &state = this->states[serverIndex];
        if (state.ownRunning == 0)
            continue;
        digest.entries.push_back({this->configurations[serverIndex].name, state.ownRunning,
                                  clampTokens(static_cast<double>(state.ownReserved)),
                                  clampTokens(static_cast<double>(state.ownPending))});
    }
    keepLargest(digest, this->options.digestLimit);
    return digest;
}

PoolCapacity ServerPool::capacity(const ModelName &model,
                                  const std::optional<SoftwareVersion> &version,
                                  Milliseconds now) const
{
    PoolCapacity capacity;
    const auto known = this->serversByModel.find(model);
    if (known == this->serversByModel.end())
        return capacity;
    const bool mayUseUntracked = this->usesUntracked(known->second, version, {});
    for (const ServerIndex serverIndex : known->second.indices) {
        const ServerState &state = this->states[serverIndex];
        const bool isSuitable = isUsable(state) && this->hasVersion(serverIndex, version);
        if (!isSuitable || (!state.isTracked && !mayUseUntracked))
            continue;
        capacity.totalSlots += state.slots;
        const LoadEstimate load = this->loadTracker.estimate(serverIndex, now);
        const bool isFull = state.isEngine && memoryExcess(state, load) >= 0.0;
        if (isFull || this->paceMonitor.allowance(serverIndex) == 0)
            continue;
        capacity.freeSlots += std::max(0.0, state.slots - load.running);
    }
    return capacity;
}

EngineCondition ServerPool::engineCondition(const BackendServerName &server, Milliseconds now) const
{
    EngineCondition condition;
    const auto serverIndex = this->findIndex(server);
    if (!serverIndex)
        return condition;
    const ServerState &state = this->states[*serverIndex];
    const LoadEstimate load = this->loadTracker.estimate(*serverIndex, now);
    const double total = memoryTotal(state, load);
    condition.speedRatio = this->speeds.ratio(*serverIndex);
    condition.pendingPromptTokens =
            static_cast<double>(state.ownPending) + load.peersPendingPromptTokens;
    if (total > 0.0)
        condition.memoryShare =
                (static_cast<double>(state.ownReserved) + load.othersMemory) / total;
    return condition;
}

std::size_t ServerPool::placedCount() const
{
    return this->placed.size();
}

std::vector<SlowServer> ServerPool::slowServers() const
{
    std::vector<SlowServer> slow;
    for (const ServerIndex serverIndex : this->paceMonitor.slowServers())
        slow.push_back({this->configurations[serverIndex].name,
                        this->paceMonitor.state(serverIndex),
                        this->paceMonitor.ratio(serverIndex)});
    return slow;
}

std::vector<MemoryShortage> ServerPool::memoryShortages(Milliseconds now) const
{
    std::vector<MemoryShortage> shortages;
    for (ServerIndex serverIndex = 0; serverIndex < this->states.size(); ++serverIndex) {
        const ServerState &state = this->states[serverIndex];
        if (!state.isEngine || (!state.isConfigured && state.ownRunning == 0))
            continue;
        const double excess = memoryExcess(state, this->loadTracker.estimate(serverIndex, now));
        if (excess >= 1.0)
            shortages.push_back(
                    {this->configurations[serverIndex].name, static_cast<std::uint64_t>(excess)});
    }
    return shortages;
}

std::uint32_t ServerPool::remainingTokens(const RequestName &request, double quantile,
                                          Milliseconds now) const
{
    const auto known = this->placed.find(request);
    if (known == this->placed.end())
        return 0;
    const PlacedRequest &entry = known->second;
    const std::uint32_t remaining = this->lengthEstimator.remainingQuantile(
            entry.lengthClass, entry.produced, quantile, now);
    if (entry.maximumTokens == 0)
        return remaining;
    return std::min(remaining, entry.maximumTokens - std::min(entry.maximumTokens, entry.produced));
}

ServerIndex ServerPool::indexFor(const BackendServer &server)
{
    if (const auto serverIndex = this->findIndex(server.name))
        return *serverIndex;
    ServerIndex serverIndex = 0;
    if (this->freeIndices.empty()) {
        serverIndex = static_cast<ServerIndex>(this->states.size());
        this->states.emplace_back();
        this->configurations.emplace_back();
    } else {
        serverIndex = this->freeIndices.back();
        this->freeIndices.pop_back();
    }
    this->indicesByName.emplace(server.name, serverIndex);
    this->loadTracker.addServer(serverIndex);
    this->paceMonitor.resetServer(serverIndex);
    this->speeds.resetServer(serverIndex);
    return serverIndex;
}

void ServerPool::configure(ServerIndex serverIndex, const BackendServer &server)
{
    ServerState &state = this->states[serverIndex];
    if (!state.isConfigured) {
        state.isMarkedLeaving = false;
        state.isReachable = true;
        state.isPaused = false;
    } else if (this->configurations[serverIndex].address != server.address
               || this->configurations[serverIndex].softwareVersion != server.softwareVersion) {
        this->loadTracker.discardReport(serverIndex);
        this->prefixIndex.removeServer(serverIndex);
        this->speeds.resetServer(serverIndex);
    }
    state.isConfigured = true;
    state.slots = server.slots;
    state.memoryTokens = server.memoryTokens;
    state.isEngine = server.kind == BackendServerKind::Engine;
    state.isSameDomain = server.failureDomain == this->options.failureDomain;
    state.isLeaving = server.isLeaving;
    state.isTracked = server.isTracked;
    this->configurations[serverIndex] = server;
}

void ServerPool::removeIfUnused(ServerIndex serverIndex)
{
    ServerState &state = this->states[serverIndex];
    if (state.isConfigured || state.ownRunning > 0)
        return;
    assert(state.ownReserved == 0 && state.ownUsed == 0 && state.ownDecoding == 0);
    this->indicesByName.erase(this->configurations[serverIndex].name);
    this->loadTracker.removeServer(serverIndex);
    this->prefixIndex.removeServer(serverIndex);
    this->configurations[serverIndex] = {};
    state = {};
    this->freeIndices.push_back(serverIndex);
}

void ServerPool::rebuildModels()
{
    this->serversByModel.clear();
    std::unordered_map<ModelName, std::uint32_t> numbers;
    std::vector<PaceMonitor::Member> members;
    for (ServerIndex serverIndex = 0; serverIndex < this->states.size(); ++serverIndex) {
        if (!this->states[serverIndex].isConfigured)
            continue;
        const bool isTracked = this->states[serverIndex].isTracked;
        PaceMonitor::Member member{serverIndex, {}};
        for (const ModelName &model : this->configurations[serverIndex].models) {
            ModelServers &modelServers = this->serversByModel[model];
            std::vector<ServerIndex> &indices = modelServers.indices;
            if (!indices.empty() && indices.back() == serverIndex)
                continue;
            indices.push_back(serverIndex);
            modelServers.hasUntracked = modelServers.hasUntracked || !isTracked;
            const auto number = numbers.emplace(model, numbers.size()).first->second;
            if (this->states[serverIndex].isEngine)
                member.models.push_back(number);
        }
        if (isTracked)
            members.push_back(std::move(member));
    }
    this->paceMonitor.setServers(members);
    this->speeds.setServers(members);
}

std::optional<ServerIndex> ServerPool::findIndex(const BackendServerName &server) const
{
    const auto known = this->indicesByName.find(server);
    if (known == this->indicesByName.end())
        return std::nullopt;
    return known->second;
}

bool ServerPool::isUsable(const ServerState &state)
{
    return state.isConfigured && state.isReachable && !state.isPaused && !state.isLeaving
            && !state.isMarkedLeaving;
}

/** Returns the limit of own requests on a server that starts gradually. */
std::uint32_t ServerPool::gradualLimit(const ServerState &state, Milliseconds now)
{
    if (!state.returnedAt)
        return PaceMonitor::unlimited;
    return returnLimit(now - *state.returnedAt).value_or(PaceMonitor::unlimited);
}

double ServerPool::memoryTotal(const ServerState &state, const LoadEstimate &load)
{
    return load.reportedMemory > 0 ? load.reportedMemory : state.memoryTokens;
}

double ServerPool::memoryExcess(const ServerState &state, const LoadEstimate &load)
{
    return static_cast<double>(state.ownReserved) + load.othersMemory - memoryTotal(state, load);
}

/** Returns whether a server may run requests that are bound to a software version, or to none. */
bool ServerPool::hasVersion(ServerIndex serverIndex,
                            const std::optional<SoftwareVersion> &version) const
{
    return !version || this->configurations[serverIndex].softwareVersion == *version;
}

/**
 * Returns whether requests may also run on servers that are not tracked, because too few tracked
 * ones are usable: these are chosen without regard to versions and may fail together. Full servers
 * are no reason, since the load of the others is not known.
 */
bool ServerPool::usesUntracked(const ModelServers &model,
                               const std::optional<SoftwareVersion> &version,
                               std::span<const BackendServerName> avoided) const
{
    if (!model.hasUntracked)
        return false;
    const auto tracked =
            std::count_if(model.indices.begin(), model.indices.end(), [&](ServerIndex serverIndex) {
                const ServerState &state = this->states[serverIndex];
                const BackendServerName &name = this->configurations[serverIndex].name;
                return state.isTracked && isUsable(state) && this->hasVersion(serverIndex, version)
                        && std::find(avoided.begin(), avoided.end(), name) == avoided.end();
            });
    return tracked < minimumTrackedChoices;
}

bool ServerPool::isRefusalCached(const ModelServers &model, double neededMemory,
                                 Milliseconds now) const
{
    return model.refusedCapacityVersion == this->capacityVersion && model.refusedAt == now
            && neededMemory >= model.refusedMemory;
}

void ServerPool::reserve(PlacedRequest &placedRequest, const WorkRequest &request, Milliseconds now)
{
    const ServerIndex serverIndex = placedRequest.serverIndex;
    ServerState &state = this->states[serverIndex];
    ++state.ownRunning;
    state.ownUsed += placedRequest.promptTokens;
    state.ownPending += placedRequest.pendingPromptTokens;
    this->updateReservation(placedRequest, now);
    this->loadTracker.recordOwnLoad(serverIndex, state.ownRunning, state.ownUsed, now);
    if (!state.isEngine)
        return;
    this->cacheTurnover.recordPrompt(placedRequest.pendingPromptTokens, now);
    if (request.prefixes.empty())
        this->prefixIndex.recordUse(serverIndex, request.prefixDigest, now);
    for (const PromptPrefix &prefix : request.prefixes)
        this->prefixIndex.recordUse(serverIndex, prefix.digest, now);
}

std::uint32_t ServerPool::expectedOutput(const PlacedRequest &request, Milliseconds now) const
{
    const std::uint32_t expected = this->lengthEstimator.totalQuantile(
            request.lengthClass, request.produced, this->options.reservationQuantile, now);
    if (request.maximumTokens == 0)
        return expected;
    return std::max(request.produced, std::min(expected, request.maximumTokens));
}

void ServerPool::markPrefixHolders(const WorkRequest &request, Milliseconds now)
{
    ++this->placementCount;
    if (request.prefixes.empty())
        this->markHolders({request.prefixDigest, 0}, now);
    // The longest beginning that a server holds comes last and counts.
    for (const PromptPrefix &prefix : request.prefixes)
        this->markHolders({prefix.digest, std::min(prefix.tokens, request.promptTokens)}, now);
}

void ServerPool::markHolders(const PromptPrefix &prefix, Milliseconds now)
{
    for (const PrefixIndex::Holder &holder : this->prefixIndex.holders(prefix.digest)) {
        if (!this->prefixIndex.isFresh(holder, now))
            continue;
        ServerState &state = this->states[holder.serverIndex];
        state.prefixHolderMark = this->placementCount;
        state.prefixTokens = prefix.tokens;
        state.prefixStoredAt = holder.storedAt;
    }
}

/** Returns how much of the prompt an engine probably keeps, if it has the memory for that. */
double ServerPool::cachedTokens(const ServerState &state, double freeTokens,
                                std::size_t engineCount, Milliseconds now) const
{
    if (state.prefixHolderMark != this->placementCount || state.prefixTokens == 0)
        return 0.0;
    const bool isKept =
            this->cacheTurnover.isKept(now - state.prefixStoredAt, freeTokens,
                                       this->loadTracker.peerCount() + 1, engineCount, now);
    return isKept ? state.prefixTokens : 0.0;
}

/** Collects the servers that can take a request; slow ones beyond their allowance if all are slow.
 */
void ServerPool::collectForRequest(const ModelServers &model, const WorkRequest &request,
                                   const RoomNeeded &room, Milliseconds now)
{
    const bool mayUseUntracked =
            this->usesUntracked(model, request.softwareVersion, request.avoided);
    const bool hasUnlimitedServer =
            this->collectCandidates(model.indices, request, room, mayUseUntracked, true, now);
    if (this->candidates.empty() && !hasUnlimitedServer)
        this->collectCandidates(model.indices, request, room, mayUseUntracked, false, now);
}

bool ServerPool::collectCandidates(std::span<const ServerIndex> indices, const WorkRequest &request,
                                   const RoomNeeded &room, bool mayUseUntracked, bool isPaceLimited,
                                   Milliseconds now)
{
    this->candidates.clear();
    bool hasUnlimitedServer = false;
    for (const ServerIndex serverIndex : indices) {
        const ServerState &state = this->states[serverIndex];
        const bool isSuitable =
                isUsable(state) && this->hasVersion(serverIndex, request.softwareVersion);
        if (!isSuitable || (!state.isTracked && !mayUseUntracked))
            continue;
        if (room.avoidsFull && now < state.fullUntil)
            continue;
        const std::uint32_t allowance =
                std::min(this->paceMonitor.allowance(serverIndex), gradualLimit(state, now));
        hasUnlimitedServer = hasUnlimitedServer || allowance == PaceMonitor::unlimited;
        if (state.ownRunning < state.slots && (!isPaceLimited || state.ownRunning < allowance))
            this->addCandidate(serverIndex, room, now);
    }
    return hasUnlimitedServer;
}

void ServerPool::addCandidate(ServerIndex serverIndex, const RoomNeeded &room, Milliseconds now)
{
    const ServerState &state = this->states[serverIndex];
    const LoadEstimate load = this->loadTracker.estimate(serverIndex, now);
    if (load.running + slotMargin > state.slots)
        return;
    const double total = state.isEngine ? memoryTotal(state, load) : 0.0;
    const double used =
            state.isEngine ? static_cast<double>(state.ownReserved) + load.othersMemory : 0.0;
    const double reservedMemory = std::min(room.tokens, total);
    // An idle engine takes any request: a very large one would fit nowhere else either.
    if (load.running >= slotMargin && used + reservedMemory > total)
        return;
    PlacementCandidate &candidate = this->candidates.emplace_back();
    candidate.server = &this->configurations[serverIndex];
    candidate.runningEstimate = load.running;
    candidate.memoryEstimate = used;
    candidate.memoryTotal = total;
    candidate.memoryNeeded = reservedMemory;
    candidate.pendingPromptTokens =
            static_cast<double>(state.ownPending) + load.peersPendingPromptTokens;
    candidate.ownRunning = state.ownRunning;
    candidate.hasPrefix = state.prefixHolderMark == this->placementCount && state.prefixTokens == 0;
    if (state.isEngine) {
        candidate.cachedTokens =
                this->cachedTokens(state, total - used - reservedMemory, room.engineCount, now);
        candidate.speedRatio = this->speeds.ratio(serverIndex);
    }
    candidate.paceRatio = this->paceMonitor.ratio(serverIndex);
    candidate.isSameDomain = state.isSameDomain;
}

void ServerPool::clearPendingPrompt(PlacedRequest &request)
{
    this->states[request.serverIndex].ownPending -= request.pendingPromptTokens;
    request.pendingPromptTokens = 0;
}

void ServerPool::recordWorkTime(ShortWork kind, Milliseconds time)
{
    auto &typical = this->typicalWorkTimes[static_cast<std::size_t>(kind)];
    const auto measured = static_cast<double>(time.count());
    typical = typical ? *typical + workTimeSmoothing * (measured - *typical) : measured;
    const double lifetime = std::max(1.0, workTimesPerLifetime * *typical);
    this->loadTracker.setShortWorkLifetime(kind, Milliseconds(static_cast<std::int64_t>(lifetime)));
}

void ServerPool::updateReservation(PlacedRequest &request, Milliseconds now)
{
    ServerState &state = this->states[request.serverIndex];
    if (!state.isEngine)
        return;
    const double neededMemory =
            static_cast<double>(request.promptTokens) + this->expectedOutput(request, now);
    const double total = memoryTotal(state, this->loadTracker.estimate(request.serverIndex, now));
    const std::uint32_t reserved = clampTokens(std::min(neededMemory, total));
    state.ownReserved += reserved;
    state.ownReserved -= request.reservedTokens;
    request.reservedTokens = reserved;
}

void ServerPool::recordPace(PlacedRequest &request, std::uint32_t tokens, Milliseconds now)
{
    ServerState &state = this->states[request.serverIndex];
    if (request.produced == 0) {
        ++state.ownDecoding;
        this->paceMonitor.recordDecoding(request.serverIndex, state.ownDecoding);
        request.paceSampleTokens = tokens;
        request.paceSampledAt = now;
        return;
    }
    if (now <= request.paceSampledAt)
        return;
    const auto elapsed = static_cast<double>((now - request.paceSampledAt).count());
    const double interval = PaceMonitor::unloadedInterval(
            elapsed / (tokens - request.paceSampleTokens),
            this->loadTracker.running(request.serverIndex, now), state.slots);
    this->paceMonitor.recordInterval(request.serverIndex, interval, now);
    this->speeds.recordOwn(request.serverIndex, interval, now);
    request.paceSampleTokens = tokens;
    request.paceSampledAt = now;
}

} // namespace sassafrasyard
