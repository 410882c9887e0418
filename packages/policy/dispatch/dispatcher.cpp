#include "policy/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

namespace {

constexpr Milliseconds overloadRetryAfter{1000};

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options(std::move(options))
{
    assert(this->options.placement);
}

void Dispatcher::setBackendServers(std::span<const BackendServer> newServers, Milliseconds now)
{
    std::map<BackendServerName, ServerState> updated;
    for (const BackendServer &server : newServers) {
        ServerState state{server};
        if (const auto known = this->servers.find(server.name); known != this->servers.end()) {
            state.ownRunning = known->second.ownRunning;
            state.isMarkedLeaving = known->second.isMarkedLeaving;
            state.isReachable = known->second.isReachable;
        }
        updated.emplace(server.name, std::move(state));
    }
    this->servers = std::move(updated);
    this->placeWaiting(now);
}

void Dispatcher::setAccountLimits(std::span<const AccountLimits>) { }

void Dispatcher::setLiveHostCount(std::size_t) { }

void Dispatcher::setLeaving(const BackendServerName &server, bool isLeaving)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isMarkedLeaving = isLeaving;
}

void Dispatcher::setReachable(const BackendServerName &server, bool isReachable)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isReachable = isReachable;
}

void Dispatcher::submit(const WorkRequest &request, Milliseconds now)
{
    assert(!this->running.contains(request.name));
    if (this->waiting.size() >= this->options.queueLimit) {
        this->decisions.emplace_back(
                Refusal{request.name, ErrorCode::Overloaded, overloadRetryAfter});
        return;
    }
    this->waiting.push_back({request, now});
    this->placeWaiting(now);
}

void Dispatcher::recordProgress(const RequestName &, std::uint32_t, Milliseconds) { }

void Dispatcher::recordFinished(const RequestName &request, WorkOutcome, Milliseconds now)
{
    const auto known = this->running.find(request);
    if (known == this->running.end())
        return;
    if (const auto server = this->servers.find(known->second.server);
        server != this->servers.end() && server->second.ownRunning > 0) {
        --server->second.ownRunning;
    }
    this->running.erase(known);
    this->placeWaiting(now);
}

void Dispatcher::withdraw(const RequestName &request, Milliseconds)
{
    std::erase_if(this->waiting, [&](const WaitingRequest &candidate) {
        return candidate.request.name == request;
    });
}

void Dispatcher::recordLoadReport(const LoadReport &report, Milliseconds)
{
    this->setLeaving(report.server, report.isLeaving);
}

void Dispatcher::recordCacheEvent(const CacheEvent &, Milliseconds) { }

void Dispatcher::recordPeerLoad(const PeerLoadDigest &, Milliseconds) { }

void Dispatcher::recordPeerQuarantine(std::span<const QuarantineRecord>, Milliseconds) { }

void Dispatcher::advance(Milliseconds now)
{
    while (!this->waiting.empty()
           && now - this->waiting.front().submittedAt >= this->options.maximumWait) {
        const RequestName name = this->waiting.front().request.name;
        this->decisions.emplace_back(Refusal{name, ErrorCode::Overloaded, overloadRetryAfter});
        this->waiting.pop_front();
    }
    this->placeWaiting(now);
}

std::vector<Decision> Dispatcher::takeDecisions()
{
    return std::exchange(this->decisions, {});
}

PeerLoadDigest Dispatcher::peerLoadDigest(Milliseconds)
{
    PeerLoadDigest digest{this->options.host, ++this->digestSequence, {}};
    for (const auto &[name, state] : this->servers) {
        if (state.ownRunning > 0)
            digest.entries.push_back({name, state.ownRunning, 0});
    }
    return digest;
}

std::vector<QuarantineRecord> Dispatcher::quarantineRecords(Milliseconds) const
{
    return {};
}

std::size_t Dispatcher::waitingCount() const
{
    return this->waiting.size();
}

std::size_t Dispatcher::runningCount() const
{
    return this->running.size();
}

void Dispatcher::placeWaiting(Milliseconds)
{
    std::deque<WaitingRequest> remaining;
    for (WaitingRequest &candidate : this->waiting) {
        if (!this->place(candidate.request))
            remaining.push_back(std::move(candidate));
    }
    this->waiting = std::move(remaining);
}

bool Dispatcher::place(const WorkRequest &request)
{
    const std::vector<PlacementCandidate> candidates = this->candidatesFor(request);
    const std::optional<std::size_t> chosen = this->options.placement(request, candidates);
    if (!chosen)
        return false;
    ServerState &state = this->servers.at(candidates[*chosen].server->name);
    ++state.ownRunning;
    this->running.emplace(request.name, RunningRequest{request, state.server.name});
    this->decisions.emplace_back(
            Assignment{request.name, state.server.name, 0, static_cast<int>(request.priority)});
    return true;
}

std::vector<PlacementCandidate> Dispatcher::candidatesFor(const WorkRequest &request) const
{
    std::vector<PlacementCandidate> candidates;
    for (const auto &[name, state] : this->servers) {
        const auto &models = state.server.models;
        if (state.server.isLeaving || state.isMarkedLeaving || !state.isReachable
            || state.ownRunning >= state.server.slots
            || std::find(models.begin(), models.end(), request.model) == models.end()) {
            continue;
        }
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
