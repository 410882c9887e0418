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

/** A host has only a fraction of a core; more threads would only add context switches. */
constexpr std::size_t actorThreads = 1;
/** The interval of checks for expired servers, unreachable servers and readiness. */
constexpr Milliseconds maintenanceInterval{100};
/** The interval of checks of idle connections, metrics and the settings file. */
constexpr Milliseconds slowMaintenanceInterval{1000};
/** The wait of a watch for other hosts; membership probes detect failed hosts sooner. */
constexpr Milliseconds hostWatchWait{5000};
constexpr Milliseconds hostWatchSpacing{1000};
constexpr Milliseconds hostResyncInterval{30000};
/** The store removes a server's entry after this many missed heartbeats. */
constexpr int heartbeatsUntilExpiry = 3;
/** After an outage of the store, live servers register again within this time. */
constexpr Milliseconds reregistrationTime{2000};
/** Some callers cache an address response for three times its lifetime. */
constexpr int addressCacheFactor = 3;
/** Callers notice a stopping host only at their next query, so responses expire early. */
constexpr Milliseconds addressCacheTime{2000};
/** The time within which a caller resumes a stream that has reached the time-out of its route. */
constexpr Milliseconds resumptionMargin{60000};
/** The calls in progress are ended this long before the platform would kill the process. */
constexpr Milliseconds graceMargin{500};
/** How long the calls that a planned stop ends may take to send their final answers. */
constexpr Milliseconds finalAnswersTime{200};
constexpr Milliseconds finalAnswersInterval{20};
/** File descriptors not used for calls: listeners, peers, store, files. */
constexpr std::uint32_t reservedDescriptors = 400;
/** The port for calls that peers relay, after the first internal one. */
constexpr int relayPortOffset = 2;
/** The calls that peers relay take at most this many connections, and this part of all. */
constexpr std::size_t maximumRelayedConnections = 256;
constexpr std::size_t relayedConnectionsDivisor = 4;
/** A call needs one descriptor for its caller and up to one for its backend server. */
constexpr std::uint32_t descriptorsPerCall = 2;

Settings entrySettings(const PlatformSettings &platform)
{
    Settings settings;
    settings.host = platform.host;
    settings.failureDomain = platform.failureDomain;
    settings.region = platform.region;
    settings.callerAddress = platform.callerEndpoint.toString();
    settings.peerAddress = Endpoint{platform.address, platform.firstInternalPort}.toString();
    settings.adminAddress =
            Endpoint{platform.address, static_cast<std::uint16_t>(platform.firstInternalPort + 1)}
                    .toString();
    settings.platformAddress = platform.storeEndpoint.toString();
    // Routed calls carry no stream positions of this system, so nothing is signed with this secret.
    settings.positionSecret = RandomSource::fromSystem().nextHex();
    settings.ioThreads = 1;
    settings.placement = "prompt-queue";
    return settings;
}

ServerCatalogueOptions catalogueOptions(const PlatformSettings &settings)
{
    return {reregistrationTime, heartbeatsUntilExpiry * settings.heartbeatInterval,
            settings.drainTimeout, settings.drainTimeout};
}

/** Only some hosts read the store, on behalf of all, so halving the wait of a watch is affordable.
 */
ObjectFollowerOptions followerOptions(const PlatformSettings &settings)
{
    auto options = ObjectFollowerOptions::within(settings.serving, settings.drainTimeout);
    options.watchWait /= 2;
    return options;
}

/**
 * Evacuations are rare, so they cost the store few calls: a watch returns at once if there is news,
 * and otherwise ends well within the time to apply, in case its connection has gone silent.
 */
