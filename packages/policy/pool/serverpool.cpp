#include "policy/pool/serverpool.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sassafrasyard {

namespace {

/** How much of a slot must be free by the estimate for one more request. */
constexpr double slotTolerance = 0.5;
/** Weight of one more measured time; the last ten or so decide. */
constexpr double workTimeWeight = 0.1;
/** A peer's short work counts for twice its typical time, since some takes longer. */
constexpr double believedInWorkTimes = 2.0;

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

ServerPool::ServerPool(ServerPoolOptions options)
    : options(std::move(options))
    , lengths(this->options.length)
    , loads(this->options.load)
    , prefixes(this->options.prefix)
    , paces(paceOptions(this->options))
{
    assert(this->options.placement);
    assert(this->options.reservationQuantile >= 0.0 && this->options.reservationQuantile < 1.0);
}

void ServerPool::setBackendServers(std::span<const BackendServer> newServers, Milliseconds)
{
    ++this->version;
    std::vector<bool> isListed(this->states.size(), false);
    for (const BackendServer &server : newServers) {
        const ServerSlot slot = this->slotFor(server);
        if (slot >= isListed.size())
            isListed.resize(slot + 1, false);
        isListed[slot] = true;
        this->describe(slot, server);
    }
    for (ServerSlot slot = 0; slot < this->states.size(); ++slot) {
        if (isListed[slot] || !this->states[slot].isKnown)
            continue;
        this->states[slot].isKnown = false;
        this->freeIfUnused(slot);
    }
    this->rebuildModels();
}

void ServerPool::setLeaving(const BackendServerName &server, bool isLeaving)
{
    ++this->version;
    if (const auto slot = this->findSlot(server))
        this->states[*slot].isMarkedLeaving = isLeaving;
}

void ServerPool::setReachable(const BackendServerName &server, bool isReachable)
{
    const auto slot = this->findSlot(server);
    if (!slot || this->states[*slot].isReachable == isReachable)
        return;
    ++this->version;
    this->states[*slot].isReachable = isReachable;
    if (isReachable)
        return;
    // It may come back as a new process without the old load and cache.
    this->loads.forgetReport(*slot);
    this->prefixes.removeServer(*slot);
}

void ServerPool::recordLoadReport(const LoadReport &report, Milliseconds now)
{
    const auto slot = this->findSlot(report.server);
    if (!slot)
        return;
    ++this->version;
    this->loads.recordReport(*slot, report, now);
    // An idle engine repeats its last interval, which says nothing about now.
    const double interval = PaceMonitor::unloadedInterval(
            report.tokenIntervalMilliseconds, report.running, this->states[*slot].slots);
    if (report.running > 0)
        this->paces.recordReport(*slot, interval, now - std::max(report.age, Milliseconds(0)));
}

void ServerPool::recordCacheEvent(const CacheEvent &event, Milliseconds now)
{
    if (const auto slot = this->findSlot(event.server))
        this->prefixes.recordEvent(*slot, event, now);
}

void ServerPool::recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now)
{
    if (digest.host == this->options.host)
        return;
    std::vector<PeerSlotLoad> slotLoads;
    slotLoads.reserve(digest.entries.size());
    for (const PeerLoadEntry &entry : digest.entries) {
        if (const auto slot = this->findSlot(entry.server))
            slotLoads.push_back({*slot, entry.running, entry.reservedTokens,
                                 entry.pendingPromptTokens, !this->states[*slot].isEngine});
    }
    ++this->version;
    this->loads.recordPeer(digest.host, digest.sequence, slotLoads, now);
}

void ServerPool::advance(Milliseconds now)
{
    ++this->version;
    this->loads.advance(now);
    this->paces.advance(now);
}

std::optional<Placement> ServerPool::place(const WorkRequest &request, Milliseconds now)
{
    assert(!this->placed.contains(request.name));
    const auto model = this->slotsByModel.find(request.model);
    if (model == this->slotsByModel.end())
        return std::nullopt;
    ModelSlots &slots = model->second;
    PlacedRequest entry;
    entry.lengthClass =
            LengthEstimator::classOf(request.account, request.model, request.promptTokens);
    entry.promptTokens = request.promptTokens;
    entry.maximumTokens = request.maximumTokens;
    entry.pendingTokens = request.readsPrompt ? request.promptTokens : 0;
    entry.placedAt = now;
    const double needed = static_cast<double>(entry.promptTokens) + this->expectedTotal(entry, now);
    if (this->isKnownRefusal(slots, needed, now))
        return std::nullopt;
    this->markHolders(request.prefixDigest, now);
    const bool hasNormal = this->fillCandidates(slots.slots, needed, true, now);
    if (this->candidates.empty() && !hasNormal)
        this->fillCandidates(slots.slots, needed, false, now);
    if (this->candidates.empty()) {
        slots.refusedVersion = this->version;
        slots.refusedAt = now;
        slots.refusedNeed = needed;
        return std::nullopt;
    }
    const std::optional<std::size_t> chosen = this->options.placement(request, this->candidates);
    if (!chosen)
        return std::nullopt;
    entry.slot =
            static_cast<ServerSlot>(this->candidates[*chosen].server - this->descriptions.data());
    this->reserve(entry, request.prefixDigest, now);
    Placement placement{this->descriptions[entry.slot].name, entry.reservedTokens};
    this->placed.emplace(request.name, entry);
    return placement;
}

