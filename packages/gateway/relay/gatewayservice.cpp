#include "gateway/relay/gatewayservice.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"
#include "gateway/relay/callplacement.h"
#include "gateway/relay/callrelay.h"
#include "gateway/relay/eventrelay.h"
#include "gateway/relay/peerrelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A host without a configuration reads one within a few round trips to the store. */
constexpr Milliseconds unconfiguredRetryAfter{300};
/** A store outage usually lasts a few seconds; another host may be able to serve sooner. */
constexpr Milliseconds staleRetryAfter{1000};
/** A write to a caller that does not read fails after this time. */
constexpr Milliseconds callerWriteTimeout{10000};
/** The header of a relayed call may be larger than the caller's by this many bytes. */
constexpr std::size_t relayHeaderBytes = 256;
/** The part of the memory for the bodies of requests that relayed calls may take, in bytes. */
constexpr std::size_t relayedBodyBytes = 3U << 20U;
/** Connections fail for about this time before a service is known to be unreached. */
constexpr Milliseconds noticeTime{1000};

/** Returns the value of a field that occurs exactly once, otherwise nothing. */
std::optional<std::string> singleValue(const HttpHeaders &headers, std::string_view name)
{
    std::optional<std::string> found;
    for (const auto &[field, value] : headers) {
        if (!isSameField(field, name))
            continue;
        if (found)
            return std::nullopt;
        found = value;
    }
    return found;
}

/**
 * Returns whether chunked is the only transfer coding; others could hide the end of the request.
 */
bool hasPlainFraming(const HttpHeaders &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const auto &field) {
        return !isSameField(field.first, "Transfer-Encoding")
                || isSameField(field.second, "chunked");
    });
}

Priority toPriority(int rank)
{
    if (rank <= 0)
        return Priority::High;
    return rank == 1 ? Priority::Normal : Priority::Low;
}

Error invalidRequest(std::string detail)
{
    return {ErrorCode::InvalidRequest, RunState::NotRun, std::move(detail), {}};
}

} // namespace

GatewayService::GatewayService(GatewayDependencies &dependencies)
    : dependencies(dependencies)
    , server(
              dependencies.context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handle(request, responder, false);
              },
              [this](const Error &error) { return this->refuseUnread(error); })
    , relayServer(
              dependencies.context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handle(request, responder, true);
              },
              [this](const Error &error) { return this->refuseUnread(error); })
    , random(RandomSource::fromSystem())
{
    dependencies.serving.addListener([this](const ServingConfiguration &configuration) {
        this->dependencies.changes.configurationAppliedAt = this->dependencies.clock.now();
        this->applyLimits(configuration.limits);
    });
    ContactHooks hooks;
    hooks.onChange = [this](const std::string &service, bool isUnreached, Milliseconds since) {
        if (isUnreached)
            this->relayWaiting(service);
        else
            this->endAvoidance(service, since);
    };
    hooks.relayOffer = [this] {
        return this->relayOffer();
    };
    dependencies.contacts.setHooks(std::move(hooks));
}

/** Lets the waiting calls of an unreached service go on at a peer, once one reaches it. */
void GatewayService::relayWaiting(const std::string &service)
{
    net::co_spawn(
            this->dependencies.context,
            [this, service]() -> net::awaitable<void> {
                const std::vector<std::string> excluded;
                const auto peer =
                        co_await this->dependencies.relayPeers.choose(service, 0, excluded);
                if (!peer || !this->dependencies.contacts.isUnreached(service))
                    co_return;
                const auto names = this->dependencies.activeCalls.waitingForService(service);
                for (const RequestName &name : names)
                    this->dependencies.dispatch.refuseWaiting(name, ErrorCode::NoBackendServer,
                                                              refusedRetryAfter);
            },
            net::detached);
}

/** Sends calls again to the servers of a service that could not be reached for a time. */
void GatewayService::endAvoidance(const std::string &service, Milliseconds since)
{
    for (const BackendServerName &server : this->dependencies.servers.usableServers(service))
        this->dependencies.reachability.endAvoidance(server, since - noticeTime);
}

/** Returns the terms on which this host takes calls of peers; none while it stops or is full. */
std::optional<RelayOffer> GatewayService::relayOffer() const
{
    const std::size_t limit = this->relayOptions.maximumConnections / 4 * 3;
    const auto configuration = this->dependencies.serving.current();
    if (this->relayAddress.empty() || !configuration || this->dependencies.serving.isDraining()
        || this->relayServer.openConnections() >= limit)
        return std::nullopt;
    return RelayOffer{this->relayAddress, configuration->version};
}

/** Records and formats the response to a request that could not be read. */
HttpResponse GatewayService::refuseUnread(const Error &error) const
{
    logEvent(LogEvent::CallRefused, "request", "", "reason", toString(error.code), "run_state",
             toString(error.runState), "detail", error.detail);
    recordRefusal(this->dependencies.entry.metrics, error.code, error.runState);
    return this->dependencies.codec.formatError(error);
}

