#include "platformdaemon.h"

#include "gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The hosts are a fraction of a core, so more threads would only add switches. */
constexpr std::size_t actorThreads = 1;
/** How often lapsed servers, unreachable servers and readiness are looked at. */
constexpr Milliseconds maintenanceInterval{100};
/** How often idle connections, metrics and the settings file are looked at. */
constexpr Milliseconds slowMaintenanceInterval{1000};
/** How long a watch for other hosts waits; probes find out sooner which of them live. */
constexpr Milliseconds hostWatchWait{5000};
constexpr Milliseconds hostWatchSpacing{1000};
constexpr Milliseconds hostResyncInterval{30000};
/** A server's entry is removed after so many heartbeats without a sign of it. */
constexpr int heartbeatsUntilLapse = 3;
/** Entries of living servers are back this long after an outage of the store. */
constexpr Milliseconds entryReturnTime{2000};
/** Some callers keep an address answer three times as long as it says. */
constexpr int lifetimesKept = 3;
/** Callers learn of a stopping host by the next answer, so answers are kept short. */
constexpr Milliseconds answerLifetime{2000};
/** The process ends by itself this long before the platform would kill it. */
constexpr Milliseconds graceMargin{500};
/** Descriptors besides those for callers and their servers: listeners, peers, store, files. */
constexpr std::uint32_t reservedDescriptors = 400;
/** A call needs one descriptor for its caller and up to one for its backend server. */
constexpr std::uint32_t descriptorsPerCall = 2;

Settings entrySettings(const PlatformSettings &platform)
{
    Settings settings;
    settings.host = platform.host;
    settings.failureDomain = platform.failureDomain;
    settings.region = platform.region;
    settings.callerAddress = platform.callers.toString();
    settings.peerAddress = Endpoint{platform.address, platform.firstInnerPort}.toString();
    settings.adminAddress =
            Endpoint{platform.address, static_cast<std::uint16_t>(platform.firstInnerPort + 1)}
                    .toString();
    settings.platformAddress = platform.store.toString();
    // Routed calls carry no positions of ours; nothing is signed with this.
    settings.positionSecret = RandomSource::fromSystem().nextHex();
    settings.ioThreads = 1;
    settings.placement = "prompt-queue";
    return settings;
}

ServerCatalogueOptions catalogueOptions(const PlatformSettings &settings)
{
    return {entryReturnTime, heartbeatsUntilLapse * settings.heartbeat, settings.drain};
}

/** The store is read by some hosts for all, so these can afford watches of half the longest wait.
 */
ObjectFollowerOptions followerOptions(const PlatformSettings &settings)
{
    auto options = ObjectFollowerOptions::within(settings.serving, settings.drain);
    options.watchWait /= 2;
    return options;
}

ObjectFollowerOptions hostFollowerOptions()
{
    ObjectFollowerOptions options;
    options.watchWait = hostWatchWait;
    options.watchInterval = hostWatchSpacing;
    options.resyncInterval = hostResyncInterval;
    return options;
}

SharedSourceOptions sharedOptions(const ObjectFollowerOptions &follower)
{
    return SharedSourceOptions::forWatches(follower.watchWait);
}

HttpResponse plainText(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::move(body);
    return response;
}

} // namespace

struct PlatformDaemon::Implementation
{
    Implementation(PlatformSettings settings, std::string path);