void ServerPool::recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now)
{
    const auto known = this->placed.find(request);
    if (known == this->placed.end() || tokens <= known->second.produced)
        return;
    ++this->version;
    PlacedRequest &entry = known->second;
    ServerState &state = this->states[entry.slot];
    if (entry.pendingTokens > 0)
        this->recordWorkTime(ShortWork::Prompts, now - entry.placedAt);
    this->endPending(entry);
    this->recordPace(entry, tokens, now);
    state.ownUsed += tokens - entry.produced;
    this->loads.recordOwn(entry.slot, state.ownRunning, state.ownUsed, now);
    const bool isNewBucket =
            LengthEstimator::bucketOf(tokens) != LengthEstimator::bucketOf(entry.produced);
    if (isNewBucket)
        this->lengths.recordProgress(entry.lengthClass, entry.produced, tokens, now);
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
    ++this->version;
    this->placed.erase(known);
    this->endPending(entry);
    ServerState &state = this->states[entry.slot];
    if (outcome == WorkOutcome::Completed && !state.isEngine)
        this->recordWorkTime(ShortWork::Requests, now - entry.placedAt);
    --state.ownRunning;
    state.ownReserved -= entry.reservedTokens;
    state.ownUsed -= std::uint64_t{entry.promptTokens} + entry.produced;
    if (entry.produced > 0) {
        --state.ownDecoding;
        this->paces.recordDecoding(entry.slot, state.ownDecoding);
    }
    this->loads.recordOwn(entry.slot, state.ownRunning, state.ownUsed, now);
    // A job that was cut off by its limit or otherwise says only that it is not shorter.
    const bool isCutOff = entry.maximumTokens > 0 && entry.produced >= entry.maximumTokens;
    if (outcome == WorkOutcome::Completed && entry.produced > 0 && !isCutOff)
        this->lengths.recordEnd(entry.lengthClass, entry.produced, now);
    this->freeIfUnused(entry.slot);
}

PeerLoadDigest ServerPool::peerLoadDigest(Milliseconds)
{
    PeerLoadDigest digest{this->options.host, ++this->digestSequence, {}};
    for (ServerSlot slot = 0; slot < this->states.size(); ++slot) {
        const ServerState &state = this->states[slot];
        if (state.ownRunning == 0)
            continue;
        digest.entries.push_back({this->descriptions[slot].name, state.ownRunning,
                                  clampTokens(static_cast<double>(state.ownReserved)),
                                  clampTokens(static_cast<double>(state.ownPending))});
    }
    keepLargest(digest, this->options.digestLimit);
    return digest;
}

PoolCapacity ServerPool::capacity(const ModelName &model, Milliseconds now) const
{
    PoolCapacity capacity;
    const auto known = this->slotsByModel.find(model);
    if (known == this->slotsByModel.end())
        return capacity;
    for (const ServerSlot slot : known->second.slots) {
        const ServerState &state = this->states[slot];
        if (!isUsable(state))
            continue;
        capacity.totalSlots += state.slots;
        const LoadEstimate load = this->loads.estimate(slot, now);
        const bool isFull = state.isEngine && memoryExcess(state, load) >= 0.0;
        if (isFull || this->paces.allowance(slot) == 0)
            continue;
        capacity.freeSlots += std::max(0.0, state.slots - load.running);
    }
    return capacity;
}

std::size_t ServerPool::placedCount() const
{
    return this->placed.size();
}

std::vector<SlowServer> ServerPool::slowServers() const
{
    std::vector<SlowServer> slow;
    for (const ServerSlot slot : this->paces.slowServers())
        slow.push_back(
                {this->descriptions[slot].name, this->paces.state(slot), this->paces.ratio(slot)});
    return slow;
}

