#include "control/configuration/configurationfollower.h"

#include "control/configuration/watcherselection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds watchTimeout{30000};
constexpr Milliseconds retryInterval{1000};

} // namespace

ConfigurationFollower::ConfigurationFollower(EntryState &state, ObjectClient &platform,
                                             ConfigurationStore &store, net::io_context &context)
    : entry(state)
    , platform(platform)
    , store(store)
    , context(context)
{
}

void ConfigurationFollower::start()
{
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->follow(); }, net::detached);
}

net::awaitable<void> ConfigurationFollower::follow()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        const bool isApplied = co_await this->readOrWatch();
        if (isApplied)
            continue;
        timer.expires_after(retryInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

/** @return whether a head was applied, so that the next read may follow without a delay. */
net::awaitable<bool> ConfigurationFollower::readOrWatch()
{
    const auto members = this->entry.members();
    const bool isHeadWatcher =
            isWatcher(*members, this->entry.incarnation, this->entry.settings.region);
    // Peers may have supplied a configuration while the platform was down.
    const bool needsInitialRead =
            !this->hasReadHead && this->entry.configuration.current()->revision == 0;
    if (!isHeadWatcher && !needsInitialRead)
        co_return false;
    Error reason;
    std::optional<StoredObject> object;
    const std::string name(headObjectName);
    if (this->hasReadHead)
        object = co_await this->platform.watch(name, this->headVersion, watchTimeout, reason);
    else
        object = co_await this->platform.read(name, reason);
    if (!object) {
        if (reason.code != ErrorCode::NotFound)
            logEvent(LogEvent::ConfigurationUnavailable, "detail", reason.detail);
        // Until the first head exists, the host retries the read.
        co_return false;
    }
    // A lower version is a stale read. A watch from that version would return immediately every
    // time.
    if (object->version < this->headVersion)
        co_return false;
    const bool isApplied = co_await this->applyHead(std::move(object->value));
    if (isApplied) {
        this->headVersion = object->version;
        this->hasReadHead = true;
    }
    co_return isApplied;
}

/** @return whether this host runs the head's revision or a later one. */
net::awaitable<bool> ConfigurationFollower::applyHead(std::string headText)
{
    Error reason;
    auto head = parseHead(headText, reason);
    if (!head) {
        logEvent(LogEvent::ConfigurationRejected, "detail", reason.detail);
        co_return false;
    }
    const auto localSource = configurationSource(*this->entry.configuration.current());
    if (head->revision <= localSource->revision)
        co_return true;
    const auto source = co_await this->store.load(std::move(*head), localSource, reason);
    if (!source) {
        logEvent(LogEvent::ConfigurationUnavailable, "detail", reason.detail);
        co_return false;
    }
    std::vector<ConfigurationFault> faults;
    auto configuration = resolveSource(source, faults);
    if (!configuration) {
        logEvent(LogEvent::ConfigurationRejected, "detail", toError(faults).detail);
        co_return false;
    }
    if (this->entry.configuration.offer(std::move(*configuration)))
        logEvent(LogEvent::ConfigurationApplied, "revision", std::to_string(source->revision),
                 "from", "platform");
    co_return true;
}

} // namespace sassafrasyard