    bool start(Error &reason);
    PeerHooks makePeerHooks();
    SharedSourceHooks makeSharedHooks();
    void takeInConfiguration(std::span<const RegisteredObject> objects, Milliseconds requestedAt);
    void takeInConfiguration(const RegisteredObject &object);
    void takeInServers(std::span<const RegisteredObject> objects, Milliseconds requestedAt);
    void takeInHosts(std::span<const RegisteredObject> objects);
    void takeInServerChanges(std::span<const ObjectChange> changes, Milliseconds requestedAt);
    std::optional<ServerEntry> readServer(const RegisteredObject &object);
    void publishServersSoon();
    void publishServers();
    net::awaitable<void> maintain();
    void maintainSlowly();
    void checkReadiness();
    void checkSettings();
    net::awaitable<void> answerDirectory(const HttpRequest &request, HttpResponder &responder);
    net::awaitable<void> answerReadiness(const HttpRequest &request, HttpResponder &responder);
    net::awaitable<void> answerMetrics(const HttpRequest &request, HttpResponder &responder);
    net::awaitable<void> reloadOnSignal();
    net::awaitable<void> stopOnSignal();

    net::io_context context{1};
    PlatformSettings settings;
    std::string settingsPath;
    std::filesystem::file_time_type settingsWrittenAt;
    Clock clock = Clock::suspendAware();
    ActorRuntime runtime{actorThreads};
    EntryState entry;
    DispatchService dispatch;
    ServingState serving;
    ServerCatalogue servers;
    ServerSubset usedServers;
    HttpConnectionPool serverConnections;
    HttpConnectionPool storeConnections;
    ServiceRetryBudget budget;
    ServerReachability reachability;
    GatewayDependencies services;
    GatewayService gateway;
    StoreClient store;
    QuarantineArchive quarantineArchive;
    SharedObjectSource configurationSource;
    SharedObjectSource serverSource;
    SharedObjectSource hostSource;
    MirrorService mirrors;
    ObjectFollower configurationFollower;
    ObjectFollower serverFollower;
    ObjectFollower hostFollower;
    PeerService peers;
    HttpServer readinessServer;
    HttpServer directoryServer;
    HttpServer metricsServer;
    net::signal_set stopSignals;
    net::signal_set reloadSignals;
    std::uint64_t serverRevision = 0;
    bool isPublishing = false;
    bool isReady = false;
    Milliseconds maintainedSlowlyAt{0};
};