std::vector<MemoryShortage> ServerPool::memoryShortages(Milliseconds now) const
{
    std::vector<MemoryShortage> shortages;
    for (ServerSlot slot = 0; slot < this->states.size(); ++slot) {
        const ServerState &state = this->states[slot];
        if (!state.isEngine || (!state.isKnown && state.ownRunning == 0))
            continue;
        const double excess = memoryExcess(state, this->loads.estimate(slot, now));
        if (excess >= 1.0)
            shortages.push_back(
                    {this->descriptions[slot].name, static_cast<std::uint64_t>(excess)});
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
    const std::uint32_t remaining =
            this->lengths.remainingQuantile(entry.lengthClass, entry.produced, quantile, now);
    if (entry.maximumTokens == 0)
        return remaining;
    return std::min(remaining, entry.maximumTokens - std::min(entry.maximumTokens, entry.produced));
}

ServerSlot ServerPool::slotFor(const BackendServer &server)
{
    if (const auto slot = this->findSlot(server.name))
        return *slot;
    ServerSlot slot = 0;
    if (this->freeSlots.empty()) {
        slot = static_cast<ServerSlot>(this->states.size());
        this->states.emplace_back();
        this->descriptions.emplace_back();
    } else {
        slot = this->freeSlots.back();
        this->freeSlots.pop_back();
    }
    this->slotsByName.emplace(server.name, slot);
    this->loads.addServer(slot);
    this->paces.resetServer(slot);
    return slot;
}

void ServerPool::describe(ServerSlot slot, const BackendServer &server)
{
    ServerState &state = this->states[slot];
    if (!state.isKnown) {
        state.isMarkedLeaving = false;
        state.isReachable = true;
    } else if (this->descriptions[slot].address != server.address) {
        this->loads.forgetReport(slot);
        this->prefixes.removeServer(slot);
    }
    state.isKnown = true;
    state.slots = server.slots;
    state.memoryTokens = server.memoryTokens;
    state.isEngine = server.kind == BackendServerKind::Engine;
    state.isNear = server.failureDomain == this->options.failureDomain;
    state.isLeaving = server.isLeaving;
    this->descriptions[slot] = server;
}

void ServerPool::freeIfUnused(ServerSlot slot)
{
    ServerState &state = this->states[slot];
    if (state.isKnown || state.ownRunning > 0)
        return;
    assert(state.ownReserved == 0 && state.ownUsed == 0 && state.ownDecoding == 0);
    this->slotsByName.erase(this->descriptions[slot].name);
    this->loads.removeServer(slot);
    this->prefixes.removeServer(slot);
    this->descriptions[slot] = {};
    state = {};
    this->freeSlots.push_back(slot);
}

void ServerPool::rebuildModels()
{
    this->slotsByModel.clear();
    std::unordered_map<ModelName, std::uint32_t> numbers;
    std::vector<PaceMonitor::Member> members;
    for (ServerSlot slot = 0; slot < this->states.size(); ++slot) {
        if (!this->states[slot].isKnown)
            continue;
        PaceMonitor::Member member{slot, {}};
        for (const ModelName &model : this->descriptions[slot].models) {
            std::vector<ServerSlot> &slots = this->slotsByModel[model].slots;
            if (!slots.empty() && slots.back() == slot)
                continue;
            slots.push_back(slot);
            const auto number = numbers.emplace(model, numbers.size()).first->second;
            if (this->states[slot].isEngine)
                member.models.push_back(number);
        }
        members.push_back(std::move(member));
    }
    this->paces.setServers(members);
}

std::optional<ServerSlot> ServerPool::findSlot(const BackendServerName &server) const
{
    const auto known = this->slotsByName.find(server);
    if (known == this->slotsByName.end())
        return std::nullopt;
    return known->second;
}

bool ServerPool::isUsable(const ServerState &state)
{
    return state.isKnown && state.isReachable && !state.isLeaving && !state.isMarkedLeaving;
}

double ServerPool::memoryTotal(const ServerState &state, const LoadEstimate &load)
{
    return load.reportedMemory > 0 ? load.reportedMemory : state.memoryTokens;
}

double ServerPool::memoryExcess(const ServerState &state, const LoadEstimate &load)
{
    return static_cast<double>(state.ownReserved) + load.othersMemory - memoryTotal(state, load);
}

bool ServerPool::isKnownRefusal(const ModelSlots &model, double needed, Milliseconds now) const
{
    return model.refusedVersion == this->version && model.refusedAt == now
            && needed >= model.refusedNeed;
}

void ServerPool::reserve(PlacedRequest &request, std::uint64_t prefix, Milliseconds now)
{
    ServerState &state = this->states[request.slot];
    ++state.ownRunning;
    state.ownUsed += request.promptTokens;
    state.ownPending += request.pendingTokens;
    this->updateReservation(request, now);
    this->loads.recordOwn(request.slot, state.ownRunning, state.ownUsed, now);
    if (state.isEngine)
        this->prefixes.recordUse(request.slot, prefix, now);
}

std::uint32_t ServerPool::expectedTotal(const PlacedRequest &request, Milliseconds now) const
{
    const std::uint32_t expected = this->lengths.totalQuantile(
            request.lengthClass, request.produced, this->options.reservationQuantile, now);
    if (request.maximumTokens == 0)
        return expected;
    return std::max(request.produced, std::min(expected, request.maximumTokens));
}

void ServerPool::markHolders(std::uint64_t prefix, Milliseconds now)
{
    ++this->placeCount;
    for (const PrefixIndex::Holder &holder : this->prefixes.holders(prefix)) {
        if (this->prefixes.isBelieved(holder, now))
            this->states[holder.slot].prefixMark = this->placeCount;
    }
}

bool ServerPool::fillCandidates(std::span<const ServerSlot> slots, double needed, bool heedsPace,
                                Milliseconds now)
{
    this->candidates.clear();
    bool hasNormal = false;
    for (const ServerSlot slot : slots) {
        const ServerState &state = this->states[slot];
        if (!isUsable(state))
            continue;
        const std::uint32_t allowance = this->paces.allowance(slot);
        hasNormal = hasNormal || allowance == PaceMonitor::unlimited;
        if (state.ownRunning < state.slots && (!heedsPace || state.ownRunning < allowance))
            this->addCandidate(slot, needed, now);
    }
    return hasNormal;
}

void ServerPool::addCandidate(ServerSlot slot, double needed, Milliseconds now)
{
    const ServerState &state = this->states[slot];
    const LoadEstimate load = this->loads.estimate(slot, now);
    if (load.running + slotTolerance > state.slots)
        return;
    const double total = state.isEngine ? memoryTotal(state, load) : 0.0;
    const double used =
            state.isEngine ? static_cast<double>(state.ownReserved) + load.othersMemory : 0.0;
    const double fitting = std::min(needed, total);
    // An idle engine takes any request; there is no better place for a very large one.
    if (load.running >= slotTolerance && used + fitting > total)
        return;
    PlacementCandidate &candidate = this->candidates.emplace_back();
    candidate.server = &this->descriptions[slot];
    candidate.runningEstimate = load.running;
    candidate.memoryEstimate = used;
    candidate.memoryTotal = total;
    candidate.memoryNeeded = fitting;
    candidate.pendingPromptTokens =
            static_cast<double>(state.ownPending) + load.peersPendingPrompts;
    candidate.ownRunning = state.ownRunning;
    candidate.hasPrefix = state.prefixMark == this->placeCount;
    candidate.paceRatio = this->paces.ratio(slot);
    candidate.isNear = state.isNear;
}

void ServerPool::endPending(PlacedRequest &request)
{
    this->states[request.slot].ownPending -= request.pendingTokens;
    request.pendingTokens = 0;
}

void ServerPool::recordWorkTime(ShortWork kind, Milliseconds time)
{
    auto &typical = this->workTimes[static_cast<std::size_t>(kind)];
    const auto measured = static_cast<double>(time.count());
    typical = typical ? *typical + workTimeWeight * (measured - *typical) : measured;
    const double believed = std::max(1.0, believedInWorkTimes * *typical);
    this->loads.setBelieved(kind, Milliseconds(static_cast<std::int64_t>(believed)));
}

void ServerPool::updateReservation(PlacedRequest &request, Milliseconds now)
{
    ServerState &state = this->states[request.slot];
    if (!state.isEngine)
        return;
    const double needed =
            static_cast<double>(request.promptTokens) + this->expectedTotal(request, now);
    const double total = memoryTotal(state, this->loads.estimate(request.slot, now));
    const std::uint32_t reserved = clampTokens(std::min(needed, total));
    state.ownReserved += reserved;
    state.ownReserved -= request.reservedTokens;
    request.reservedTokens = reserved;
}

void ServerPool::recordPace(PlacedRequest &request, std::uint32_t tokens, Milliseconds now)
{
    ServerState &state = this->states[request.slot];
    if (request.produced == 0) {
        ++state.ownDecoding;
        this->paces.recordDecoding(request.slot, state.ownDecoding);
        request.pacedTokens = tokens;
        request.pacedAt = now;
        return;
    }
    if (now <= request.pacedAt)
        return;
    const auto elapsed = static_cast<double>((now - request.pacedAt).count());
    const double interval =
            PaceMonitor::unloadedInterval(elapsed / (tokens - request.pacedTokens),
                                          this->loads.running(request.slot, now), state.slots);
    this->paces.recordInterval(request.slot, interval, now);
    request.pacedTokens = tokens;
    request.pacedAt = now;
}

} // namespace sassafrasyard
