#include "gateway/servers/listconfirmations.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

ListConfirmations::ListConfirmations(net::io_context &context, Clock clock)
    : context(context)
    , clock(std::move(clock))
{
}

void ListConfirmations::confirm(Milliseconds requestedAt)
{
    this->confirmedAt = std::max(requestedAt, this->confirmedAt.value_or(requestedAt));
    for (const auto &timer : this->waiting)
        timer->cancel();
}

net::awaitable<bool> ListConfirmations::waitForNewer(Milliseconds than, Milliseconds endAt)
{
    const auto timer = std::make_shared<net::steady_timer>(this->context);
    while (!this->isNewer(than) && !this->areWaitsEnded) {
        const Milliseconds now = this->clock.now();
        if (now >= endAt)
            break;
        timer->expires_after(endAt - now);
        this->waiting.insert(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(net::redirect_error(net::use_awaitable, ignored));
        this->waiting.erase(timer);
    }
    co_return this->isNewer(than);
}

void ListConfirmations::endWaits()
{
    this->areWaitsEnded = true;
    for (const auto &timer : this->waiting)
        timer->cancel();
}

std::size_t ListConfirmations::waitingCount() const
{
    return this->waiting.size();
}

/** In the same millisecond, the list may have been requested first. */
bool ListConfirmations::isNewer(Milliseconds than) const
{
    return this->confirmedAt && *this->confirmedAt > than;
}

} // namespace sassafrasyard
