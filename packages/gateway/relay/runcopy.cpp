#include "gateway/relay/runcopy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Copies queue on the engines' links; one that takes longer is too late to be useful. */
constexpr Milliseconds copyTimeout{4000};
/** A target without free memory refuses at once, so another one is tried. */
constexpr int maximumTargets = 2;
/** The run of a leaving engine is lost if it finds no room, so more targets are tried for it. */
constexpr int maximumUrgentTargets = 4;

/** Returns whether a failure is the answer of an engine; see EngineCalls::moveMemory. */
bool isAnswer(ErrorCode failure)
{
    return failure == ErrorCode::NotFound || failure == ErrorCode::Overloaded
            || failure == ErrorCode::BackendServerRefused;
}

} // namespace

void CopyRequests::begin()
{
    ++this->pendingRequests;
}

void CopyRequests::end(bool isAnswered)
{
    --this->pendingRequests;
    this->isAnswerLost = this->isAnswerLost || !isAnswered;
}

bool CopyRequests::mayBeInProgress() const
{
    return this->pendingRequests > 0 || this->isAnswerLost;
}

RunCopy::RunCopy(GatewayDependencies &dependencies, StreamPlacement source, WorkRequest work,
                 std::string requestId, Milliseconds refreshInterval,
                 std::shared_ptr<CopyRequests> requests)
    : dependencies(dependencies)
    , source(std::move(source))
    , work(std::move(work))
    , requestId(std::move(requestId))
    , refreshInterval(refreshInterval)
    , requests(std::move(requests))
    , refreshTimer(dependencies.context)
    , firstResultTimer(dependencies.context, net::steady_timer::time_point::max())
{
}

void RunCopy::start(bool isUrgent)
{
    net::co_spawn(
            this->dependencies.context,
            [self = this->shared_from_this(), isUrgent] { return self->run(isUrgent); },
            net::detached);
}

std::optional<StreamPlacement> RunCopy::take()
{
    if (!this->isReady())
        return std::nullopt;
    this->isEnding = true;
    this->refreshTimer.cancel();
    return std::exchange(this->target, std::nullopt);
}

bool RunCopy::isReady() const
{
    return this->target && this->target->source && this->isTargetUsable();
}

net::awaitable<std::optional<StreamPlacement>> RunCopy::waitAndTake()
{
    if (!this->hasFirstResult) {
        boost::system::error_code ignored;
        co_await this->firstResultTimer.async_wait(
                net::redirect_error(net::use_awaitable, ignored));
    }
    auto placement = this->take();
    if (!placement)
        this->abandon();
    co_return placement;
}

void RunCopy::abandon()
{
    this->isEnding = true;
    this->refreshTimer.cancel();
    // Until then run() releases the reservation.
    if (this->hasFirstResult)
        this->release();
}

bool RunCopy::hasFailed() const
{
    return this->hasFirstResult && (!this->target || !this->isTargetUsable());
}

net::awaitable<void> RunCopy::run(bool isUrgent)
{
    const int targetLimit = isUrgent ? maximumUrgentTargets : maximumTargets;
    for (int targets = 0; targets < targetLimit && !this->isEnding; ++targets) {
        const auto server = co_await this->dependencies.dispatch.reserveCopy(this->work, isUrgent);
        if (!server)
            break;
        bool isCopied = false;
        if (this->isServerUsable(*server)) {
            const ServerEntry chosen = *this->dependencies.servers.find(*server);
            isCopied = co_await this->copyTo(chosen);
        }
        if (isCopied)
            break;
        this->dependencies.dispatch.releaseCopy(this->work.name);
        this->target.reset();
        this->work.avoided.push_back(*server);
    }
    this->hasFirstResult = true;
    // A changed expiry also ends a wait that starts later, which cancel() would not.
    this->firstResultTimer.expires_at(net::steady_timer::time_point::min());
    bool isUpdated = true;
    while (isUpdated && this->target && !this->isEnding) {
        co_await this->waitForRefresh();
        if (this->target && !this->isEnding && this->isTargetUsable())
            isUpdated = co_await this->update();
    }
}

/** Returns whether the first copy is complete and still needed. */
net::awaitable<bool> RunCopy::copyTo(const ServerEntry &chosen)
{
    this->target = StreamPlacement{
            this->work.name, chosen.name, chosen.address, {}, false, this->source.softwareVersion};
    const bool isCopied = co_await this->update();
    if (isCopied && this->isEnding)
        co_await this->dependencies.engines.dropMemory(*this->target->source);
    co_return isCopied && !this->isEnding;
}

/** Copies what was added since the last time. After a failure the previous copy remains usable. */
net::awaitable<bool> RunCopy::update()
{
    const MoveOrder order{this->source.address, this->target->address, this->requestId, false};
    const BackendServerName name = this->target->server;
    Error reason;
    this->requests->begin();
    auto copy = co_await this->dependencies.engines.moveMemory(order, copyTimeout, reason);
    this->requests->end(copy || isAnswer(reason.code));
    if (!copy) {
        logEvent(LogEvent::MoveFailed, "request", this->requestId, "from",
                 this->source.server.toString(), "to", name.toString(), "detail", reason.detail);
        if (reason.code == ErrorCode::Overloaded)
            this->recordFull(name);
        co_return false;
    }
    // The copy may have been taken or released meanwhile.
    if (this->target)
        this->target->source = std::move(copy);
    co_return true;
}

/** Keeps further copies and runs that may need some from an engine without room for a time. */
void RunCopy::recordFull(const BackendServerName &server)
{
    this->dependencies.dispatch.post([server](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.recordFull(server, now);
    });
}

net::awaitable<void> RunCopy::waitForRefresh()
{
    this->refreshTimer.expires_after(this->refreshInterval);
    boost::system::error_code ignored;
    co_await this->refreshTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/** Returns whether the run may continue on a server. */
bool RunCopy::isServerUsable(const BackendServerName &server) const
{
    return this->source.softwareVersion
            && this->dependencies.servers.canContinue(server, *this->source.softwareVersion);
}

bool RunCopy::isTargetUsable() const
{
    return this->target && this->isServerUsable(this->target->server)
            && !this->dependencies.reachability.pauseLeft(this->target->server);
}

void RunCopy::release()
{
    if (!std::exchange(this->target, std::nullopt))
        return;
    this->dependencies.dispatch.releaseCopy(this->work.name);
}

} // namespace sassafrasyard