ObjectFollowerOptions evacuationFollowerOptions(const PlatformSettings &settings)
{
    // For settings that name no time yet; they may be reloaded.
    constexpr Milliseconds usualTime{5000};
    constexpr int retryFactor = 2;
    constexpr int timesPerCheck = 2;
    const Milliseconds time = settings.evacuationTime.value_or(usualTime);
    ObjectFollowerOptions options;
    options.watchWait = time * 9 / 20;
    options.resyncInterval = time * timesPerCheck;
    options.longestRetryDelay = retryFactor * options.longestRetryDelay;
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

SharedSourceOptions sharedSourceOptions(const ObjectFollowerOptions &follower)
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
    void listenForPeers(std::size_t maximumConnections);
    PeerHooks makePeerHooks();
    SharedSourceHooks makeSharedSourceHooks();
    RunExchangeHooks makeRunExchangeHooks();
    SpeedExchangeHooks makeSpeedHooks();
    void connectBrittleServers();
    net::awaitable<void> tellPlace(std::string address, PlacePermitRequest request);
    void connectRunVersions();
    Milliseconds maximumServersAge() const;
    void confirmServers(Milliseconds requestedAt);
    void applyConfiguration(std::span<const RegisteredObject> objects, Milliseconds requestedAt);
    void applyConfiguration(const RegisteredObject &object);
    void applyServers(std::span<const RegisteredObject> objects, Milliseconds requestedAt);
    void applyHosts(std::span<const RegisteredObject> objects);
    void followEvacuations();
    void applyEvacuations(std::span<const RegisteredObject> objects, Milliseconds requestedAt);
    void applyEvacuationChanges(std::span<const ObjectChange> changes, Milliseconds requestedAt);
    std::optional<FailureDomainName> readEvacuation(const RegisteredObject &object);
    void publishEvacuations();
    void applyServerChanges(std::span<const ObjectChange> changes, Milliseconds requestedAt);
    std::optional<ServerEntry> readServer(const RegisteredObject &object);
    void schedulePublishServers();
    void publishServers();
    void publishVersions();
    void publishColdServers(const ServingConfiguration &configuration);
    net::awaitable<void> runMaintenance();
    void runSlowMaintenance();
    void checkReadiness();
    void checkSettings();
    net::awaitable<void> handleDirectoryRequest(const HttpRequest &request,
                                                HttpResponder &responder);
    net::awaitable<void> handleReadinessRequest(const HttpRequest &request,
                                                HttpResponder &responder);
    net::awaitable<void> handleMetricsRequest(const HttpRequest &request, HttpResponder &responder);
    net::awaitable<void> reloadOnSignal();
    net::awaitable<void> stopOnSignal();
    net::awaitable<void> endCalls(Milliseconds stopStartedAt);

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
    Evacuations evacuations;
    ListConfirmations serverConfirmations;
    ServerSubset serverSubset;
    HttpConnectionPool serverConnections;
    HttpConnectionPool storeConnections;
    ServiceRetryBudget retryBudget;
    ServerReachability reachability;
    ServerLimiter limiter;
    RunVersions runVersions;
    ContactMonitor contacts;
    RelayPeers relayPeers;
    GatewayDependencies services;
    GatewayService gateway;
    StoreClient store;
    UnreadableObjectLog unreadableObjects;
    QuarantineArchive quarantineArchive;
    SharedObjectSource configurationSource;
    SharedObjectSource serverSource;
    SharedObjectSource hostSource;
    SharedObjectSource evacuationSource;
    MirrorService mirrors;
    ObjectFollower configurationFollower;
    ObjectFollower serverFollower;
    ObjectFollower hostFollower;
    ObjectFollower evacuationFollower;
    PeerService peers;
    VersionHistory versionHistory;
    RunVersionExchange runExchange;
    RunReplicator runReplicator;
    SpeedExchange speedExchange;
    HttpServer readinessServer;
    HttpServer directoryServer;
    HttpServer metricsServer;
    net::signal_set stopSignals;
    net::signal_set reloadSignals;
    std::uint64_t serverRevision = 0;
    bool isPublishScheduled = false;
    bool followsEvacuations = false;
    bool isReady = false;
    Milliseconds lastSlowMaintenanceAt{0};
};

