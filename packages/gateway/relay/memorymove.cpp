#include "gateway/relay/memorymove.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Copies queue on the engines' links; a move that takes longer ends with its source. */
constexpr Milliseconds moveTimeout{4000};
/** A target without room refuses at once, so another one is worth a try while the source lives. */
constexpr int maximumTargets = 2;

} // namespace

MemoryMove::MemoryMove(GatewayServices &services, StreamPlace source, WorkRequest work,
                       std::string requestId, Milliseconds refreshInterval)
    : services(services)
    , source(std::move(source))
    , work(std::move(work))
    , requestId(std::move(requestId))
    , refreshInterval(refreshInterval)
    , wake(services.context)
    , ended(services.context, net::steady_timer::time_point::max())
{
}

void MemoryMove::start(bool isUrgent)
{
    this->isFinalWanted = isUrgent;
    net::co_spawn(
            this->services.context,
            [self = this->shared_from_this(), isUrgent] { return self->run(isUrgent); },
            net::detached);
}

void MemoryMove::requestFinal()
{
    this->isFinalWanted = true;
    this->wake.cancel();
}

void MemoryMove::reportLost()
{
    this->isSourceLost = true;
    this->wake.cancel();
}

net::awaitable<std::optional<StreamPlace>> MemoryMove::finish()
{
    if (!this->hasEnded) {
        boost::system::error_code ignored;
        co_await this->ended.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    if (this->target && !this->isTargetLeaving())
        co_return std::exchange(this->target, std::nullopt);
    this->abandon();
    co_return std::nullopt;
}

void MemoryMove::abandon()
{
    this->isAbandoned = true;
    this->wake.cancel();
    if (!this->hasEnded || !this->target)
        return;
    this->services.dispatch.releaseCopy(this->work.name);
    this->target.reset();
}

bool MemoryMove::hasFailed() const
{
    return this->hasEnded && !this->target;
}

bool MemoryMove::isTargetLeaving() const
{
    return this->target && !this->services.servers.isUsable(this->target->server);
}

net::awaitable<void> MemoryMove::run(bool isUrgent)
{
    for (int targets = 0; targets < maximumTargets && !this->isAbandoned; ++targets) {
        const auto server = co_await this->services.dispatch.reserveCopy(this->work, isUrgent);
        if (!server)
            break;
        const ServerEntry *entry = this->services.servers.find(*server);
        bool isCopied = false;
        if (entry != nullptr) {
            const ServerEntry chosen = *entry;
            isCopied = co_await this->copyTo(chosen);
        }
        if (isCopied)
            break;
        this->target.reset();
        this->services.dispatch.releaseCopy(this->work.name);
        this->work.avoided.push_back(*server);
    }
    this->end();
}

/** @return whether the engine holds a copy that the run can go on from. */
net::awaitable<bool> MemoryMove::copyTo(const ServerEntry &chosen)
{
    this->target = StreamPlace{this->work.name, chosen.name, chosen.address, {}};
    bool isCopied = co_await this->copyOnce(false);
    while (isCopied && this->isKept()) {
        co_await this->waitForRefresh();
        if (this->isKept())
            isCopied = co_await this->copyOnce(false);
    }
    if (isCopied && this->isFinalWanted && !this->isAbandoned && !this->isSourceLost)
        co_await this->copyOnce(true);
    const auto copy = this->target->source;
    if (this->isAbandoned && copy)
        co_await this->services.engines.dropMemory(*copy);
    // A last copy that failed leaves the one before, which may still serve.
    co_return copy && !this->isAbandoned;
}

net::awaitable<bool> MemoryMove::copyOnce(bool isFinal)
{
    const MoveOrder order{this->source.address, this->target->address, this->requestId, isFinal};
    Error reason;
    auto copy = co_await this->services.engines.moveMemory(order, moveTimeout, reason);
    if (copy) {
        this->target->source = std::move(copy);
        co_return true;
    }
    logEvent(LogEvent::MoveFailed, "request", this->requestId, "from",
             this->source.server.toString(), "to", this->target->server.toString(), "final",
             std::string(isFinal ? "1" : "0"), "detail", reason.detail);
    co_return false;
}

net::awaitable<void> MemoryMove::waitForRefresh()
{
    this->wake.expires_after(this->refreshInterval);
    boost::system::error_code ignored;
    co_await this->wake.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/** Returns whether the copy is only kept up to date for now. */
bool MemoryMove::isKept() const
{
    return !this->isFinalWanted && !this->isAbandoned && !this->isSourceLost
            && !this->isTargetLeaving();
}

void MemoryMove::end()
{
    this->hasEnded = true;
    // Moving the expiry also ends a wait that has not begun yet; cancel() would miss it.
    this->ended.expires_at(net::steady_timer::time_point::min());
}

} // namespace sassafrasyard