PlatformDaemon::Implementation::Implementation(PlatformSettings newSettings, std::string path)
    : settings(std::move(newSettings))
    , settingsPath(std::move(path))
    , entry(entrySettings(this->settings), HostIncarnation(RandomSource::fromSystem().nextHex()))
    , dispatch(this->entry, this->runtime, this->context, false)
    , serving(this->settings.serving)
    , servers(catalogueOptions(this->settings))
    , usedServers({this->settings.host, this->settings.failureDomain})
    , serverConnections(this->context, this->clock)
    , storeConnections(this->context, this->clock)
    , budget(this->settings.retries)
    , reachability(this->dispatch, this->clock)
    , services{this->context,       this->entry,
               this->dispatch,      this->serving,
               this->servers,       this->serverConnections,
               this->budget,        this->reachability,
               platformCallCodec(), platformEngineCalls(this->serverConnections),
               this->clock}
    , gateway(this->services)
    , store(this->settings.store, this->storeConnections)
    , quarantineArchive(this->dispatch, this->context, this->store.quarantineArchiveCalls(),
                        Clock::system())
    , configurationSource(this->store.source(), this->makeSharedHooks(), this->clock,
                          sharedOptions(followerOptions(this->settings)))
    , serverSource(this->store.source(), this->makeSharedHooks(), this->clock,
                   sharedOptions(followerOptions(this->settings)))
    , hostSource(this->store.source(), this->makeSharedHooks(), this->clock,
                 sharedOptions(hostFollowerOptions()))
    , mirrors(this->context, this->clock)
    , configurationFollower(
              std::string(objectkind::configuration), this->configurationSource.source(),
              this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds requestedAt) {
                  this->takeInConfiguration(objects, requestedAt);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds requestedAt) {
                  for (const ObjectChange &change : changes) {
                      if (!change.isRemoved)
                          this->takeInConfiguration(change.object);
                  }
                  this->serving.confirmConfiguration(requestedAt);
              },
              followerOptions(this->settings))
    , serverFollower(
              std::string(objectkind::servers), this->serverSource.source(), this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds requestedAt) {
                  this->takeInServers(objects, requestedAt);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds requestedAt) {
                  this->takeInServerChanges(changes, requestedAt);
              },
              followerOptions(this->settings))
    , hostFollower(
              std::string(objectkind::hosts), this->hostSource.source(), this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds) {
                  this->takeInHosts(objects);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds) {
                  std::vector<RegisteredObject> present;
                  for (const ObjectChange &change : changes) {
                      if (!change.isRemoved)
                          present.push_back(change.object);
                  }
                  this->takeInHosts(present);
              },
              hostFollowerOptions())
    , peers(this->entry, this->dispatch, this->runtime, this->context, this->makePeerHooks())
    , readinessServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->answerReadiness(request, responder);
              },
              formatCallError)
    , directoryServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->answerDirectory(request, responder);
              },
              formatCallError)
    , metricsServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->answerMetrics(request, responder);
              },
              formatCallError)
    , stopSignals(this->context, SIGTERM, SIGINT)
    , reloadSignals(this->context, SIGHUP)
{
    this->mirrors.add(std::string(objectkind::configuration), this->configurationFollower.mirror());
    this->mirrors.add(std::string(objectkind::servers), this->serverFollower.mirror());
    this->mirrors.add(std::string(objectkind::hosts), this->hostFollower.mirror());
    std::error_code ignored;
    this->settingsWrittenAt = std::filesystem::last_write_time(this->settingsPath, ignored);
    this->servers.setHooks(
            [this](const BackendServerName &server) {
                logEvent(LogEvent::ServerLeaving, "backend_server", server.toString());
                this->peers.requestLoadUpdate();
                this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
                    dispatcher.setLeaving(server, true);
                });
            },
            [this] { this->publishServersSoon(); },
            [this](const BackendServerName &server) {
                this->reachability.forget(server);
                // Its load and cache are gone; both are forgotten with its reachability.
                this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
                    dispatcher.setReachable(server, false);
                    dispatcher.setReachable(server, true);
                    dispatcher.setLeaving(server, false);
                });
            });
    this->serving.addListener([this](const ServingConfiguration &configuration) {
        logEvent(LogEvent::RoutesApplied, "version", std::to_string(configuration.version),
                 "routes", std::to_string(configuration.routes.size()));
        this->publishServersSoon();
    });
}

bool PlatformDaemon::Implementation::start(Error &reason)
{
    const std::uint32_t descriptors =
            std::max(this->settings.maximumDescriptors, reservedDescriptors + descriptorsPerCall);
    const std::size_t connections = (descriptors - reservedDescriptors) / descriptorsPerCall;
    const auto metricsEndpoint = parseEndpoint(this->entry.settings.adminAddress, reason);
    if (!this->gateway.listen(this->settings.callers, connections, reason)
        || !this->readinessServer.listen(this->settings.readiness, reason)
        || !this->directoryServer.listen(this->settings.directory, reason) || !metricsEndpoint
        || !this->metricsServer.listen(*metricsEndpoint, reason) || !this->peers.start(reason)) {
        return false;
    }
    this->configurationFollower.start(this->context);
    this->serverFollower.start(this->context);
    this->hostFollower.start(this->context);
    this->quarantineArchive.start();
    this->dispatch.setQuarantineHook(
            [this](std::uint64_t digest) { this->quarantineArchive.save(digest); });
    const net::any_io_executor executor = this->context.get_executor();
    spawnWithRestart(executor, "maintenance", [this] { return this->maintain(); });
    spawnWithRestart(executor, "reload", [this] { return this->reloadOnSignal(); });
    spawnWithRestart(executor, "stop", [this] { return this->stopOnSignal(); });
    logEvent(LogEvent::DaemonStarted, "incarnation", this->entry.incarnation.toString(),
             "caller_address", this->entry.settings.callerAddress);
    return true;
}

