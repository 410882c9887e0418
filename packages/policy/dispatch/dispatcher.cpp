#include "policy/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace {

constexpr Milliseconds overloadRetryAfter{1000};

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options(std::move(options))
    , pool({this->options.host, this->options.failureDomain, this->options.placement,
            this->options.seed})
{
}

void Dispatcher::setBackendServers(std::span<const BackendServer> servers, Milliseconds now)
{
    this->pool.setBackendServers(servers, now);
    this->placeWaiting(now);
}

void Dispatcher::setAccountLimits(std::span<const AccountLimits>) { }

void Dispatcher::setLiveHostCount(std::size_t) { }

void Dispatcher::setLeaving(const BackendServerName &server, bool isLeaving)
{
    this->pool.setLeaving(server, isLeaving);
}

void Dispatcher::setReachable(const BackendServerName &server, bool isReachable)
{
    this->pool.setReachable(server, isReachable);
}

void Dispatcher::submit(const WorkRequest &request, Milliseconds now)
{
    if (this->waiting.size() >= this->options.queueLimit) {
        this->decisions.emplace_back(
                Refusal{request.name, ErrorCode::Overloaded, overloadRetryAfter});
        return;
    }
    this->waiting.push_back({request, now});
    this->placeWaiting(now);
}

void Dispatcher::recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now)
{
    this->pool.recordProgress(request, tokens, now);
}

void Dispatcher::recordFinished(const RequestName &request, WorkOutcome outcome, Milliseconds now)
{
    this->pool.release(request, outcome, now);
    this->placeWaiting(now);
}

void Dispatcher::withdraw(const RequestName &request, Milliseconds)
{
    std::erase_if(this->waiting, [&](const WaitingRequest &candidate) {
        return candidate.request.name == request;
    });
}

void Dispatcher::recordLoadReport(const LoadReport &report, Milliseconds now)
{
    this->pool.recordLoadReport(report, now);
    this->placeWaiting(now);
}

void Dispatcher::recordCacheEvent(const CacheEvent &event, Milliseconds now)
{
    this->pool.recordCacheEvent(event, now);
}

void Dispatcher::recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now)
{
    this->pool.recordPeerLoad(digest, now);
}

void Dispatcher::recordPeerQuarantine(std::span<const QuarantineRecord>, Milliseconds) { }

void Dispatcher::advance(Milliseconds now)
{
    this->pool.advance(now);
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

PeerLoadDigest Dispatcher::peerLoadDigest(Milliseconds now)
{
    return this->pool.peerLoadDigest(now);
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
    return this->pool.placedCount();
}

void Dispatcher::placeWaiting(Milliseconds now)
{
    std::deque<WaitingRequest> remaining;
    for (WaitingRequest &candidate : this->waiting) {
        const auto placement = this->pool.place(candidate.request, now);
        if (!placement) {
            remaining.push_back(std::move(candidate));
            continue;
        }
        this->decisions.emplace_back(Assignment{candidate.request.name, placement->server,
                                                placement->reservedTokens,
                                                static_cast<int>(candidate.request.priority)});
    }
    this->waiting = std::move(remaining);
}

} // namespace sassafrasyard
