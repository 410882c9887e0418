#include "gateway/relay/backendattempt.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"

#include <algorithm>
#include <chrono>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The largest answer that is held in memory, in bytes; streams are passed on in pieces. */
constexpr std::size_t maximumAnswerBytes = 4U << 20U;
/** A connection takes a round trip, so a part of the target is ample; the bounds cover both ends.
 */
constexpr int connectShareOfTarget = 4;
constexpr Milliseconds shortestConnectTimeout{50};
constexpr Milliseconds longestConnectTimeout{400};
/** A server may drop an idle connection unseen, and what was sent then may or may not have run. */
constexpr Milliseconds freshConnectionIdle{250};
constexpr Milliseconds keptConnectionIdle{30000};
/** How many answers to earlier calls are skipped before the connection is given up. */
constexpr int maximumStrayAnswers = 3;
constexpr Milliseconds crashCheckTimeout{200};

Milliseconds connectTimeout(const Route &route)
{
    return std::clamp(route.targetLatency / connectShareOfTarget, shortestConnectTimeout,
                      longestConnectTimeout);
}

Milliseconds maximumIdle(const Route &route)
{
    const bool mayRunTwice = route.kind == CallKind::Idempotent
            || (route.kind == CallKind::Stream && route.isResumable);
    return mayRunTwice ? keptConnectionIdle : freshConnectionIdle;
}

AttemptOutcome outcomeOf(const Error &failure)
{
    return failure.runState == RunState::NotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown;
}

} // namespace

BackendAttempt::BackendAttempt(GatewayServices &services, RoutedCall &call)
    : services(services)
    , call(call)
{
}

BackendAttempt::~BackendAttempt()
{
    this->call.cancels.erase(this);
    this->services.answerMemory.giveBack(this->heldBytes);
}

net::awaitable<AttemptResult> BackendAttempt::start(std::string address, ForwardingOrder order,
                                                    Milliseconds timeout)
{
    AttemptResult result;
    const auto endpoint = parseEndpoint(address, result.failure);
    if (!endpoint)
        co_return result;
    this->server = order.server;
    this->endpoint = *endpoint;
    if (const ServerEntry *entry = this->services.servers.find(order.server))
        this->serverStartedAt = entry->startedAt;
    this->connection = co_await this->services.connections.acquire(
            *endpoint, maximumIdle(*this->call.route), connectTimeout(*this->call.route),
            result.failure);
    if (!this->connection) {
        this->services.reachability.recordFailure(order.server);
        co_return result;
    }
    if (this->call.isCallerGone) {
        result.failure = {ErrorCode::ConnectionFailed, RunState::NotRun, "the caller has left", {}};
        co_return result;
    }
    this->call.cancels[this] = [this] {
        this->cancel();
    };
    // A server may drop a kept connection while it is idle, so only a new one tells of the server.
    const bool isNew = !this->connection->hasReceivedResponse();
    result = co_await this->exchange(order, timeout);
    if (result.outcome != AttemptOutcome::Unknown || !this->isServerLoss(result.failure))
        co_return result;
    if (isNew)
        this->services.reachability.recordFailure(order.server);
    co_await this->checkForCrash();
    co_return result;
}

net::awaitable<AttemptResult> BackendAttempt::exchange(const ForwardingOrder &order,
                                                       Milliseconds timeout)
{
    HttpRequest forwarded;
    forwarded.method = this->call.request.method;
    forwarded.target = this->call.request.target;
    forwarded.headers = this->services.codec.encodeOrder(this->call.request, order);
    forwarded.body = this->call.request.body;
    AttemptResult result;
    auto response = co_await this->connection->exchange(forwarded, timeout, result.failure);
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto left = [end] {
        const auto rest = end - std::chrono::steady_clock::now();
        return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(rest));
    };
    for (int strays = 0; response; ++strays) {
        const ResponseMetadata metadata = this->services.codec.decodeResponse(*response);
        if (metadata.requestId.empty() || metadata.requestId == this->call.metadata.requestId)
            break;
        logEvent(LogEvent::CrossedAnswerDropped, "request", this->call.metadata.requestId,
                 "answer_to", metadata.requestId, "backend_server", order.server.toString());
        if (strays >= maximumStrayAnswers) {
            result.failure = {ErrorCode::ProtocolViolation,
                              RunState::OutcomeUnknown,
                              "too many answers to earlier calls",
                              {}};
            result.outcome = AttemptOutcome::Unknown;
            co_return result;
        }
        const auto skipped =
                co_await this->connection->readAll(maximumAnswerBytes, left(), result.failure);
        if (!skipped) {
            response.reset();
            result.failure.runState = RunState::OutcomeUnknown;
            break;
        }
        response = co_await this->connection->readHeader(left(), result.failure);
        if (!response)
            result.failure.runState = RunState::OutcomeUnknown;
    }
    if (!response) {
        result.outcome = outcomeOf(result.failure);
        co_return result;
    }
    co_return this->classify(std::move(*response), order.server);
}

