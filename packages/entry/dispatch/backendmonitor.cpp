#include "entry/dispatch/backendmonitor.h"

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

constexpr Milliseconds pollInterval{500};
constexpr HttpTimeouts pollTimeouts{Milliseconds(500), Milliseconds(1000)};
constexpr int failuresUntilUnreachable = 2;

} // namespace

BackendMonitor::BackendMonitor(EntryState &state, DispatchService &dispatch,
                               net::io_context &context)
    : entry(state)
    , dispatch(dispatch)
    , context(context)
{
    net::co_spawn(
            net::make_strand(context), [this] { return this->pollAll(); }, net::detached);
}

std::vector<BackendServerName> BackendMonitor::leavingServers() const
{
    const std::lock_guard lock(this->mutex);
    return {this->leaving.begin(), this->leaving.end()};
}

std::map<BackendServerName, EngineStatus> BackendMonitor::statuses() const
{
    const std::lock_guard lock(this->mutex);
    return this->lastStatus;
}

void BackendMonitor::recordLeaving(const std::vector<BackendServerName> &servers)
{
    for (const BackendServerName &server : servers) {
        {
            const std::lock_guard lock(this->mutex);
            const auto known = this->lastStatus.find(server);
            // A status that this host read itself has priority over a peer's report.
            if (known != this->lastStatus.end() && this->consecutiveFailures[server] == 0)
                continue;
        }
        this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
            dispatcher.setLeaving(server, true);
        });
    }
}

net::awaitable<void> BackendMonitor::pollAll()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        const auto configuration = this->entry.configuration.current();
        for (const BackendServer &server : configuration->servers) {
            {
                const std::lock_guard lock(this->mutex);
                if (!this->serversBeingPolled.insert(server.name).second)
                    continue;
            }
            net::co_spawn(
                    net::make_strand(this->context), [this, server] { return this->poll(server); },
                    net::detached);
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

net::awaitable<void> BackendMonitor::poll(BackendServer server)
{
    Error reason;
    const auto endpoint = parseEndpoint(server.address, reason);
    if (endpoint && server.kind == BackendServerKind::Engine)
        co_await this->pollEngine(server, *endpoint);
    else if (endpoint)
        co_await this->pollService(server, *endpoint);
    const std::lock_guard lock(this->mutex);
    this->serversBeingPolled.erase(server.name);
}

net::awaitable<void> BackendMonitor::pollEngine(const BackendServer &server,
                                                const Endpoint &endpoint)
{
    Error reason;
    const auto status = co_await readEngineStatus(endpoint, server.name, pollTimeouts, reason);
    if (!status) {
        this->recordFailure(server);
        co_return;
    }
    this->recordStatus(server, *status);
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(this->mutex);
        after = this->cacheSequence[server.name];
    }
    const auto events =
            co_await readCacheEvents(endpoint, server.name, after, pollTimeouts, reason);
    if (!events || events->empty())
        co_return;
    const std::lock_guard lock(this->mutex);
    this->cacheSequence[server.name] = events->back().sequence;
    this->dispatch.post([events = *events](Dispatcher &dispatcher, Milliseconds now) {
        for (const CacheEvent &event : events)
            dispatcher.recordCacheEvent(event, now);
    });
}

net::awaitable<void> BackendMonitor::pollService(const BackendServer &server,
                                                 const Endpoint &endpoint)
{
    Error reason;
    const auto connection =
            co_await FrameConnection::connect(endpoint, pollTimeouts.connect, reason);
    if (connection)
        this->recordReachable(server);
    else
        this->recordFailure(server);
}

void BackendMonitor::recordRefusal(const BackendServerName &server)
{
    this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setLeaving(server, true);
    });
}

void BackendMonitor::recordReachable(const BackendServer &server)
{
    {
        const std::lock_guard lock(this->mutex);
        this->consecutiveFailures[server.name] = 0;
    }
    this->dispatch.post([name = server.name](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setReachable(name, true);
        dispatcher.setLeaving(name, false);
    });
}

void BackendMonitor::recordStatus(const BackendServer &server, const EngineStatus &status)
{
    bool hasChanged = false;
    {
        const std::lock_guard lock(this->mutex);
        this->consecutiveFailures[server.name] = 0;
        this->lastStatus[server.name] = status;
        hasChanged = status.load.isLeaving ? this->leaving.insert(server.name).second
                                           : this->leaving.erase(server.name) > 0;
    }
    if (hasChanged && status.load.isLeaving)
        logEvent(LogEvent::BackendServerLeaving, "backend_server", server.name.toString());
    this->dispatch.post([load = status.load](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.setReachable(load.server, true);
        dispatcher.setLeaving(load.server, load.isLeaving);
        dispatcher.recordLoadReport(load, now);
    });
}

void BackendMonitor::recordFailure(const BackendServer &server)
{
    int count = 0;
    {
        const std::lock_guard lock(this->mutex);
        count = ++this->consecutiveFailures[server.name];
    }
    if (count != failuresUntilUnreachable)
        return;
    logEvent(LogEvent::BackendServerLost, "backend_server", server.name.toString());
    this->dispatch.post([name = server.name](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setReachable(name, false);
    });
}

} // namespace sassafrasyard
