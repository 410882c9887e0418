#include "gateway/relay/backendattempt.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The largest response that is buffered, in bytes; streams are forwarded in pieces. */
constexpr std::size_t maximumAnswerBytes = 4U << 20U;
/**
 * A connection takes one round trip, so a fraction of the target latency is enough; the bounds
 * below apply to very short and very long targets.
 */
constexpr int connectTimeoutDivisor = 4;
constexpr Milliseconds minimumConnectTimeout{50};
constexpr Milliseconds maximumConnectTimeout{400};
/**
 * A server may close an idle connection unnoticed, which leaves it unknown whether a call sent then
 * has run. Non-idempotent calls therefore use only recently active connections.
 */
constexpr Milliseconds nonIdempotentMaximumIdle{250};
constexpr Milliseconds idempotentMaximumIdle{30000};
/** How many responses to earlier calls are skipped before the connection is closed. */
constexpr int maximumSkippedAnswers = 3;
/** The largest body of a response to an earlier call that is skipped; it is not held. */
constexpr std::size_t maximumSkippedBytes = maximumAnswerBytes;
constexpr Milliseconds crashCheckTimeout{200};
constexpr int unavailableStatus = 503;

Milliseconds connectTimeout(const Route &route)
{
    return std::clamp(route.targetLatency / connectTimeoutDivisor, minimumConnectTimeout,
                      maximumConnectTimeout);
}

Milliseconds maximumIdleTime(const Route &route)
{
    const bool mayRunTwice = route.kind == CallKind::Idempotent
            || (route.kind == CallKind::Stream && route.isResumable);
    return mayRunTwice ? idempotentMaximumIdle : nonIdempotentMaximumIdle;
}

/**
 * Reads the rest of a body without holding it, until a time. Fails with ProtocolViolation if it is
 * larger than maximumSkippedBytes. The connection is closed on failure.
 */
net::awaitable<bool> discardBody(HttpConnection &connection,
                                 std::chrono::steady_clock::time_point end, Error &reason)
{
    std::size_t discarded = 0;
    while (discarded <= maximumSkippedBytes) {
        const auto left =
                std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= Milliseconds(0)) {
            reason = {ErrorCode::Timeout,
                      RunState::OutcomeUnknown,
                      "no response before the end of a skipped one",
                      {}};
            connection.close();
            co_return false;
        }
        const auto bytes = co_await connection.read(left, reason);
        if (!bytes)
            co_return false;
        if (bytes->empty())
            co_return true;
        discarded += bytes->size();
    }
    reason = {ErrorCode::ProtocolViolation,
              RunState::OutcomeUnknown,
              "a response to an earlier call is too large to be skipped",
              {}};
    connection.close();
    co_return false;
}

AttemptOutcome toOutcome(const Error &failure)
{
    return failure.runState == RunState::NotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown;
}

} // namespace

BackendAttempt::BackendAttempt(GatewayDependencies &dependencies, RoutedCall &call)
    : dependencies(dependencies)
    , call(call)
{
}

BackendAttempt::~BackendAttempt()
{
    this->call.cancelHooks.erase(this);
    this->dependencies.answerMemory.releaseBytes(this->reservedBytes);
    this->releasePlace();
}

net::awaitable<AttemptResult> BackendAttempt::start(std::string address, ForwardingOrder order,
                                                    Milliseconds timeout)
{
    AttemptResult result = co_await this->send(std::move(address), std::move(order), timeout);
    // A caller may hold this object while it waits for another server.
    if (result.outcome == AttemptOutcome::NotSent
        || result.outcome == AttemptOutcome::RefusedBeforeRun)
        this->releasePlace();
    co_return result;
}