PlatformDaemon::Implementation::Implementation(PlatformSettings newSettings, std::string path)
    : settings(std::move(newSettings))
    , settingsPath(std::move(path))
    , entry(entrySettings(this->settings), HostIncarnation(RandomSource::fromSystem().nextHex()))
    , dispatch(this->entry, this->runtime, this->context, false)
    , serving(this->settings.serving)
    , servers(catalogueOptions(this->settings), this->clock)
    , evacuations(this->settings.evacuationTime.value_or(this->settings.drainTimeout))
    , serverConfirmations(this->context, this->clock)
    , serverSubset({this->settings.host, this->settings.failureDomain})
    , serverConnections(this->context, this->clock)
    , storeConnections(this->context, this->clock)
    , retryBudget(this->settings.retryBudget)
    , reachability(this->dispatch, this->clock)
    , limiter(this->entry, this->dispatch, this->clock)
    , runVersions(this->clock)
    , contacts(this->entry, this->context, this->servers, this->clock)
    , relayPeers(this->entry, this->context, this->clock)
    , services{this->context,       this->entry,
               this->dispatch,      this->serving,
               this->servers,       this->serverConnections,
               this->retryBudget,   this->reachability,
               this->limiter,       this->runVersions,
               this->contacts,      this->relayPeers,
               platformCallCodec(), platformEngineCalls(this->context),
               this->clock}
    , gateway(this->services)
    , store(this->settings.storeEndpoint, this->storeConnections)
    , quarantineArchive(this->dispatch, this->context, this->store.quarantineArchiveCalls(),
                        Clock::system())
    , configurationSource(this->store.source(), this->makeSharedSourceHooks(), this->clock,
                          sharedSourceOptions(followerOptions(this->settings)))
    , serverSource(this->store.source(), this->makeSharedSourceHooks(), this->clock,
                   sharedSourceOptions(followerOptions(this->settings)))
    , hostSource(this->store.source(), this->makeSharedSourceHooks(), this->clock,
                 sharedSourceOptions(hostFollowerOptions()))
    , evacuationSource(this->store.source(), this->makeSharedSourceHooks(), this->clock,
                       sharedSourceOptions(evacuationFollowerOptions(this->settings)))
    , mirrors(this->context, this->clock)
    , configurationFollower(
              std::string(objectkind::configuration), this->configurationSource.source(),
              this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds requestedAt) {
                  this->applyConfiguration(objects, requestedAt);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds requestedAt) {
                  for (const ObjectChange &change : changes) {
                      if (!change.isRemoved)
                          this->applyConfiguration(change.object);
                  }
                  this->serving.confirmConfiguration(requestedAt);
              },
              followerOptions(this->settings))
    , serverFollower(
              std::string(objectkind::servers), this->serverSource.source(), this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds requestedAt) {
                  this->applyServers(objects, requestedAt);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds requestedAt) {
                  this->applyServerChanges(changes, requestedAt);
              },
              followerOptions(this->settings))
    , hostFollower(
              std::string(objectkind::hosts), this->hostSource.source(), this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds) {
                  this->applyHosts(objects);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds) {
                  std::vector<RegisteredObject> present;
                  for (const ObjectChange &change : changes) {
                      if (!change.isRemoved)
                          present.push_back(change.object);
                  }
                  this->applyHosts(present);
              },
              hostFollowerOptions())
    , evacuationFollower(
              std::string(objectkind::evacuations), this->evacuationSource.source(), this->clock,
              [this](std::span<const RegisteredObject> objects, Milliseconds requestedAt) {
                  this->applyEvacuations(objects, requestedAt);
              },
              [this](std::span<const ObjectChange> changes, Milliseconds requestedAt) {
                  this->applyEvacuationChanges(changes, requestedAt);
              },
              evacuationFollowerOptions(this->settings))
    , peers(this->entry, this->dispatch, this->runtime, this->context, this->makePeerHooks())
    , versionHistory(this->entry, this->context, this->store.versionHistoryCalls(), this->clock)
    , runExchange(this->entry, this->context, this->makeRunExchangeHooks())
    , runReplicator(this->entry, this->context, this->runExchange,
                    [this] { return this->runVersions.statements(); })
    , speedExchange(this->dispatch, this->context, this->clock, this->makeSpeedHooks())
    , readinessServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handleReadinessRequest(request, responder);
              },
              formatCallError)
    , directoryServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handleDirectoryRequest(request, responder);
              },
              formatCallError)
    , metricsServer(
              this->context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handleMetricsRequest(request, responder);
              },
              formatCallError)
    , stopSignals(this->context, SIGTERM, SIGINT)
    , reloadSignals(this->context, SIGHUP)
{
    this->mirrors.add(std::string(objectkind::configuration), this->configurationFollower.mirror());
    this->mirrors.add(std::string(objectkind::servers), this->serverFollower.mirror());
    this->mirrors.add(std::string(objectkind::hosts), this->hostFollower.mirror());
    this->evacuationFollower.setRestoreHook(
            [this] { this->evacuations.recordStoreRestored(this->clock.now()); });
    this->evacuations.setChangeHook([this] { this->publishEvacuations(); });
    this->servers.setReturnHook([this](const BackendServerName &server) {
        this->peers.requestLoadUpdate();
        this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds now) {
            dispatcher.recordReturn(server, now);
        });
    });
    std::error_code ignored;
    this->settingsWrittenAt = std::filesystem::last_write_time(this->settingsPath, ignored);
    this->limiter.setHooks({[this](std::string address, CallPermitRequest request,
                                   Milliseconds timeout, Error &reason) {
                                return this->peers.askPermit(std::move(address), std::move(request),
                                                             timeout, reason);
                            },
                            [this](std::string address, ColdPermitRequest request,
                                   Milliseconds timeout, Error &reason) {
                                return this->peers.askColdPermit(
                                        std::move(address), std::move(request), timeout, reason);
                            },
                            [this] {
                                this->peers.requestLoadUpdate();
                            }});
    this->connectBrittleServers();
    this->connectRunVersions();
    this->relayPeers.setAsk([this](std::string address, ServiceContactRequest request,
                                   Milliseconds timeout, Error &reason) {
        return this->peers.askContact(std::move(address), std::move(request), timeout, reason);
    });
    this->servers.setHooks(
            [this](const BackendServerName &server) {
                logEvent(LogEvent::ServerLeaving, "backend_server", server.toString());
                this->peers.requestLoadUpdate();
                this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
                    dispatcher.setLeaving(server, true);
                });
            },
            [this] { this->schedulePublishServers(); },
            [this](const BackendServerName &server) {
                this->reachability.forget(server);
                // A removed server loses its load and cache; toggling its reachability clears both.
                this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
                    dispatcher.setReachable(server, false);
                    dispatcher.setReachable(server, true);
                    dispatcher.setLeaving(server, false);
                });
            });
    this->serverFollower.setRestoreHook(
            [this] { this->servers.recordStoreRestored(this->clock.now()); });
    this->hostFollower.setRestoreHook([this] {
        this->peers.registerAgain();
        this->quarantineArchive.saveAgain();
        this->versionHistory.readAgain();
    });
    this->serving.addListener([this](const ServingConfiguration &configuration) {
        logEvent(LogEvent::RoutesApplied, "version", std::to_string(configuration.version),
                 "routes", std::to_string(configuration.routes.size()));
        const Milliseconds retention = configuration.routes.longestTimeout() + resumptionMargin;
        this->runVersions.raiseLifetime(retention);
        this->versionHistory.raiseRetention(retention);
        this->schedulePublishServers();
    });
}

