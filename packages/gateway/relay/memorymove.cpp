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
                       std::string requestId)
    : services(services)
    , source(std::move(source))
    , work(std::move(work))
    , requestId(std::move(requestId))
    , ended(services.context, net::steady_timer::time_point::max())
{
}

void MemoryMove::start()
{
    net::co_spawn(
            this->services.context, [self = this->shared_from_this()] { return self->run(); },
            net::detached);
}

net::awaitable<std::optional<StreamPlace>> MemoryMove::finish()
{
    if (!this->hasEnded) {
        boost::system::error_code ignored;
        co_await this->ended.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    co_return std::exchange(this->result, std::nullopt);
}

void MemoryMove::abandon()
{
    this->isAbandoned = true;
    if (this->result)
        this->services.dispatch.releaseCopy(this->work.name);
    this->result.reset();
}

net::awaitable<void> MemoryMove::run()
{
    for (int targets = 0; targets < maximumTargets && !this->isAbandoned; ++targets) {
        const auto server = co_await this->services.dispatch.reserveCopy(this->work, true);
        if (!server)
            break;
        const ServerEntry *entry = this->services.servers.find(*server);
        bool isCopied = false;
        if (entry != nullptr) {
            const ServerEntry target = *entry;
            isCopied = co_await this->copyTo(target);
        }
        if (isCopied)
            break;
        this->services.dispatch.releaseCopy(this->work.name);
        this->work.avoided.push_back(*server);
    }
    this->end();
}

net::awaitable<bool> MemoryMove::copyTo(const ServerEntry &target)
{
    MoveOrder order{this->source.address, target.address, this->requestId, false};
    Error reason;
    auto copy = co_await this->services.engines.moveMemory(order, moveTimeout, reason);
    if (copy && !this->isAbandoned) {
        order.isFinal = true;
        copy = co_await this->services.engines.moveMemory(order, moveTimeout, reason);
    }
    if (copy && this->isAbandoned) {
        co_await this->services.engines.dropMemory(*copy);
        co_return false;
    }
    if (!copy) {
        logEvent(LogEvent::MoveFailed, "request", this->requestId, "from",
                 this->source.server.toString(), "to", target.name.toString(), "detail",
                 reason.detail);
        co_return false;
    }
    this->result = StreamPlace{this->work.name, target.name, target.address, copy};
    co_return true;
}

void MemoryMove::end()
{
    this->hasEnded = true;
    // Moving the expiry also ends a wait that has not begun yet; cancel() would miss it.
    this->ended.expires_at(net::steady_timer::time_point::min());
}

} // namespace sassafrasyard