SharedSourceHooks PlatformDaemon::Implementation::makeSharedHooks()
{
    SharedSourceHooks hooks;
    hooks.readers = [this] {
        const auto members = this->entry.members();
        const auto self =
                std::find_if(members->begin(), members->end(), [this](const MemberRecord &record) {
                    return record.incarnation == this->entry.incarnation;
                });
        return self == members->end() ? StoreReaders() : selectStoreReaders(*members, *self);
    };
    hooks.ask = [this](std::string address, ObjectRead read, Milliseconds timeout, Error &reason) {
        return this->peers.readObjects(std::move(address), std::move(read), timeout, reason);
    };
    return hooks;
}

PeerHooks PlatformDaemon::Implementation::makePeerHooks()
{
    PeerHooks hooks;
    hooks.registry = this->store.hostRegistry(this->settings.host);
    hooks.isServingAtStart = false;
    hooks.answerObjectRead = [this](ObjectRead read) {
        return this->mirrors.answer(std::move(read));
    };
    hooks.leavingServers = [this] {
        return this->servers.leavingRuns();
    };
    hooks.recordLeaving = [this](const std::vector<BackendServerName> &runs) {
        this->servers.recordPeerReport(runs, this->clock.now());
    };
    hooks.sharesConfiguration = false;
    hooks.announcesLoadChanges = true;
    hooks.selectPeers = [this](std::span<const BackendServerName> changed) {
        return this->usedServers.peersUsing(changed);
    };
    return hooks;
}

void PlatformDaemon::Implementation::takeInConfiguration(std::span<const RegisteredObject> objects,
                                                         Milliseconds requestedAt)
{
    for (const RegisteredObject &object : objects)
        this->takeInConfiguration(object);
    // Without the object there is nothing yet that could be confirmed.
    if (this->serving.current())
        this->serving.confirmConfiguration(requestedAt);
}

void PlatformDaemon::Implementation::takeInConfiguration(const RegisteredObject &object)
{
    if (object.name != configurationObjectName)
        return;
    Error reason;
    auto configuration = decodeConfiguration(object.value, reason);
    if (configuration)
        this->serving.offer(std::move(*configuration));
    else
        logEvent(LogEvent::ObjectUnreadable, "object", object.name, "revision",
                 std::to_string(object.revision), "detail", reason.detail);
}

std::optional<ServerEntry> PlatformDaemon::Implementation::readServer(
        const RegisteredObject &object)
{
    Error reason;
    auto entry = decodeServer(object, reason);
    if (!entry) {
        logEvent(LogEvent::ObjectUnreadable, "object", object.name, "revision",
                 std::to_string(object.revision), "detail", reason.detail);
    }
    return entry;
}

void PlatformDaemon::Implementation::takeInServers(std::span<const RegisteredObject> objects,
                                                   Milliseconds requestedAt)
{
    std::vector<ServerEntry> entries;
    for (const RegisteredObject &object : objects) {
        if (auto entry = this->readServer(object))
            entries.push_back(std::move(*entry));
    }
    this->servers.applyList(entries, requestedAt, this->clock.now());
    this->serving.confirmServers(requestedAt);
}

/** Probes find out which of the hosts live; a removed entry says nothing that they don't. */
void PlatformDaemon::Implementation::takeInHosts(std::span<const RegisteredObject> objects)
{
    std::vector<MemberRecord> records;
    for (const RegisteredObject &object : objects) {
        Error reason;
        if (auto record = decodeHost(object, reason)) {
            records.push_back(std::move(*record));
        } else {
            logEvent(LogEvent::ObjectUnreadable, "object", object.name, "revision",
                     std::to_string(object.revision), "detail", reason.detail);
        }
    }
    if (!records.empty())
        this->peers.recordRegisteredHosts(std::move(records));
}