bool PlatformDaemon::Implementation::start(Error &reason)
{
    const std::uint32_t descriptors =
            std::max(this->settings.maximumDescriptors, reservedDescriptors + descriptorsPerCall);
    const std::size_t connections = (descriptors - reservedDescriptors) / descriptorsPerCall;
    const auto metricsEndpoint = parseEndpoint(this->entry.settings.adminAddress, reason);
    const std::size_t relayedConnections =
            std::min(maximumRelayedConnections, connections / relayedConnectionsDivisor);
    if (!this->gateway.listen(this->settings.callerEndpoint, connections - relayedConnections,
                              reason)
        || !this->readinessServer.listen(this->settings.readinessEndpoint, reason)
        || !this->directoryServer.listen(this->settings.directoryEndpoint, reason)
        || !metricsEndpoint || !this->metricsServer.listen(*metricsEndpoint, reason)
        || !this->peers.start(reason)) {
        return false;
    }
    this->listenForPeers(relayedConnections);
    this->configurationFollower.start(this->context);
    this->serverFollower.start(this->context);
    this->hostFollower.start(this->context);
    this->followEvacuations();
    this->quarantineArchive.start();
    this->versionHistory.start();
    this->speedExchange.start();
    this->dispatch.setQuarantineHook(
            [this](std::uint64_t digest) { this->quarantineArchive.save(digest); });
    const net::any_io_executor executor = this->context.get_executor();
    spawnWithRestart(executor, "maintenance", [this] { return this->runMaintenance(); });
    spawnWithRestart(executor, "reload", [this] { return this->reloadOnSignal(); });
    spawnWithRestart(executor, "stop", [this] { return this->stopOnSignal(); });
    logEvent(LogEvent::DaemonStarted, "incarnation", this->entry.incarnation.toString(),
             "caller_address", this->entry.settings.callerAddress);
    return true;
}

/** Listens for calls that peers relay, if that is possible. */
void PlatformDaemon::Implementation::listenForPeers(std::size_t maximumConnections)
{
    const int port = this->settings.firstInternalPort + relayPortOffset;
    Error reason;
    reason.detail = "fewer than three internal ports";
    const bool isListening = port <= this->settings.lastInternalPort
            && this->gateway.listenForPeers(
                    {this->settings.address, static_cast<std::uint16_t>(port)}, maximumConnections,
                    reason);
    if (!isListening)
        logEvent(LogEvent::RelayUnavailable, "detail", reason.detail);
}

SharedSourceHooks PlatformDaemon::Implementation::makeSharedSourceHooks()
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