AttemptResult BackendAttempt::classify(HttpResponse response, const BackendServerName &server)
{
    AttemptResult result;
    const ResponseMetadata metadata = this->services.codec.decodeResponse(response);
    this->services.reachability.recordSuccess(server);
    this->takeInStatements(metadata, server);
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
                          "the answer with status " + std::to_string(result.response.status)
                                  + " is not the backend server's own",
                          {}};
    } else {
        result.outcome = AttemptOutcome::Answered;
    }
    return result;
}

/** Takes in what an answer says of the server itself, whether or not the call ran. */
void BackendAttempt::takeInStatements(const ResponseMetadata &metadata,
                                      const BackendServerName &server)
{
    if (!metadata.unreadableField.empty())
        logEvent(LogEvent::ServerFieldUnreadable, "backend_server", server.toString(), "field",
                 metadata.unreadableField);
    // Then the address belongs to another server now, and the statements are that one's.
    if (metadata.isMisdirected)
        return;
    if (metadata.isLeaving)
        this->services.servers.recordAnnounced(server, this->serverStartedAt);
    if (metadata.retryAfter)
        this->services.reachability.recordPause(server, *metadata.retryAfter);
}

net::awaitable<std::optional<std::string_view>> BackendAttempt::read(Milliseconds timeout,
                                                                     Error &reason)
{
    const auto bytes = co_await this->connection->read(timeout, reason);
    const Milliseconds now = this->services.clock.now();
    if (bytes) {
        if (!this->firstBytesAt)
            this->firstBytesAt = now;
        co_return bytes;
    }
    const bool isSound =
            this->firstBytesAt && now - *this->firstBytesAt >= CrashQuarantine::soundRunTime;
    if (!isSound && this->isServerLoss(reason))
        co_await this->checkForCrash();
    co_return std::nullopt;
}

net::awaitable<std::optional<std::string>> BackendAttempt::readAll(Milliseconds timeout,
                                                                   Error &reason)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string body;
    while (true) {
        const auto left =
                std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        const auto bytes = co_await this->read(std::max(Milliseconds(1), left), reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return body;
        if (body.size() + bytes->size() > maximumAnswerBytes || !this->holdMemory(bytes->size())) {
            reason = {ErrorCode::ProtocolViolation,
                      RunState::OutcomeUnknown,
                      "the answer takes more memory than an answer may",
                      {}};
            this->cancel();
            co_return std::nullopt;
        }
        body += *bytes;
    }
}

bool BackendAttempt::holdMemory(std::size_t bytes)
{
    if (!this->services.answerMemory.tryTake(bytes))
        return false;
    this->heldBytes += bytes;
    return true;
}

void BackendAttempt::cancel()
{
    this->isCancelled = true;
    if (this->connection)
        this->connection->close();
}

void BackendAttempt::release()
{
    this->call.cancels.erase(this);
    this->services.connections.release(std::move(this->connection));
}

/** Returns whether a failure is the server's doing, not that of this host or of the caller. */
bool BackendAttempt::isServerLoss(const Error &failure) const
{
    return failure.code == ErrorCode::ConnectionFailed && !this->isCancelled
            && !this->call.isCallerGone;
}

/**
 * Blames the call if its server has crashed: no new connection can be opened either.
 *
 * The call waits for it, so that whatever it is sent to next knows of the crash.
 */
net::awaitable<void> BackendAttempt::checkForCrash()
{
    Error reason;
    const net::any_io_executor executor = this->services.context.get_executor();
    HttpConnection probe(executor, *this->endpoint);
    const bool isOpen = co_await probe.connect(crashCheckTimeout, reason);
    const bool hasCrashed = !isOpen && this->services.servers.isUsable(this->server);
    const std::string outcome = hasCrashed ? "crashed" : (isOpen ? "reachable" : "leaving");
    logEvent(LogEvent::ServerCrashChecked, "request", this->call.metadata.requestId,
             "backend_server", this->server.toString(), "outcome", outcome, "digest",
             digestText(this->call.work.requestDigest), "detail", reason.detail);
    this->services.entry.metrics.count("sassafrasyard_crash_checks_total", {{"outcome", outcome}});
    if (!hasCrashed)
        co_return;
    this->services.reachability.recordFailure(this->server);
    this->services.dispatch.post([digest = this->call.work.requestDigest, run = this->serverRun()](
                                         Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.recordDeath(digest, run, now);
    });
}

/** A server that starts again may keep its name, and each of its runs can crash once. */
BackendServerName BackendAttempt::serverRun() const
{
    return BackendServerName(this->server.toString() + "/" + std::to_string(this->serverStartedAt));
}

} // namespace sassafrasyard