net::awaitable<AttemptResult> BackendAttempt::send(std::string address, ForwardingOrder order,
                                                   Milliseconds timeout)
{
    AttemptResult result;
    const auto endpoint = parseEndpoint(address, result.failure);
    if (!endpoint)
        co_return result;
    this->server = order.server;
    this->endpoint = *endpoint;
    if (const ServerEntry *entry = this->dependencies.servers.find(order.server))
        this->serverStartedAt = entry->startedAt;
    const CallPermit permit = co_await this->dependencies.limiter.acquire(
            order.server, this->serverRunName(), this->kindOf(order),
            this->call.timeLeft(this->dependencies.clock.now()));
    if (!permit.isGranted) {
        result.failure = {ErrorCode::Overloaded, RunState::NotRun,
                          "the backend server has no room under its call limit", permit.pause};
        co_return result;
    }
    const ServerEntry *placed = this->dependencies.servers.find(order.server);
    const CallPermit place = co_await this->dependencies.limiter.acquirePlace(
            this->call.service->name, order.server, this->serverRunName(),
            placed == nullptr ? 1 : placed->slots, this->kindOf(order));
    if (!place.isGranted) {
        result.failure = {ErrorCode::Overloaded, RunState::NotRun,
                          "the brittle backend server has no free place", place.pause};
        co_return result;
    }
    this->holdsPlace = true;
    this->connection = co_await this->dependencies.connections.acquire(
            *endpoint, maximumIdleTime(*this->call.route), connectTimeout(*this->call.route),
            result.failure);
    if (!this->connection) {
        this->dependencies.reachability.recordFailure(order.server);
        this->dependencies.contacts.recordFailedConnection(this->call.service->name);
        co_return result;
    }
    if (!this->connection->hasReceivedResponse())
        this->dependencies.contacts.recordAccepted(this->call.service->name);
    const bool isOver = this->call.timeLeft(this->dependencies.clock.now()) <= Milliseconds(0);
    if (this->call.isCallerGone || isOver) {
        result.failure = {ErrorCode::ConnectionFailed,
                          RunState::NotRun,
                          isOver ? "the call ended before it was sent"
                                 : "the caller closed its connection",
                          {}};
        co_return result;
    }
    if (this->isCancelled) {
        result.failure = {ErrorCode::ConnectionFailed,
                          RunState::NotRun,
                          "the attempt was cancelled before it was sent",
                          {}};
        co_return result;
    }
    // The planned stop may have begun while the call waited for its permit and its connection.
    if (!this->call.hasResponseStarted
        && !this->dependencies.serving.endsBeforeStop(this->call.deadlineAt)) {
        this->dependencies.connections.release(std::move(this->connection));
        result.failure = {ErrorCode::HostDraining,
                          RunState::NotRun,
                          "this host is stopping and could not finish the call",
                          {}};
        co_return result;
    }
    // The entry may have changed while the call waited for its permit and its connection.
    if (!this->isPermitted(order, address)) {
        this->dependencies.connections.release(std::move(this->connection));
        result.failure = {ErrorCode::BackendServerRefused, RunState::NotRun,
                          this->isEvacuated(order)
                                  ? "the failure domain of the backend server is evacuated"
                                  : "the backend server is not known to be of the stream's "
                                    "software version",
                          std::nullopt};
        co_return result;
    }
    if (const ServerEntry *entry = this->dependencies.servers.find(order.server))
        this->sentToVersion = entry->softwareVersion;
    this->call.cancelHooks[this] = [this] {
        this->cancel();
    };
    if (this->call.route->kind == CallKind::Stream)
        this->connection->setProbing(true);
    // A server may close an idle persistent connection, so only a failure on a new connection
    // indicates that the server is down.
    const bool isNew = !this->connection->hasReceivedResponse();
    result = co_await this->exchange(order, timeout);
    if (result.outcome != AttemptOutcome::Unknown || !this->isServerFailure(result.failure))
        co_return result;
    if (isNew)
        this->dependencies.reachability.recordFailure(order.server);
    co_await this->checkForCrash();
    co_return result;
}