bool GatewayService::listen(const Endpoint &endpoint, std::size_t maximumConnections, Error &reason)
{
    this->serverOptions.maximumConnections = maximumConnections;
    this->serverOptions.writeTimeout = callerWriteTimeout;
    this->serverOptions.maximumTotalBodyBytes =
            HttpServerOptions().maximumTotalBodyBytes - relayedBodyBytes;
    this->server.setOptions(this->serverOptions);
    return this->server.listen(endpoint, reason).has_value();
}

bool GatewayService::listenForPeers(const Endpoint &endpoint, std::size_t maximumConnections,
                                    Error &reason)
{
    this->relayOptions.maximumConnections = maximumConnections;
    this->relayOptions.writeTimeout = callerWriteTimeout;
    this->relayOptions.maximumTotalBodyBytes = relayedBodyBytes;
    this->relayServer.setOptions(this->relayOptions);
    const auto bound = this->relayServer.listen(endpoint, reason);
    if (bound)
        this->relayAddress = bound->toString();
    return bound.has_value();
}

void GatewayService::drain()
{
    this->server.closeAfterResponses();
    this->relayServer.closeAfterResponses();
    const ActiveCalls &calls = this->dependencies.activeCalls;
    this->refuseWaiting(calls.waitingBeyondStop(this->dependencies.serving));
}

void GatewayService::closeIdle()
{
    for (HttpServer *listening : {&this->server, &this->relayServer}) {
        listening->stopAccepting();
        listening->closeIdleConnections();
    }
}

std::size_t GatewayService::openConnections() const
{
    return this->server.openConnections() + this->relayServer.openConnections();
}

std::size_t GatewayService::endCalls(Milliseconds now)
{
    ActiveCalls &calls = this->dependencies.activeCalls;
    this->refuseWaiting(calls.waiting());
    calls.endExchanges(now);
    return calls.size();
}

void GatewayService::refuseWaiting(std::span<const RequestName> names)
{
    for (const RequestName &name : names)
        this->dependencies.dispatch.refuseWaiting(name, ErrorCode::HostDraining,
                                                  stoppingRetryAfter);
}

net::awaitable<void> GatewayService::handle(const HttpRequest &request, HttpResponder &responder,
                                            bool isRelayed)
{
    const ActiveRequest active(this->dependencies.entry);
    Error reason;
    auto call = this->route(request, reason);
    if (!call) {
        logEvent(LogEvent::CallRefused, "request", "", "path", std::string(request.path()),
                 "reason", toString(reason.code), "run_state", toString(reason.runState), "detail",
                 reason.detail);
        recordRefusal(this->dependencies.entry.metrics, reason.code, reason.runState);
        co_await responder.send(this->dependencies.codec.formatError(reason));
        co_return;
    }
    call->isRelayed = isRelayed;
    const ActiveCalls::Listing listing(this->dependencies.activeCalls, *call);
    // The host that relayed the call has counted it.
    if (!isRelayed)
        this->dependencies.budget.recordRequest(call->service->name, call->receivedAt);
    // A non-idempotent call continues without its caller so that its outcome becomes known.
    if (call->route->kind != CallKind::NonIdempotent) {
        RoutedCall &activeCall = *call;
        responder.setCallerGoneHook([&activeCall] {
            activeCall.isCallerGone = true;
            activeCall.cancelAll();
        });
    }
    co_await this->run(*call, responder);
}

net::awaitable<void> GatewayService::run(RoutedCall &call, HttpResponder &responder)
{
    const bool isRelayed = co_await this->relay(call, responder);
    if (isRelayed)
        co_return;
    if (call.route->kind != CallKind::Stream) {
        co_await this->runWhole(call, responder);
        co_return;
    }
    EventRelay relay(this->dependencies, call, responder);
    co_await relay.run();
}

/** Relays a call of an unreached service. @return whether it has ended. */
net::awaitable<bool> GatewayService::relay(RoutedCall &call, HttpResponder &responder)
{
    PeerRelay peerRelay(this->dependencies, call, responder);
    co_return co_await peerRelay.run();
}

/** Runs a call whose response is passed on as a whole. */
net::awaitable<void> GatewayService::runWhole(RoutedCall &call, HttpResponder &responder)
{
    CallRelay relay(this->dependencies, call);
    auto answer = co_await relay.run();
    if (!answer) {
        PeerRelay peerRelay(this->dependencies, call, responder);
        const bool isRelayed = co_await peerRelay.runAfter(relay.attempts(), relay.lastFailure());
        if (isRelayed)
            co_return;
    }
    HttpResponse response = answer ? std::move(*answer) : relay.refuse();
    if (!answer)
        stateAttempts(call, response);
    const int status = response.status;
    if (call.isCallerGone)
        responder.abort();
    else
        co_await responder.send(std::move(response));
    const Milliseconds elapsed = this->dependencies.clock.now() - call.receivedAt;
    recordCall(this->dependencies.entry.metrics, call.route->kind,
               call.isCallerGone ? "caller_gone" : statusClass(status), elapsed);
    logEvent(LogEvent::CallAnswered, "request", call.metadata.requestId, "route", call.route->name,
             "version", std::to_string(call.configuration->version), "status",
             std::to_string(status), "elapsed_ms", std::to_string(elapsed.count()));
}

