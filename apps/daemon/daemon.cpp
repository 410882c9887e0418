#include "daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr std::size_t actorThreads = 2;
constexpr HttpTimeouts platformTimeouts{Milliseconds(1000), Milliseconds(3000)};
/** The interval at which a draining daemon checks for active requests. */
constexpr Milliseconds drainCheckInterval{50};
/** Callers cache address responses, so a stopping host serves late requests at least this long. */
constexpr Milliseconds minimumDrain{1000};

HostIncarnation newIncarnation()
{
    return HostIncarnation(RandomSource::fromSystem().nextHex());
}

Endpoint endpointOf(const std::string &text)
{
    Error reason;
    return parseEndpoint(text, reason).value_or(Endpoint());
}

} // namespace

struct Daemon::Implementation
{
    explicit Implementation(Settings settings)
        : context(settings.ioThreads)
        , runtime(actorThreads)
        , entry(std::move(settings), newIncarnation())
        , platform(endpointOf(this->entry.settings.platformAddress), platformTimeouts)
        , dispatch(this->entry, this->runtime, this->context)
        , monitor(this->entry, this->dispatch, this->context)
        , calls(this->entry, this->dispatch, this->runtime,
                [this](const HostIncarnation &incarnation, const ServiceCall &call) {
                    return this->peers.forward(incarnation, call);
                })
        , peers(this->entry, this->dispatch, this->runtime, this->context, this->makePeerHooks())
        , completions(this->entry, this->dispatch, this->monitor, this->context)
        , callers(this->entry, this->completions, this->calls, this->context)
        , store(this->platform, this->entry.systemClock)
        , configuration(this->entry, this->platform, this->store, this->context)
        , rollouts(this->entry, this->platform, this->store, this->context)
        , admin(this->entry, this->makeAdminHandlers(), this->context)
        , signals(this->context, SIGTERM, SIGINT)
    {
    }

    PeerHooks makePeerHooks();
    std::vector<std::unique_ptr<AdminHandler>> makeAdminHandlers();
    bool start(Error &reason);
    net::awaitable<void> stopOnSignal();

    net::io_context context;
    ActorRuntime runtime;
    EntryState entry;
    ObjectClient platform;
    DispatchService dispatch;
    BackendMonitor monitor;
    ServiceCallHandler calls;
    PeerService peers;
    CompletionHandler completions;
    CallerServer callers;
    ConfigurationStore store;
    ConfigurationFollower configuration;
    RolloutService rollouts;
    AdminServer admin;
    net::signal_set signals;
};

PeerHooks Daemon::Implementation::makePeerHooks()
{
    PeerHooks hooks;
    hooks.registry = objectRegistry(this->platform, this->entry);
    hooks.leavingServers = [this] {
        return this->monitor.leavingServers();
    };
    hooks.recordLeaving = [this](const std::vector<BackendServerName> &servers) {
        this->monitor.recordLeaving(servers);
    };
    hooks.runCall = [this](ServiceCall call) {
        return this->calls.runBound(std::move(call));
    };
    return hooks;
}

std::vector<std::unique_ptr<AdminHandler>> Daemon::Implementation::makeAdminHandlers()
{
    std::vector<std::unique_ptr<AdminHandler>> handlers;
    handlers.push_back(std::make_unique<StatusHandler>(this->entry, this->monitor, this->peers,
                                                       this->context));
    handlers.push_back(std::make_unique<ConfigurationHandler>(this->entry, this->store));
    handlers.push_back(std::make_unique<RolloutHandler>(this->entry, this->platform));
    return handlers;
}

bool Daemon::Implementation::start(Error &reason)
{
    const Settings &settings = this->entry.settings;
    if (!this->callers.listen(endpointOf(settings.callerAddress), reason)
        || !this->admin.listen(endpointOf(settings.adminAddress), reason)
        || !this->peers.start(reason)) {
        return false;
    }
    this->configuration.start();
    this->rollouts.start();
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->stopOnSignal(); },
            net::detached);
    logEvent(LogEvent::DaemonStarted, "incarnation", this->entry.incarnation.toString(),
             "caller_address", settings.callerAddress);
    return true;
}

net::awaitable<void> Daemon::Implementation::stopOnSignal()
{
    boost::system::error_code code;
    co_await this->signals.async_wait(net::redirect_error(net::use_awaitable, code));
    this->entry.isDraining = true;
    this->callers.drain();
    logEvent(LogEvent::DaemonDraining, "active_requests",
             std::to_string(this->entry.activeRequests));
    co_await this->peers.leave();
    net::steady_timer timer(co_await net::this_coro::executor);
    const Milliseconds drainUntil = this->entry.steadyClock.now() + minimumDrain;
    while (this->entry.activeRequests > 0 || this->entry.steadyClock.now() < drainUntil) {
        timer.expires_after(drainCheckInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
    logEvent(LogEvent::DaemonStopped);
    this->context.stop();
}

Daemon::Daemon(Settings settings)
    : implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    Error reason;
    if (!this->implementation->start(reason)) {
        logEvent(LogEvent::ListenFailed, "detail", reason.detail);
        return 1;
    }
    std::vector<std::jthread> threads;
    for (int index = 0; index < this->implementation->entry.settings.ioThreads; ++index)
        threads.emplace_back([this] { this->implementation->context.run(); });
    threads.clear();
    return 0;
}

} // namespace sassafrasyard