net::awaitable<AttemptResult> BackendAttempt::exchange(const ForwardingOrder &order,
                                                       Milliseconds timeout)
{
    HttpRequest forwarded;
    forwarded.method = this->call.request.method;
    forwarded.target = this->call.request.target;
    forwarded.headers = this->dependencies.codec.encodeOrder(this->call.request, order);
    forwarded.body = this->call.request.body;
    AttemptResult result;
    // A late copy of an earlier response may stand where the response to this call is expected.
    const bool isReused = this->connection->hasReceivedResponse();
    this->recordSending(order);
    auto response = co_await this->connection->exchange(forwarded, timeout, result.failure);
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto timeLeft = [end] {
        const auto rest = end - std::chrono::steady_clock::now();
        return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(rest));
    };
    for (int skippedAnswers = 0; response; ++skippedAnswers) {
        const ResponseMetadata metadata = this->dependencies.codec.decodeResponse(*response);
        if (metadata.requestId == this->call.metadata.requestId
            || (metadata.requestId.empty() && !isReused))
            break;
        if (metadata.requestId.empty()) {
            result.failure = {ErrorCode::ProtocolViolation,
                              RunState::OutcomeUnknown,
                              "a response on a kept connection does not say which call it is for",
                              {}};
            result.outcome = AttemptOutcome::Unknown;
            co_return result;
        }
        logEvent(LogEvent::CrossedAnswerDropped, "request", this->call.metadata.requestId,
                 "answer_to", metadata.requestId, "backend_server", order.server.toString());
        if (skippedAnswers >= maximumSkippedAnswers) {
            result.failure = {ErrorCode::ProtocolViolation,
                              RunState::OutcomeUnknown,
                              "too many responses to earlier calls",
                              {}};
            result.outcome = AttemptOutcome::Unknown;
            co_return result;
        }
        const bool isSkipped = co_await discardBody(*this->connection, end, result.failure);
        if (!isSkipped) {
            response.reset();
            result.failure.runState = RunState::OutcomeUnknown;
            break;
        }
        response = co_await this->connection->readHeader(timeLeft(), result.failure);
        if (!response)
            result.failure.runState = RunState::OutcomeUnknown;
    }
    if (!response) {
        result.outcome = toOutcome(result.failure);
        co_return result;
    }
    this->framing = this->connection->bodyFraming();
    co_return this->classify(std::move(*response), order.server);
}

/** Returns whether the call may be sent, according to the current entry of the server. */
bool BackendAttempt::isPermitted(const ForwardingOrder &order, const std::string &address) const
{
    if (this->isEvacuated(order))
        return false;
    if (this->call.route->kind != CallKind::Stream)
        return true;
    // The version of the entry is taken for that of the run, so it must be the one addressed.
    const ServerEntry *entry = this->dependencies.servers.find(order.server);
    if (entry == nullptr || entry->address != address)
        return false;
    if (order.isReturn)
        return order.softwareVersion && entry->softwareVersion == *order.softwareVersion;
    const bool isContinuation = order.lastEvent || order.source || this->call.work.softwareVersion;
    return !isContinuation
            || (order.softwareVersion
                && this->dependencies.servers.canContinue(order.server, *order.softwareVersion));
}

/**
 * Returns whether the failure domain of the server is evacuated. A run that was stopped there may
 * return for a short time.
 */
bool BackendAttempt::isEvacuated(const ForwardingOrder &order) const
{
    if (!this->dependencies.servers.isEvacuated(order.server))
        return false;
    const auto limit = this->dependencies.servers.returnableUntil(order.server);
    return !order.isReturn || !limit || this->dependencies.clock.now() >= *limit;
}

AttemptKind BackendAttempt::kindOf(const ForwardingOrder &order) const
{
    if (order.source)
        return AttemptKind::Continued;
    return this->call.sentAttempts > 0 ? AttemptKind::Repeated : AttemptKind::First;
}

void BackendAttempt::recordSending(const ForwardingOrder &order)
{
    this->sentAt = this->dependencies.clock.now();
    this->dependencies.limiter.recordCall(this->serverRunName(), this->kindOf(order));
    this->dependencies.contacts.recordSent(this->call.service->name);
    ++this->call.sentAttempts;
}