std::optional<RoutedCall> GatewayService::route(const HttpRequest &request, Error &reason)
{
    const Milliseconds now = this->dependencies.clock.now();
    RoutedCall call(request);
    call.receivedAt = now;
    call.configuration = this->dependencies.serving.current();
    if (!call.configuration || !this->dependencies.serving.areServersKnown()) {
        reason = {ErrorCode::PlatformUnavailable, RunState::NotRun,
                  "this host has not read its configuration yet", unconfiguredRetryAfter};
        return std::nullopt;
    }
    const auto host = singleValue(request.headers, "Host");
    if (!host || !hasPlainFraming(request.headers)) {
        reason = invalidRequest(host ? "unsupported transfer coding"
                                     : "exactly one Host field is required");
        return std::nullopt;
    }
    call.route = call.configuration->routes.find(*host, request.path());
    if (call.route == nullptr) {
        reason = {ErrorCode::NotFound, RunState::NotRun, "no route matches this host and path", {}};
        if (!this->dependencies.serving.isConfigurationCurrent(now)) {
            reason = {ErrorCode::PlatformUnavailable, RunState::NotRun,
                      "no route matches and the configuration may be out of date", staleRetryAfter};
        }
        return std::nullopt;
    }
    auto metadata = this->dependencies.codec.decodeCall(request, reason);
    if (!metadata)
        return std::nullopt;
    call.metadata = std::move(*metadata);
    const std::string &service = chooseService(*call.route, this->random.unit());
    call.service = call.configuration->findService(service);
    if (call.service == nullptr) {
        reason = {ErrorCode::NoBackendServer, RunState::NotRun,
                  "the service " + service + " is not configured", staleRetryAfter};
        return std::nullopt;
    }
    if (!this->authenticate(call, now, reason))
        return std::nullopt;
    const Milliseconds callTimeout = call.metadata.callerTimeout.value_or(call.route->timeout);
    call.deadlineAt = now + std::min(callTimeout, call.route->timeout);
    this->describeWork(call);
    return call;
}

bool GatewayService::authenticate(RoutedCall &call, Milliseconds now, Error &reason) const
{
    if (call.route->isPublic || call.configuration->accounts.empty())
        return true;
    if (!this->dependencies.serving.areKeysTrusted(now)) {
        reason = {ErrorCode::PlatformUnavailable, RunState::NotRun,
                  "the keys were last confirmed too long ago", staleRetryAfter};
        return false;
    }
    const RoutedAccount *account =
            call.configuration->findByKeyDigest(sha256Hex(call.metadata.key));
    if (account == nullptr || call.metadata.key.empty()) {
        reason = {ErrorCode::UnknownKey, RunState::NotRun, "unknown bearer key", {}};
        if (!this->dependencies.serving.isConfigurationCurrent(now)) {
            reason = {ErrorCode::PlatformUnavailable, RunState::NotRun,
                      "the key is unknown and the configuration may be out of date",
                      staleRetryAfter};
        }
        return false;
    }
    call.work.account = account->name;
    call.work.priority = toPriority(account->rank.value_or(call.route->rank));
    return true;
}

void GatewayService::describeWork(RoutedCall &call)
{
    WorkRequest &work = call.work;
    if (call.work.account.isEmpty())
        work.priority = toPriority(call.route->rank);
    work.name = this->dependencies.dispatch.nextRequestName();
    work.model = ModelName(call.service->name);
    work.promptTokens = call.metadata.promptTokens;
    work.maximumTokens = call.metadata.maximumTokens;
    work.prefixDigest = call.metadata.prefixDigest;
    if (call.route->sharesPrompts)
        work.prefixes = call.metadata.prefixes;
    // Only streams tell when a server has begun its output.
    if (call.route->kind == CallKind::Stream) {
        for (const std::uint64_t part : call.metadata.sharedParts)
            work.promptParts.push_back(makePartDigest(part));
    }
    const bool isEngineStream = call.route->kind == CallKind::Stream && call.service->engine;
    work.needsMoves =
            isEngineStream && call.service->engine->supportsMoves && !call.route->isResumable;
    work.isIdempotent = call.route->kind == CallKind::Idempotent || call.route->isResumable;
    // The query is left out because a caller may change it when it repeats a call.
    work.requestDigest =
            makeRequestDigest(work.account.toString(), call.request.path(), call.request.body);
}

void GatewayService::applyLimits(const CallerLimits &limits)
{
    this->serverOptions.maximumHeaderBytes = limits.headerBytes;
    this->serverOptions.maximumBodyBytes = limits.bodyBytes;
    this->serverOptions.readTimeout = limits.readTimeout;
    this->serverOptions.idleTimeout = limits.idleTimeout;
    this->server.setOptions(this->serverOptions);
    this->relayOptions.maximumHeaderBytes = limits.headerBytes + relayHeaderBytes;
    this->relayOptions.maximumBodyBytes = limits.bodyBytes;
    this->relayOptions.readTimeout = limits.readTimeout;
    this->relayServer.setOptions(this->relayOptions);
}

} // namespace sassafrasyard