RunExchangeHooks PlatformDaemon::Implementation::makeRunExchangeHooks()
{
    RunExchangeHooks hooks;
    hooks.tell = [this](std::string address, RunVersionUpdate update, Milliseconds timeout,
                        Error &reason) {
        return this->peers.tellRunVersions(std::move(address), std::move(update), timeout, reason);
    };
    hooks.ask = [this](std::string address, RunVersionRequest request, Milliseconds timeout,
                       Error &reason) {
        return this->peers.askRunVersions(std::move(address), std::move(request), timeout, reason);
    };
    return hooks;
}

SpeedExchangeHooks PlatformDaemon::Implementation::makeSpeedHooks()
{
    SpeedExchangeHooks hooks;
    hooks.peersUsing = [this](std::span<const BackendServerName> servers) {
        return this->serverSubset.peersUsing(servers);
    };
    hooks.tell = [this](std::string address, SpeedUpdate update, Milliseconds timeout,
                        Error &reason) {
        return this->peers.tellSpeeds(std::move(address), std::move(update), timeout, reason);
    };
    return hooks;
}

/** Lets the hosts ask each other for places at brittle servers. */
void PlatformDaemon::Implementation::connectBrittleServers()
{
    BrittleHooks hooks;
    hooks.ask = [this](std::string address, PlacePermitRequest request, Milliseconds timeout,
                       Error &reason) {
        return this->peers.askPlace(std::move(address), std::move(request), timeout, reason);
    };
    hooks.tell = [this](std::string address, PlacePermitRequest request) {
        net::co_spawn(this->context, this->tellPlace(std::move(address), std::move(request)),
                      net::detached);
    };
    this->limiter.brittleServers().setHooks(std::move(hooks));
}

/** Sends a report or an announcement; a lost one is made up for by the next report. */
net::awaitable<void> PlatformDaemon::Implementation::tellPlace(std::string address,
                                                               PlacePermitRequest request)
{
    constexpr Milliseconds timeout{500};
    Error reason;
    const auto reply = co_await this->peers.askPlace(address, std::move(request), timeout, reason);
    if (!reply)
        logEvent(LogEvent::PermitUnavailable, "peer", address, "detail", reason.detail);
}

/** Lets the software versions of streams be told to and found at other hosts. */
void PlatformDaemon::Implementation::connectRunVersions()
{
    RunVersionsHooks hooks;
    hooks.tell = [this](const RunKey &run, const std::string &service,
                        const SoftwareVersion &version) {
        this->runExchange.tell(run, service, version);
    };
    hooks.ask = [this](RunKey run, std::string service) {
        return this->runExchange.ask(run, std::move(service));
    };
    hooks.soleVersion = [this](std::string_view service) -> std::optional<SoftwareVersion> {
        // A host without contact to the store gets no newer list in time.
        const auto age = this->serving.serversAge(this->clock.now());
        if (!age || *age > this->maximumServersAge())
            return std::nullopt;
        // A list that was applied last is published by a later task.
        if (this->isPublishScheduled)
            this->publishVersions();
        return this->versionHistory.soleVersion(service);
    };
    hooks.awaitServers = [this](Milliseconds than, Milliseconds endAt) {
        // A list that becomes older than this is not being renewed.
        const Milliseconds lastAt = than + this->maximumServersAge();
        return this->serverConfirmations.waitForNewer(than, std::min(endAt, lastAt));
    };
    this->runVersions.setHooks(std::move(hooks));
}

/** Returns the age at which a list of servers counts as lacking contact to the store. */
Milliseconds PlatformDaemon::Implementation::maximumServersAge() const
{
    return heartbeatsUntilExpiry * this->settings.heartbeatInterval;
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
    hooks.answerPermitRequest = [this](const CallPermitRequest &request) {
        return this->limiter.answer(request);
    };
    hooks.answerPlaceRequest = [this](const PlacePermitRequest &request) {
        return this->limiter.brittleServers().answer(request);
    };
    hooks.recordSpeeds = [this](const SpeedUpdate &update) {
        return this->speedExchange.record(update);
    };
    hooks.answerColdRequest = [this](const ColdPermitRequest &request) {
        return this->limiter.answer(request);
    };
    hooks.callLimits = [this] {
        return this->limiter.messages();
    };
    hooks.recordCallLimits = [this](std::span<const CallLimitMessage> messages) {
        this->limiter.recordMessages(messages);
    };
    hooks.recordRunVersions = [this](const RunVersionUpdate &update) {
        return this->runVersions.recordUpdate(update);
    };
    hooks.answerRunVersions = [this](const RunVersionRequest &request) {
        return this->runVersions.answer(request);
    };
    hooks.answerContactRequest = [this](ServiceContactRequest request) {
        return this->contacts.answer(std::move(request));
    };
    hooks.sharesConfiguration = false;
    hooks.announcesLoadChanges = true;
    hooks.selectPeers = [this](std::span<const BackendServerName> changed) {
        return this->serverSubset.peersUsing(changed);
    };
    return hooks;
}