AttemptResult BackendAttempt::classify(HttpResponse response, const BackendServerName &server)
{
    AttemptResult result;
    const ResponseMetadata metadata = this->dependencies.codec.decodeResponse(response);
    this->dependencies.reachability.recordSuccess(server);
    this->dependencies.contacts.recordReceived(this->call.service->name);
    this->applyServerStatements(metadata, server);
    const bool isFull = metadata.hasNotRun && response.status == unavailableStatus;
    if (!metadata.isMisdirected && (metadata.rejectionLimit || metadata.isSigned)) {
        this->dependencies.limiter.brittleServers().recordResponse(
                this->call.service->name, this->serverRunName(), metadata.rejectionLimit, isFull,
                this->sentAt);
    }
    result.response = std::move(response);
    if (metadata.hasNotRun) {
        result.outcome = AttemptOutcome::RefusedBeforeRun;
        result.failure = {ErrorCode::BackendServerRefused,
                          RunState::NotRun,
                          "the backend server refused with status "
                                  + std::to_string(result.response.status),
                          {}};
    } else if (!metadata.isSigned || metadata.isEncoded) {
        result.outcome = AttemptOutcome::Unknown;
        result.failure = {ErrorCode::ProtocolViolation,
                          RunState::OutcomeUnknown,
                          "the response with status " + std::to_string(result.response.status)
                                  + " does not come from the backend server",
                          {}};
    } else {
        result.outcome = AttemptOutcome::Answered;
    }
    return result;
}

/** Applies what a response states about the server itself, whether or not the call ran. */
void BackendAttempt::applyServerStatements(const ResponseMetadata &metadata,
                                           const BackendServerName &server)
{
    if (!metadata.unreadableField.empty())
        logEvent(LogEvent::ServerFieldUnreadable, "backend_server", server.toString(), "field",
                 metadata.unreadableField);
    // The address belongs to another server now, so the statements are not about this one.
    if (metadata.isMisdirected)
        return;
    if (metadata.isLeaving)
        this->dependencies.servers.recordLeavingAnnouncement(server, this->serverStartedAt);
    // Only a response that is certainly the server's shows that it no longer states a limit.
    if (metadata.callLimit || metadata.isSigned) {
        this->dependencies.limiter.recordResponse(this->serverRunName(), metadata.callLimit,
                                                  this->sentAt);
    }
    if (metadata.retryAfter)
        this->dependencies.reachability.recordPause(server, *metadata.retryAfter);
}

net::awaitable<std::optional<std::string_view>> BackendAttempt::read(Milliseconds timeout,
                                                                     Error &reason)
{
    const auto bytes = co_await this->connection->read(timeout, reason);
    if (bytes) {
        this->dependencies.contacts.recordReceived(this->call.service->name);
        if (!this->firstBytesAt)
            this->firstBytesAt = this->dependencies.clock.now();
        co_return bytes;
    }
    if (!this->hasRunLongEnough() && this->isServerFailure(reason))
        co_await this->checkForCrash();
    co_return std::nullopt;
}

net::awaitable<void> BackendAttempt::recordBreakOff()
{
    if (!this->hasRunLongEnough())
        co_await this->checkForCrash();
}

/** Returns whether the call has run for so long that it is not the cause if its server ends. */
bool BackendAttempt::hasRunLongEnough() const
{
    const Milliseconds now = this->dependencies.clock.now();
    return this->firstBytesAt && now - *this->firstBytesAt >= CrashQuarantine::crashFreeRunTime;
}

net::awaitable<std::optional<std::string>> BackendAttempt::readAll(Milliseconds timeout,
                                                                   Error &reason)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string body;
    while (true) {
        const auto timeLeft =
                std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        const auto bytes = co_await this->read(std::max(Milliseconds(1), timeLeft), reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return body;
        if (body.size() + bytes->size() > maximumAnswerBytes
            || !this->reserveMemory(bytes->size())) {
            reason = {ErrorCode::ProtocolViolation,
                      RunState::OutcomeUnknown,
                      "the response exceeds the memory limit",
                      {}};
            this->cancel();
            co_return std::nullopt;
        }
        body += *bytes;
    }
}

bool BackendAttempt::reserveMemory(std::size_t bytes)
{
    if (!this->dependencies.answerMemory.tryReserve(bytes))
        return false;
    this->reservedBytes += bytes;
    return true;
}

