#include "gateway/relay/peerrelay.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** To how many peers a call is sent at most. */
constexpr std::size_t maximumPeers = 3;
/** Hosts are at most some milliseconds apart. */
constexpr Milliseconds connectTimeout{200};
/** As for servers: a call that must not run twice uses only a connection that was used just now. */
constexpr Milliseconds nonIdempotentMaximumIdle{250};
constexpr Milliseconds idempotentMaximumIdle{1000};
/** The largest response that is buffered, in bytes; streams are forwarded in pieces. */
constexpr std::size_t maximumResponseBytes = 4U << 20U;
/** The retry time for a caller whose call the configuration of a peer does not allow yet. */
constexpr Milliseconds otherConfigurationRetryAfter{500};

constexpr int firstDeniedStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr int requestTimeoutStatus = 408;
constexpr int limitedStatus = 429;
constexpr int unavailableStatus = 503;

/** Returns whether a status of a host's own promises that the call has not run and won't. */
bool isNotRunStatus(int status)
{
    return status == requestTimeoutStatus || status == limitedStatus || status == unavailableStatus;
}

/**
 * Returns whether a status of a host's own states that its configuration or limits do not allow the
 * call.
 */
bool isDeniedStatus(int status)
{
    return status >= firstDeniedStatus && status < firstServerErrorStatus
            && !isNotRunStatus(status);
}

} // namespace

PeerRelay::PeerRelay(GatewayDependencies &dependencies, RoutedCall &call, HttpResponder &responder)
    : dependencies(dependencies)
    , call(call)
    , responder(responder)
{
}

PeerRelay::~PeerRelay()
{
    this->call.cancelHooks.erase(this);
    this->dependencies.answerMemory.releaseBytes(this->reservedBytes);
}

net::awaitable<bool> PeerRelay::run()
{
    if (!this->mayRelay())
        co_return false;
    this->call.cancelHooks[this] = [this] {
        this->cancel();
    };
    const bool hasEnded = co_await this->tryPeers();
    this->call.cancelHooks.erase(this);
    co_return hasEnded;
}

net::awaitable<bool> PeerRelay::runAfter(const AttemptHistory &attempts, const Error &failure)
{
    const bool lacksConnection = attempts.unsent > 0 || failure.code == ErrorCode::NoBackendServer;
    if (attempts.mayHaveRun > 0 || this->call.isRelayed)
        co_return false;
    if (lacksConnection)
        co_await this->dependencies.contacts.isReachedAfterCheck(this->call.service->name);
    if (!this->mayRelay())
        co_return false;
    const bool mayRetry = attempts.refused == 0
            || this->dependencies.budget.tryRetry(this->call.service->name,
                                                  this->dependencies.clock.now());
    if (!mayRetry)
        co_return false;
    co_return co_await this->run();
}

bool PeerRelay::mayRelay() const
{
    return !this->call.isRelayed && !this->call.hasResponseStarted && !this->call.isCallerGone
            && this->dependencies.contacts.isUnreached(this->call.service->name)
            && this->timeLeft() > Milliseconds(0)
            && this->dependencies.serving.endsBeforeStop(this->call.deadlineAt);
}

net::awaitable<bool> PeerRelay::tryPeers()
{
    std::vector<std::string> tried;
    bool mayContinue = true;
    while (mayContinue && this->mayRelay()) {
        const auto address = co_await this->dependencies.relayPeers.choose(
                this->call.service->name, this->call.configuration->version, tried);
        if (!address || !this->mayRelay())
            break;
        tried.push_back(*address);
        const Result result = co_await this->tryPeer(*address);
        if (result == Result::Ended)
            co_return true;
        if (result == Result::NotSent)
            this->dependencies.relayPeers.recordFailure(this->call.service->name, *address);
        mayContinue = tried.size() < maximumPeers && this->mayTryNextPeer(result);
    }
    // A service that can be reached again may take the call that the peers refused.
    if (!this->refusal || !this->dependencies.contacts.isUnreached(this->call.service->name))
        co_return false;
    co_await this->end(std::move(*this->refusal));
    co_return true;
}

/** Returns whether a call may be sent to another peer. */
bool PeerRelay::mayTryNextPeer(Result result)
{
    return result != Result::RefusedByServer
            || this->dependencies.budget.tryRetry(this->call.service->name,
                                                  this->dependencies.clock.now());
}

