#include "policy/pool/serverpool.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

ServerPool::ServerPool(ServerPoolOptions options)
    : options(std::move(options))
{
    assert(this->options.placement);
}

void ServerPool::setBackendServers(std::span<const BackendServer> newServers, Milliseconds)
{
    std::map<BackendServerName, ServerState> updated;
    for (const BackendServer &server : newServers) {
        ServerState state;
        if (const auto known = this->servers.find(server.name); known != this->servers.end())
            state = known->second;
        state.server = server;
        updated.emplace(server.name, std::move(state));
    }
    this->servers = std::move(updated);
}

void ServerPool::setLeaving(const BackendServerName &server, bool isLeaving)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isMarkedLeaving = isLeaving;
}

void ServerPool::setReachable(const BackendServerName &server, bool isReachable)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isReachable = isReachable;
}

void ServerPool::recordLoadReport(const LoadReport &, Milliseconds) { }

void ServerPool::recordCacheEvent(const CacheEvent &, Milliseconds) { }

void ServerPool::recordPeerLoad(const PeerLoadDigest &, Milliseconds) { }

void ServerPool::advance(Milliseconds) { }

std::optional<Placement> ServerPool::place(const WorkRequest &request, Milliseconds)
{
    assert(!this->placed.contains(request.name));
    const std::vector<PlacementCandidate> candidates = this->candidatesFor(request);
    const std::optional<std::size_t> chosen = this->options.placement(request, candidates);
    if (!chosen)
        return std::nullopt;
    ServerState &state = this->servers.at(candidates[*chosen].server->name);
    ++state.ownRunning;
    const Placement placement{state.server.name, 0};
    this->placed.emplace(request.name, PlacedRequest{request, placement});
    return placement;
}

void ServerPool::recordProgress(const RequestName &, std::uint32_t, Milliseconds) { }

void ServerPool::release(const RequestName &request, WorkOutcome, Milliseconds)
{
    const auto known = this->placed.find(request);
    if (known == this->placed.end())
        return;
    if (const auto server = this->servers.find(known->second.placement.server);
        server != this->servers.end() && server->second.ownRunning > 0) {
        --server->second.ownRunning;
    }
    this->placed.erase(known);
}

PeerLoadDigest ServerPool::peerLoadDigest(Milliseconds)
{
    PeerLoadDigest digest{this->options.host, ++this->digestSequence, {}};
    for (const auto &[name, state] : this->servers) {
        if (state.ownRunning > 0)
            digest.entries.push_back({name, state.ownRunning, 0});
    }
    return digest;
}

PoolCapacity ServerPool::capacity(const ModelName &model, Milliseconds) const
{
    PoolCapacity capacity;
    for (const auto &[name, state] : this->servers) {
        if (!this->isUsable(state, model))
            continue;
        capacity.totalSlots += state.server.slots;
        capacity.freeSlots += state.server.slots - std::min(state.ownRunning, state.server.slots);
    }
    return capacity;
}

std::size_t ServerPool::placedCount() const
{
    return this->placed.size();
}

bool ServerPool::isUsable(const ServerState &state, const ModelName &model) const
{
    const auto &models = state.server.models;
    return !state.server.isLeaving && !state.isMarkedLeaving && state.isReachable
            && std::find(models.begin(), models.end(), model) != models.end();
}

std::vector<PlacementCandidate> ServerPool::candidatesFor(const WorkRequest &request) const
{
    std::vector<PlacementCandidate> candidates;
    for (const auto &[name, state] : this->servers) {
        if (!this->isUsable(state, request.model) || state.ownRunning >= state.server.slots)
            continue;
        PlacementCandidate candidate;
        candidate.server = &state.server;
        candidate.runningEstimate = state.ownRunning;
        candidate.ownRunning = state.ownRunning;
        candidate.isNear = state.server.failureDomain == this->options.failureDomain;
        candidates.push_back(candidate);
    }
    return candidates;
}

} // namespace sassafrasyard