void PlatformDaemon::Implementation::takeInServerChanges(std::span<const ObjectChange> changes,
                                                         Milliseconds requestedAt)
{
    for (const ObjectChange &change : changes) {
        std::optional<ServerEntry> entry;
        if (!change.isRemoved)
            entry = this->readServer(change.object);
        // An entry that another writer spoiled names no server to use either.
        if (entry)
            this->servers.applyEntry(*entry);
        else
            this->servers.applyRemoval(BackendServerName(change.object.name),
                                       change.object.revision);
    }
    this->servers.recordStoreContact(requestedAt);
    this->serving.confirmServers(requestedAt);
}

/** Many entries change at once; the dispatcher gets them in one piece. */
void PlatformDaemon::Implementation::publishServersSoon()
{
    if (std::exchange(this->isPublishing, true))
        return;
    net::post(this->context, [this] {
        this->isPublishing = false;
        this->publishServers();
    });
}

void PlatformDaemon::Implementation::publishServers()
{
    const auto configuration = this->serving.current();
    if (!configuration)
        return;
    Configuration published;
    published.revision = ++this->serverRevision;
    this->usedServers.setServers(this->servers.backendServers(*configuration));
    published.servers = this->usedServers.selectedServers();
    this->entry.configuration.offer(std::move(published));
}

net::awaitable<void> PlatformDaemon::Implementation::maintain()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        const Milliseconds now = this->clock.now();
        this->servers.advance(now);
        this->reachability.advance();
        this->checkReadiness();
        if (now - this->maintainedSlowlyAt >= slowMaintenanceInterval) {
            this->maintainedSlowlyAt = now;
            this->maintainSlowly();
        }
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

void PlatformDaemon::Implementation::maintainSlowly()
{
    this->serverConnections.closeExpired();
    this->storeConnections.closeExpired();
    const auto members = this->entry.members();
    std::size_t live = 0;
    for (const MemberRecord &record : *members)
        live += record.state != MemberState::Dead ? 1 : 0;
    this->budget.setHostCount(live);
    if (this->usedServers.setHosts(*members))
        this->publishServersSoon();
    const Milliseconds now = this->clock.now();
    const auto age = [&](std::optional<Milliseconds> value) {
        return static_cast<double>(value.value_or(Milliseconds(-1)).count());
    };
    this->entry.metrics.set("sassafrasyard_configuration_age_ms", {},
                            age(this->serving.configurationAge(now)));
    this->entry.metrics.set("sassafrasyard_servers_age_ms", {}, age(this->serving.serversAge(now)));
    this->checkSettings();
}

void PlatformDaemon::Implementation::checkReadiness()
{
    const Milliseconds now = this->clock.now();
    const bool isReadyNow = this->serving.isReady(now);
    if (isReadyNow == this->isReady)
        return;
    this->isReady = isReadyNow;
    const auto age = this->serving.configurationAge(now);
    logEvent(LogEvent::ReadinessChanged, "ready", std::string(isReadyNow ? "1" : "0"),
             "configuration_age_ms", age ? std::to_string(age->count()) : std::string("unknown"));
    this->peers.setServing(isReadyNow);
}

/** The file may change without a signal. */
void PlatformDaemon::Implementation::checkSettings()
{
    std::error_code code;
    const auto writtenAt = std::filesystem::last_write_time(this->settingsPath, code);
    if (code || writtenAt == this->settingsWrittenAt)
        return;
    this->settingsWrittenAt = writtenAt;
    std::vector<Error> faults;
    auto next = readPlatformSettings(this->settingsPath, faults);
    if (!next) {
        logEvent(LogEvent::SettingsKept, "detail", faults.front().detail);
        return;
    }
    if (next->hasSameBounds(this->settings))
        return;
    this->settings = std::move(*next);
    this->serving.setBounds(this->settings.serving);
    this->budget.setOptions(this->settings.retries);
    logEvent(LogEvent::SettingsReloaded, "path", this->settingsPath);
}