std::optional<BodyFraming> BackendAttempt::bodyFraming() const
{
    return this->framing;
}

const std::optional<SoftwareVersion> &BackendAttempt::softwareVersion() const
{
    return this->sentToVersion;
}

ServerProcess BackendAttempt::serverProcess() const
{
    return {this->endpoint ? this->endpoint->toString() : std::string(), this->serverStartedAt};
}

bool BackendAttempt::interruptRead()
{
    return this->connection && this->connection->interruptRead();
}

void BackendAttempt::watchBytes(std::function<void()> hook)
{
    if (this->connection)
        this->connection->watchBytes(std::move(hook));
}

std::optional<std::string_view> BackendAttempt::readAvailable()
{
    return this->connection->readAvailable();
}

void BackendAttempt::cancel()
{
    this->isCancelled = true;
    if (this->connection)
        this->connection->close();
    this->releasePlace();
}

/** Gives the place at a brittle server back, if one is held. */
void BackendAttempt::releasePlace()
{
    if (std::exchange(this->holdsPlace, false))
        this->dependencies.limiter.brittleServers().release(this->call.service->name,
                                                            this->serverRunName());
}

bool BackendAttempt::wasCancelled() const
{
    return this->isCancelled;
}

void BackendAttempt::release()
{
    this->call.cancelHooks.erase(this);
    if (this->connection)
        this->connection->setProbing(false);
    this->dependencies.connections.release(std::move(this->connection));
    this->releasePlace();
}

/** Returns whether the server, not this host or the caller, caused a failure. */
bool BackendAttempt::isServerFailure(const Error &failure) const
{
    return failure.code == ErrorCode::ConnectionFailed && !this->isCancelled
            && !this->call.isCallerGone;
}

/**
 * Reports the call as the cause of a crash if its server refuses new connections. One that does not
 * answer in time may be busy or stand still, which shows nothing about the call.
 *
 * The call waits for the result, so that the crash is recorded before it is sent to another server.
 */
net::awaitable<void> BackendAttempt::checkForCrash()
{
    Error reason;
    const net::any_io_executor executor = this->dependencies.context.get_executor();
    HttpConnection probe(executor, *this->endpoint);
    const bool isOpen = co_await probe.connect(crashCheckTimeout, reason);
    const bool isUsable = this->dependencies.servers.isUsable(this->server);
    const bool isRefused = probe.connectFailure() == ConnectFailure::Refused;
    const bool hasCrashed = isRefused && isUsable;
    std::string outcome = isOpen ? "reachable" : "unanswered";
    if (hasCrashed)
        outcome = "crashed";
    else if (!isOpen && !isUsable)
        outcome = "leaving";
    logEvent(LogEvent::ServerCrashChecked, "request", this->call.metadata.requestId,
             "backend_server", this->server.toString(), "outcome", outcome, "digest",
             digestText(this->call.work.requestDigest), "parts",
             digestListText(this->call.work.promptParts), "detail", reason.detail);
    this->dependencies.entry.metrics.count("sassafrasyard_crash_checks_total",
                                           {{"outcome", outcome}});
    if (!isOpen && isUsable)
        this->dependencies.reachability.recordFailure(this->server);
    if (isOpen)
        this->dependencies.contacts.recordAccepted(this->call.service->name);
    else if (isUsable)
        this->dependencies.contacts.recordFailedConnection(this->call.service->name);
    if (!hasCrashed)
        co_return;
    this->dependencies.dispatch.post(
            [digest = this->call.work.requestDigest, parts = this->call.work.promptParts,
             run = this->serverRunName()](Dispatcher &dispatcher, Milliseconds now) {
                dispatcher.recordDeath(digest, parts, run, now);
            });
}

/**
 * Identifies one process of the server, because a restarted server may keep its name and each
 * process can crash once.
 */
BackendServerName BackendAttempt::serverRunName() const
{
    return BackendServerName(this->server.toString() + "/" + std::to_string(this->serverStartedAt));
}

} // namespace sassafrasyard