void PlatformDaemon::Implementation::applyConfiguration(std::span<const RegisteredObject> objects,
                                                        Milliseconds requestedAt)
{
    for (const RegisteredObject &object : objects)
        this->applyConfiguration(object);
    // Before the first configuration there is nothing to confirm.
    if (this->serving.current())
        this->serving.confirmConfiguration(requestedAt);
}

void PlatformDaemon::Implementation::applyConfiguration(const RegisteredObject &object)
{
    if (object.name != configurationObjectName)
        return;
    Error reason;
    auto configuration = decodeConfiguration(object.value, reason);
    if (configuration)
        this->serving.offer(std::move(*configuration));
    else
        this->unreadableObjects.record(objectkind::configuration, object, reason.detail);
}

std::optional<ServerEntry> PlatformDaemon::Implementation::readServer(
        const RegisteredObject &object)
{
    Error reason;
    auto entry = decodeServer(object, reason);
    if (!entry)
        this->unreadableObjects.record(objectkind::servers, object, reason.detail);
    return entry;
}

void PlatformDaemon::Implementation::applyServers(std::span<const RegisteredObject> objects,
                                                  Milliseconds requestedAt)
{
    std::vector<ServerEntry> entries;
    for (const RegisteredObject &object : objects) {
        if (auto entry = this->readServer(object))
            entries.push_back(std::move(*entry));
    }
    this->servers.applyList(entries, requestedAt, this->clock.now());
    this->confirmServers(requestedAt);
}

/** Adds registered hosts to the membership. Removals are ignored: probes detect dead hosts. */
void PlatformDaemon::Implementation::applyHosts(std::span<const RegisteredObject> objects)
{
    std::vector<MemberRecord> records;
    for (const RegisteredObject &object : objects) {
        Error reason;
        if (auto record = decodeHost(object, reason)) {
            records.push_back(std::move(*record));
        } else {
            this->unreadableObjects.record(objectkind::hosts, object, reason.detail);
        }
    }
    if (!records.empty())
        this->peers.recordRegisteredHosts(std::move(records));
}

/** Starts to follow the evacuations if the settings say that failure domains are evacuated. */
void PlatformDaemon::Implementation::followEvacuations()
{
    if (!this->settings.evacuationTime || std::exchange(this->followsEvacuations, true))
        return;
    this->mirrors.add(std::string(objectkind::evacuations), this->evacuationFollower.mirror());
    // A host that serves already goes on until it has read them.
    this->serving.setEvacuationsRequired(!this->isReady);
    this->evacuationFollower.start(this->context);
}

void PlatformDaemon::Implementation::applyEvacuations(std::span<const RegisteredObject> objects,
                                                      Milliseconds requestedAt)
{
    std::vector<FailureDomainName> domains;
    for (const RegisteredObject &object : objects) {
        if (auto domain = this->readEvacuation(object))
            domains.push_back(std::move(*domain));
    }
    this->evacuations.applyList(domains, requestedAt);
    this->serving.confirmEvacuations();
}

void PlatformDaemon::Implementation::applyEvacuationChanges(std::span<const ObjectChange> changes,
                                                            Milliseconds requestedAt)
{
    for (const ObjectChange &change : changes) {
        const auto domain = this->readEvacuation(change.object);
        if (!domain)
            continue;
        if (change.isRemoved)
            this->evacuations.applyEnd(*domain);
        else if (!this->evacuations.applyStart(*domain))
            this->unreadableObjects.record(objectkind::evacuations, change.object,
                                           "too many evacuations");
    }
    this->evacuations.confirm(requestedAt);
}

std::optional<FailureDomainName> PlatformDaemon::Implementation::readEvacuation(
        const RegisteredObject &object)
{
    Error reason;
    auto domain = decodeEvacuation(object, reason);
    if (!domain)
        this->unreadableObjects.record(objectkind::evacuations, object, reason.detail);
    return domain;
}