net::awaitable<void> PlatformDaemon::Implementation::answerDirectory(const HttpRequest &request,
                                                                     HttpResponder &responder)
{
    const auto query = decodeAddressQuery(request);
    if (!query) {
        const Error missing{ErrorCode::NotFound, RunState::NotRun, "no such resource", {}};
        co_await responder.send(formatCallError(missing));
        co_return;
    }
    std::vector<std::string> addresses;
    for (const ServingHost &host :
         servingHosts(this->entry, this->serving.isReady(this->clock.now()), query->failureDomain,
                      query->region)) {
        addresses.push_back(host.callerAddress);
    }
    if (addresses.empty()) {
        const Error none{ErrorCode::HostDraining, RunState::NotRun, "no host takes callers now",
                         answerLifetime};
        co_await responder.send(formatCallError(none));
        co_return;
    }
    const Milliseconds lifetime = std::min(answerLifetime, this->settings.addressLifetime);
    co_await responder.send(formatAddresses(addresses, lifetime));
}

net::awaitable<void> PlatformDaemon::Implementation::answerReadiness(const HttpRequest &request,
                                                                     HttpResponder &responder)
{
    const bool isReadyNow = this->serving.isReady(this->clock.now());
    if (isReadinessQuery(request))
        co_await responder.send(formatReadiness(isReadyNow));
    else
        co_await responder.send(plainText(404, "no such resource\n"));
}

net::awaitable<void> PlatformDaemon::Implementation::answerMetrics(const HttpRequest &request,
                                                                   HttpResponder &responder)
{
    if (request.path() == "/metrics")
        co_await responder.send(plainText(200, this->entry.metrics.toText()));
    else if (request.path() == "/state")
        co_await responder.send(plainText(200, gatewayStateText(this->services)));
    else
        co_await responder.send(plainText(404, "no such resource\n"));
}

net::awaitable<void> PlatformDaemon::Implementation::reloadOnSignal()
{
    boost::system::error_code code;
    while (!code) {
        co_await this->reloadSignals.async_wait(net::redirect_error(net::use_awaitable, code));
        if (!code)
            this->checkSettings();
    }
}

net::awaitable<void> PlatformDaemon::Implementation::stopOnSignal()
{
    boost::system::error_code code;
    co_await this->stopSignals.async_wait(net::redirect_error(net::use_awaitable, code));
    const Milliseconds begunAt = this->clock.now();
    this->entry.isDraining = true;
    this->serving.startDraining();
    this->gateway.drain();
    this->checkReadiness();
    logEvent(LogEvent::DaemonDraining, "active_requests",
             std::to_string(this->entry.activeRequests));
    net::co_spawn(
            this->context, [this] { return this->peers.leave(); }, net::detached);
    const Milliseconds killedAt = begunAt + this->settings.grace - graceMargin;
    const Milliseconds unusedAt = std::min(killedAt, begunAt + lifetimesKept * answerLifetime);
    net::steady_timer timer(co_await net::this_coro::executor);
    Milliseconds now = begunAt;
    while (now < unusedAt || (this->entry.activeRequests > 0 && now < killedAt)) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        now = this->clock.now();
    }
    logEvent(LogEvent::DaemonStopped, "active_requests",
             std::to_string(this->entry.activeRequests));
    this->context.stop();
}

PlatformDaemon::PlatformDaemon(PlatformSettings settings, std::string path)
    : implementation(std::make_unique<Implementation>(std::move(settings), std::move(path)))
{
}

PlatformDaemon::~PlatformDaemon() = default;

int PlatformDaemon::run()
{
    Error reason;
    if (!this->implementation->start(reason)) {
        logEvent(LogEvent::ListenFailed, "detail", reason.detail);
        return 1;
    }
    runLoggingExceptions(this->implementation->context);
    return 0;
}

} // namespace sassafrasyard