net::awaitable<PeerRelay::Result> PeerRelay::tryPeer(std::string address)
{
    this->peer = address;
    const bool isOpen = co_await this->connect(address);
    if (!isOpen || !this->mayRelay())
        co_return Result::NotSent;
    Error failure;
    auto response = co_await this->exchange(failure);
    if (response)
        co_return co_await this->forwardResponse(std::move(*response));
    if (failure.runState == RunState::NotRun)
        co_return Result::NotSent;
    if (!this->call.isCallerGone)
        this->dependencies.relayPeers.recordFailure(this->call.service->name, address);
    co_await this->sendError(std::move(failure));
    co_return Result::Ended;
}

/** Sends the call to the peer and reads the header of its response. */
net::awaitable<std::optional<HttpResponse>> PeerRelay::exchange(Error &failure)
{
    HttpRequest request = this->call.request;
    request.headers = this->dependencies.codec.encodeRelay(this->call.request, this->timeLeft());
    if (this->call.route->kind == CallKind::Stream)
        this->connection->setProbing(true);
    co_return co_await this->connection->exchange(request, this->timeLeft(), failure);
}

net::awaitable<bool> PeerRelay::connect(const std::string &address)
{
    Error reason;
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        co_return false;
    const Route &route = *this->call.route;
    const bool mayRunTwice = route.kind == CallKind::Idempotent || route.isResumable;
    this->connection = co_await this->dependencies.connections.acquire(
            *endpoint, mayRunTwice ? idempotentMaximumIdle : nonIdempotentMaximumIdle,
            connectTimeout, reason);
    co_return this->connection != nullptr;
}

/** Forwards a peer's response, unless it shows that another peer may take the call. */
net::awaitable<PeerRelay::Result> PeerRelay::forwardResponse(HttpResponse response)
{
    if (this->isRefusal(response)) {
        co_return co_await this->keepRefusal(std::move(response));
    }
    if (this->call.route->kind == CallKind::Stream)
        co_await this->forwardStream(std::move(response));
    else
        co_await this->forwardWhole(std::move(response));
    co_return Result::Ended;
}

/** Keeps the refusal of a peer for the caller, and returns the connection to the pool. */
net::awaitable<PeerRelay::Result> PeerRelay::keepRefusal(HttpResponse response)
{
    const std::string attempts = findHeader(response.headers, relayedAttemptsField).value_or("0");
    const Result result = attempts == "0" ? Result::Refused : Result::RefusedByServer;
    // Any other refusal concerns this call only.
    if (response.status == unavailableStatus)
        this->dependencies.relayPeers.recordFailure(this->call.service->name, this->peer);
    Error ignored;
    const auto body =
            co_await this->connection->readAll(maximumResponseBytes, this->timeLeft(), ignored);
    this->connection->setProbing(false);
    this->dependencies.connections.release(std::move(this->connection));
    if (isDeniedStatus(response.status)) {
        // The configuration of this host allows the call, so the peer's is another one.
        const Error differs{ErrorCode::PlatformUnavailable, RunState::NotRun,
                            "the configuration of the hosts differs", otherConfigurationRetryAfter};
        this->refusal = this->dependencies.codec.formatError(differs);
        co_return result;
    }
    response.headers = withoutHopFields(response.headers);
    std::erase_if(response.headers,
                  [](const auto &field) { return isSameField(field.first, relayedAttemptsField); });
    response.body = body.value_or(std::string());
    this->refusal = std::move(response);
    co_return result;
}

/** Returns whether a response is the peer's own and states that the call has not run. */
bool PeerRelay::isRefusal(const HttpResponse &response) const
{
    const ResponseMetadata metadata = this->dependencies.codec.decodeResponse(response);
    return !metadata.isSigned
            && (isNotRunStatus(response.status) || isDeniedStatus(response.status));
}

net::awaitable<void> PeerRelay::forwardStream(HttpResponse response)
{
    this->call.hasResponseStarted = true;
    const int status = response.status;
    bool isOpen = co_await this->responder.startStream(status, withoutHopFields(response.headers));
    Error reason;
    bool isComplete = false;
    while (isOpen && !isComplete) {
        const auto bytes = co_await this->connection->read(
                std::max(Milliseconds(1), this->timeLeft()), reason);
        isOpen = bytes.has_value();
        isComplete = isOpen && bytes->empty() && this->isFramed();
        isOpen = isComplete || (isOpen && !bytes->empty());
        if (isOpen && !isComplete)
            isOpen = co_await this->responder.write(*bytes);
    }
    if (isComplete) {
        co_await this->responder.finish();
        this->connection->setProbing(false);
        this->dependencies.connections.release(std::move(this->connection));
        this->finish("complete", status);
        co_return;
    }
    this->responder.abort();
    this->finish(this->call.isCallerGone ? "caller_gone" : "cut", status);
}