/** Applies the evacuations to the servers, and logs those that began or ended. */
void PlatformDaemon::Implementation::publishEvacuations()
{
    const auto &current = this->evacuations.returnLimits();
    const auto before = this->servers.evacuatedDomains();
    this->servers.setEvacuatedDomains(current);
    for (const auto &[domain, limit] : current) {
        if (!before.contains(domain))
            logEvent(LogEvent::DomainEvacuated, "failure_domain", domain.toString());
    }
    for (const auto &[domain, limit] : before) {
        if (!current.contains(domain))
            logEvent(LogEvent::DomainReturned, "failure_domain", domain.toString());
    }
    this->entry.metrics.set("sassafrasyard_evacuated_domains", {},
                            static_cast<double>(current.size()));
}

void PlatformDaemon::Implementation::applyServerChanges(std::span<const ObjectChange> changes,
                                                        Milliseconds requestedAt)
{
    for (const ObjectChange &change : changes) {
        std::optional<ServerEntry> entry;
        if (!change.isRemoved)
            entry = this->readServer(change.object);
        // A malformed entry is handled as a removal: its server can't be used.
        if (entry)
            this->servers.applyEntry(*entry);
        else
            this->servers.applyRemoval(BackendServerName(change.object.name),
                                       change.object.revision);
    }
    this->servers.recordStoreContact(requestedAt);
    this->confirmServers(requestedAt);
}

void PlatformDaemon::Implementation::confirmServers(Milliseconds requestedAt)
{
    this->serving.confirmServers(requestedAt);
    this->serverConfirmations.confirm(requestedAt);
}

/** Coalesces changes of many entries into one publication to the dispatcher. */
void PlatformDaemon::Implementation::schedulePublishServers()
{
    if (std::exchange(this->isPublishScheduled, true))
        return;
    net::post(this->context, [this] {
        this->isPublishScheduled = false;
        this->publishServers();
        this->publishVersions();
    });
}

void PlatformDaemon::Implementation::publishServers()
{
    const auto configuration = this->serving.current();
    if (!configuration)
        return;
    Configuration published;
    published.revision = ++this->serverRevision;
    this->serverSubset.setServers(this->servers.backendServers(*configuration));
    published.servers = this->serverSubset.allServers();
    this->entry.configuration.offer(std::move(published));
    this->publishColdServers(*configuration);
}

/** Tells the limiter which servers are cold and how many calls they bear. */
void PlatformDaemon::Implementation::publishColdServers(const ServingConfiguration &configuration)
{
    std::vector<ColdServer> cold;
    for (const ServerEntry &server : this->servers.entries()) {
        const Service *service = configuration.findService(server.service);
        const auto until = this->servers.coldUntil(server.name);
        if (until && service != nullptr && service->coldCallsPerSecond > 0.0)
            cold.push_back({ServerCatalogue::runName(server), service->coldCallsPerSecond, *until});
    }
    this->limiter.setColdServers(cold);
}

/** Records which software versions the registered servers have, once these are known. */
void PlatformDaemon::Implementation::publishVersions()
{
    if (this->serving.serversAge(this->clock.now()))
        this->versionHistory.setPresent(presentVersions(this->servers.entries()));
}

