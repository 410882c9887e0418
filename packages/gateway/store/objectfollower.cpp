#include "gateway/store/objectfollower.h"

#include "observability/observability.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sassafrasyard {

namespace net = boost::asio;

ObjectFollower::ObjectFollower(std::string kind, ObjectSource source, Clock clock, ListHook onList,
                               ChangesHook onChanges, ObjectFollowerOptions options)
    : kind(std::move(kind))
    , source(std::move(source))
    , clock(std::move(clock))
    , onList(std::move(onList))
    , onChanges(std::move(onChanges))
    , options(options)
{
}

void ObjectFollower::start(net::io_context &context)
{
    net::co_spawn(
            context, [this] { return this->follow(); }, net::detached);
}

net::awaitable<void> ObjectFollower::follow()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    Milliseconds delay = this->options.firstRetryDelay;
    while (!code) {
        const bool isDue = this->clock.now() - this->listedAt >= this->options.resyncInterval;
        bool hasSucceeded = false;
        if (this->needsList || isDue)
            hasSucceeded = co_await this->readAll();
        else
            hasSucceeded = co_await this->readChanges();
        if (hasSucceeded) {
            delay = this->options.firstRetryDelay;
            continue;
        }
        timer.expires_after(delay);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        delay = std::min(2 * delay, this->options.longestRetryDelay);
    }
}

net::awaitable<bool> ObjectFollower::readAll()
{
    const Milliseconds askedAt = this->clock.now();
    std::vector<RegisteredObject> objects;
    std::uint64_t firstRevision = 0;
    std::string after;
    bool hasMore = true;
    while (hasMore) {
        Error reason;
        auto page = co_await this->source.list(this->kind, after, reason);
        this->recordResult(page.has_value(), reason);
        if (!page)
            co_return false;
        // Changes between two pages come again from here; the entries' revisions tell them.
        if (after.empty())
            firstRevision = page->revision;
        hasMore = page->hasMore && !page->objects.empty();
        if (hasMore)
            after = page->objects.back().name;
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(objects));
    }
    this->revision = firstRevision;
    this->needsList = false;
    this->listedAt = askedAt;
    this->onList(objects, askedAt);
    co_return true;
}

net::awaitable<bool> ObjectFollower::readChanges()
{
    const Milliseconds askedAt = this->clock.now();
    Error reason;
    const auto changes = co_await this->source.watch(this->kind, this->revision,
                                                     this->options.watchWait, reason);
    if (!changes && reason.code == ErrorCode::HistoryGone) {
        logEvent(LogEvent::StoreHistoryGone, "kind", this->kind, "revision",
                 std::to_string(this->revision));
        this->needsList = true;
        co_return true;
    }
    this->recordResult(changes.has_value(), reason);
    if (!changes)
        co_return false;
    this->revision = std::max(this->revision, changes->revision);
    this->onChanges(changes->changes, askedAt);
    co_return true;
}

void ObjectFollower::recordResult(bool hasSucceeded, const Error &reason)
{
    if (hasSucceeded == this->isAvailable)
        return;
    this->isAvailable = hasSucceeded;
    if (hasSucceeded)
        logEvent(LogEvent::StoreRegained, "kind", this->kind);
    else
        logEvent(LogEvent::StoreLost, "kind", this->kind, "detail", reason.detail);
}

} // namespace sassafrasyard