net::awaitable<void> PeerRelay::forwardWhole(HttpResponse response)
{
    const auto end = this->dependencies.clock.now() + this->timeLeft();
    Error failure;
    std::string body;
    while (true) {
        const Milliseconds left = std::max(Milliseconds(1), end - this->dependencies.clock.now());
        const auto bytes = co_await this->connection->read(left, failure);
        if (!bytes) {
            co_await this->sendError(std::move(failure));
            co_return;
        }
        if (bytes->empty() && !this->isFramed()) {
            failure = {ErrorCode::ProtocolViolation,
                       RunState::OutcomeUnknown,
                       "the response of the peer has neither a length nor chunks",
                       {}};
            co_await this->sendError(std::move(failure));
            co_return;
        }
        if (bytes->empty())
            break;
        if (body.size() + bytes->size() > maximumResponseBytes
            || !this->dependencies.answerMemory.tryReserve(bytes->size())) {
            this->connection->close();
            failure = {ErrorCode::ProtocolViolation,
                       RunState::OutcomeUnknown,
                       "the response exceeds the memory limit",
                       {}};
            co_await this->sendError(std::move(failure));
            co_return;
        }
        this->reservedBytes += bytes->size();
        body += *bytes;
    }
    this->dependencies.connections.release(std::move(this->connection));
    response.headers = withoutHopFields(response.headers);
    response.body = std::move(body);
    co_await this->end(std::move(response));
}

/**
 * Returns whether the body of the response has a length or chunks, as each response of a host has.
 * The close of a peer's connection shows no end, because the system closes it when the process
 * ends.
 */
bool PeerRelay::isFramed() const
{
    return this->connection->bodyFraming() != BodyFraming::Close;
}

/** Answers a call that may have run with an error. */
net::awaitable<void> PeerRelay::sendError(Error error)
{
    AttemptHistory history;
    history.record(AttemptOutcome::Unknown);
    error = finalError(history, std::move(error));
    recordRefusal(this->dependencies.entry.metrics, this->call, error);
    co_await this->end(this->dependencies.codec.formatError(error));
}

/** Sends the final response. */
net::awaitable<void> PeerRelay::end(HttpResponse response)
{
    const int status = response.status;
    if (this->call.isCallerGone)
        this->responder.abort();
    else
        co_await this->responder.send(std::move(response));
    this->finish(this->call.isCallerGone ? "caller_gone" : statusClass(status), status);
}

Milliseconds PeerRelay::timeLeft() const
{
    return this->call.timeLeft(this->dependencies.clock.now());
}

void PeerRelay::finish(std::string_view outcome, int status)
{
    const Milliseconds elapsed = this->dependencies.clock.now() - this->call.receivedAt;
    recordCall(this->dependencies.entry.metrics, this->call.route->kind, outcome, elapsed);
    this->dependencies.entry.metrics.count("sassafrasyard_relayed_calls_total",
                                           {{"outcome", std::string(outcome)}});
    logEvent(LogEvent::CallRelayed, "request", this->call.metadata.requestId, "route",
             this->call.route->name, "service", this->call.service->name, "peer", this->peer,
             "status", std::to_string(status), "outcome", std::string(outcome), "elapsed_ms",
             std::to_string(elapsed.count()));
}

void PeerRelay::cancel()
{
    if (this->connection)
        this->connection->close();
}

void stateAttempts(const RoutedCall &call, HttpResponse &refusal)
{
    if (call.isRelayed)
        refusal.headers.emplace_back(relayedAttemptsField, std::to_string(call.sentAttempts));
}

bool mayReachThroughPeer(const GatewayDependencies &dependencies, const RoutedCall &call)
{
    return !call.isRelayed && dependencies.contacts.isUnreached(call.service->name)
            && dependencies.relayPeers.hasPeer(call.service->name);
}

} // namespace sassafrasyard