net::awaitable<void> PlatformDaemon::Implementation::runMaintenance()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    Milliseconds dueAt = this->clock.now();
    while (!code) {
        const Milliseconds now = this->clock.now();
        if (this->services.changes.recordTimer(dueAt, now))
            logEvent(LogEvent::HostLate, "late_ms", std::to_string((now - dueAt).count()));
        this->servers.advance(now);
        this->evacuations.advance(now);
        this->reachability.advance();
        this->limiter.advance();
        this->contacts.advance();
        this->runReplicator.advance();
        this->checkReadiness();
        if (now - this->lastSlowMaintenanceAt >= slowMaintenanceInterval) {
            this->lastSlowMaintenanceAt = now;
            this->runSlowMaintenance();
        }
        timer.expires_after(maintenanceInterval);
        dueAt = this->clock.now() + maintenanceInterval;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

void PlatformDaemon::Implementation::runSlowMaintenance()
{
    this->serverConnections.closeExpired();
    this->storeConnections.closeExpired();
    this->versionHistory.advance();
    const auto members = this->entry.members();
    std::size_t liveHosts = 0;
    for (const MemberRecord &record : *members)
        liveHosts += record.state != MemberState::Dead ? 1 : 0;
    this->retryBudget.setHostCount(liveHosts);
    if (this->serverSubset.setHosts(*members))
        this->schedulePublishServers();
    const Milliseconds now = this->clock.now();
    const auto age = [&](std::optional<Milliseconds> value) {
        return static_cast<double>(value.value_or(Milliseconds(-1)).count());
    };
    this->entry.metrics.set("sassafrasyard_configuration_age_ms", {},
                            age(this->serving.configurationAge(now)));
    this->entry.metrics.set("sassafrasyard_servers_age_ms", {}, age(this->serving.serversAge(now)));
    if (this->settings.evacuationTime)
        this->entry.metrics.set("sassafrasyard_evacuations_age_ms", {},
                                age(this->evacuations.age(now)));
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

/** Reloads the settings file if its modification time has changed, also without SIGHUP. */
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
    this->servers.setDrainTime(this->settings.drainTimeout);
    if (this->settings.evacuationTime)
        this->evacuations.setApplyTime(*this->settings.evacuationTime);
    this->followEvacuations();
    this->retryBudget.setOptions(this->settings.retryBudget);
    logEvent(LogEvent::SettingsReloaded, "path", this->settingsPath);
}

net::awaitable<void> PlatformDaemon::Implementation::handleDirectoryRequest(
        const HttpRequest &request, HttpResponder &responder)
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
        const Error none{ErrorCode::HostDraining, RunState::NotRun,
                         "no entry host accepts callers at present", addressCacheTime};
        co_await responder.send(formatCallError(none));
        co_return;
    }
    const Milliseconds lifetime = std::min(addressCacheTime, this->settings.addressLifetime);
    co_await responder.send(formatAddresses(addresses, lifetime));
}

net::awaitable<void> PlatformDaemon::Implementation::handleReadinessRequest(
        const HttpRequest &request, HttpResponder &responder)
{
    const bool isReadyNow = this->serving.isReady(this->clock.now());
    if (isReadinessQuery(request))
        co_await responder.send(formatReadiness(isReadyNow));
    else
        co_await responder.send(plainText(404, "no such resource\n"));
}

net::awaitable<void> PlatformDaemon::Implementation::handleMetricsRequest(
        const HttpRequest &request, HttpResponder &responder)
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
        if (code)
            break;
        this->services.changes.reloadedAt = this->clock.now();
        logEvent(LogEvent::ReloadRequested, "active_requests",
                 std::to_string(this->entry.activeRequests));
        this->checkSettings();
    }
}

net::awaitable<void> PlatformDaemon::Implementation::stopOnSignal()
{
    boost::system::error_code code;
    co_await this->stopSignals.async_wait(net::redirect_error(net::use_awaitable, code));
    // The grace may have changed since the file was last looked at.
    this->checkSettings();
    const Milliseconds drainStartedAt = this->clock.now();
    const Milliseconds stopDeadline = drainStartedAt + this->settings.gracePeriod - graceMargin;
    this->entry.isDraining = true;
    this->services.changes.stopStartedAt = drainStartedAt;
    this->serving.startDraining(stopDeadline);
    this->gateway.drain();
    this->serverConfirmations.endWaits();
    this->runReplicator.handOver();
    this->checkReadiness();
    logEvent(LogEvent::DaemonDraining, "active_requests",
             std::to_string(this->entry.activeRequests));
    net::co_spawn(
            this->context, [this] { return this->peers.leave(); }, net::detached);
    const Milliseconds addressesExpireAt =
            std::min(stopDeadline, drainStartedAt + addressCacheFactor * addressCacheTime);
    net::steady_timer timer(co_await net::this_coro::executor);
    Milliseconds now = drainStartedAt;
    while (now < addressesExpireAt || (this->entry.activeRequests > 0 && now < stopDeadline)) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        now = this->clock.now();
    }
    co_await this->endCalls(drainStartedAt);
    logEvent(LogEvent::DaemonStopped, "active_requests",
             std::to_string(this->entry.activeRequests));
    this->context.stop();
}

/** Ends the calls in progress, so that those without a response get a final answer. */
net::awaitable<void> PlatformDaemon::Implementation::endCalls(Milliseconds stopStartedAt)
{
    Milliseconds now = this->clock.now();
    // Calls that arrive from now on are refused, also if the stop is complete early.
    this->serving.startDraining(now);
    this->services.activeCalls.logCutCalls(stopStartedAt, now);
    const Milliseconds end = now + finalAnswersTime;
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (now < end) {
        this->gateway.closeIdle();
        if (this->gateway.endCalls(now) == 0 && this->gateway.openConnections() == 0)
            break;
        timer.expires_after(finalAnswersInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        now = this->clock.now();
    }
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
