#include "gateway/store/objectfollower.h"

#include "entry/tasks/taskrunner.h"
#include "gateway/store/storeposition.h"
#include "observability/observability.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The number of watches that may start in a burst; two cover a group of changes. */
constexpr int watchBurst = 2;
/**
 * Fractions of the bounds for the duration of a watch. A watch confirms the state as of its start,
 * and only when it ends, so the age reaches twice the duration just before the next one ends.
 */
constexpr double watchShareOfApply = 0.45;
constexpr double watchShareOfTrust = 0.35;
/** The fraction of the maximum key age after which everything is read, before the keys expire. */
constexpr double resyncShareOfTrust = 0.6;
/**
 * The fraction of the drain time between watches, so that a host that learns of a leaving server
 * only from the store stops using it in time; peers report it sooner.
 */
constexpr double watchShareOfDrain = 0.25;

Milliseconds scaled(Milliseconds whole, double share)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

} // namespace

ObjectFollowerOptions ObjectFollowerOptions::within(const ServingBounds &bounds, Milliseconds drain)
{
    ObjectFollowerOptions options;
    options.watchWait = std::min(scaled(bounds.maximumApplyTime, watchShareOfApply),
                                 scaled(bounds.maximumKeyAge, watchShareOfTrust));
    options.resyncInterval = scaled(bounds.maximumKeyAge, resyncShareOfTrust);
    options.watchInterval = scaled(drain, watchShareOfDrain);
    return options;
}

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

void ObjectFollower::setRestoreHook(RestoreHook hook)
{
    this->onRestore = std::move(hook);
}

void ObjectFollower::start(net::io_context &context)
{
    spawnWithRestart(context.get_executor(), "follower of " + this->kind,
                     [this] { return this->follow(); });
}

net::awaitable<void> ObjectFollower::follow()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    Milliseconds delay = this->options.firstRetryDelay;
    while (!code) {
        const bool isDue = this->clock.now() - this->lastCheckedAt >= this->options.resyncInterval;
        bool hasSucceeded = false;
        if (this->needsList)
            hasSucceeded = co_await this->readAll();
        else if (isDue)
            hasSucceeded = co_await this->checkForMissedChanges();
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
    const Milliseconds requestedAt = this->clock.now();
    Error reason;
    const auto all = co_await readAllObjects(this->source, this->kind, ReadAge::Current, reason);
    this->recordResult(all.has_value(), reason);
    if (!all)
        co_return false;
    const bool isRestored = this->revision > 0
            && storeposition::eraOf(all->revision) > storeposition::eraOf(this->revision);
    if (isRestored && this->onRestore)
        this->onRestore();
    this->revision = all->revision;
    this->needsList = false;
    this->lastCheckedAt = requestedAt;
    this->wasFromPeer = all->isFromPeer;
    this->versions.assign(all->objects);
    this->content.assign(*all, requestedAt - all->age);
    this->onList(all->objects, requestedAt - all->age);
    co_return true;
}

/** Checks for changes that the watch did not report. */
net::awaitable<bool> ObjectFollower::checkForMissedChanges()
{
    this->lastCheckedAt = this->clock.now();
    Error reason;
    const auto list = co_await readAllObjects(this->source, this->kind, ReadAge::Seconds, reason);
    this->recordResult(list.has_value(), reason);
    if (!list)
        co_return false;
    this->needsList = !this->versions.agreesWith(*list);
    if (this->needsList) {
        logEvent(LogEvent::StoreChangeMissed, "kind", this->kind, "revision",
                 storeposition::text(list->revision));
    }
    co_return true;
}

net::awaitable<void> ObjectFollower::limitWatchRate()
{
    const Milliseconds now = this->clock.now();
    const Milliseconds burstTime = (watchBurst - 1) * this->options.watchInterval;
    const Milliseconds dueAt = std::max(this->nextWatchAt, now);
    this->nextWatchAt = dueAt + this->options.watchInterval;
    if (dueAt - now <= burstTime)
        co_return;
    net::steady_timer timer(co_await net::this_coro::executor, dueAt - now - burstTime);
    boost::system::error_code code;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
}

net::awaitable<bool> ObjectFollower::readChanges()
{
    if (!this->wasFromPeer)
        co_await this->limitWatchRate();
    const Milliseconds requestedAt = this->clock.now();
    Error reason;
    const auto changes = co_await this->source.watch(this->kind, this->revision,
                                                     this->options.watchWait, reason);
    if (!changes && reason.code == ErrorCode::HistoryGone) {
        logEvent(LogEvent::StoreHistoryGone, "kind", this->kind, "revision",
                 storeposition::text(this->revision));
        this->needsList = true;
        co_return true;
    }
    this->recordResult(changes.has_value(), reason);
    if (!changes) {
        // A watch may fail after changes that it did not report, for example when the store
        // compacts its history.
        this->needsList = true;
        co_return false;
    }
    this->wasFromPeer = changes->isFromPeer;
    this->versions.apply(changes->changes);
    this->revision = std::max(this->revision, changes->revision);
    this->content.apply(*changes, requestedAt - changes->age);
    this->onChanges(changes->changes, requestedAt - changes->age);
    if (changes->digest && this->agreesWith(*changes)) {
        // Equal digests make a comparison with a list unnecessary.
        this->lastCheckedAt = requestedAt;
    } else if (changes->digest) {
        logEvent(LogEvent::StoreChangeMissed, "kind", this->kind, "revision",
                 storeposition::text(changes->revision));
        this->needsList = true;
    }
    co_return true;
}

/**
 * Returns whether the digest of another host agrees; one that has older content is not compared.
 */
bool ObjectFollower::agreesWith(const ObjectChanges &update) const
{
    const bool isComparable = update.revision >= this->content.newestRevision();
    return !isComparable || *update.digest == this->content.digest();
}

ObjectMirror &ObjectFollower::mirror()
{
    return this->content;
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
