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

namespace {

/** Watches that may begin before the spacing holds; the first two bring a group of changes. */
constexpr int watchesAtOnce = 2;

} // namespace

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
        const bool isDue = this->clock.now() - this->comparedAt >= this->options.resyncInterval;
        bool hasSucceeded = false;
        if (this->needsList)
            hasSucceeded = co_await this->readAll();
        else if (isDue)
            hasSucceeded = co_await this->compare();
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
    Error reason;
    const auto all = co_await readAllObjects(this->source, this->kind, ReadAge::Current, reason);
    this->recordResult(all.has_value(), reason);
    if (!all)
        co_return false;
    this->revision = all->revision;
    this->needsList = false;
    this->comparedAt = askedAt;
    this->versions.assign(all->objects);
    this->onList(all->objects, askedAt);
    co_return true;
}

/** Looks for changes that the watch did not tell. */
net::awaitable<bool> ObjectFollower::compare()
{
    this->comparedAt = this->clock.now();
    Error reason;
    const auto old = co_await readAllObjects(this->source, this->kind, ReadAge::Seconds, reason);
    this->recordResult(old.has_value(), reason);
    if (!old)
        co_return false;
    this->needsList = !this->versions.agreesWith(*old);
    if (this->needsList) {
        logEvent(LogEvent::StoreChangeMissed, "kind", this->kind, "revision",
                 std::to_string(old->revision));
    }
    co_return true;
}

net::awaitable<void> ObjectFollower::spaceWatches()
{
    const Milliseconds now = this->clock.now();
    const Milliseconds ahead = (watchesAtOnce - 1) * this->options.watchSpacing;
    const Milliseconds dueAt = std::max(this->watchDueAt, now);
    this->watchDueAt = dueAt + this->options.watchSpacing;
    if (dueAt - now <= ahead)
        co_return;
    net::steady_timer timer(co_await net::this_coro::executor, dueAt - now - ahead);
    boost::system::error_code code;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
}

net::awaitable<bool> ObjectFollower::readChanges()
{
    co_await this->spaceWatches();
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
    if (!changes) {
        // A watch may be cut after changes that it did not tell, as when the store compacts.
        this->needsList = true;
        co_return false;
    }
    this->versions.apply(changes->changes);
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
