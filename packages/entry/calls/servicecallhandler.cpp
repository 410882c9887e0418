#include "entry/calls/servicecallhandler.h"

#include "entry/calls/callbinding.h"
#include "entry/http/errorresponse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr int maximumAttempts = 3;
constexpr HttpTimeouts callTimeouts{Milliseconds(1000), Milliseconds(30000)};
/** Services report no status, so a failed one is tried again after this time. */
constexpr Milliseconds unreachableTime{1000};
/** A reachable host accepts or refuses a connection within one round trip. */
constexpr Milliseconds crashCheckTimeout{200};
constexpr std::size_t maximumKeyBytes = 200;
constexpr std::string_view pathPrefix = "/v1/services/";

Error invalidRequest(std::string detail)
{
    return {ErrorCode::InvalidRequest, RunState::NotRun, std::move(detail), {}};
}

std::uint64_t digestForCall(const ServiceCall &call)
{
    const std::string hex = sha256Hex(call.service + "\n" + call.path + "\n" + call.body);
    std::uint64_t value = 0;
    std::from_chars(hex.data(), hex.data() + 16, value, 16);
    return value;
}

std::optional<ServiceCall> parseCall(const HttpRequest &request, const ClientAccount &account,
                                     Error &reason)
{
    const std::string_view rest = std::string_view(request.target).substr(pathPrefix.size());
    const std::size_t slash = rest.find('/');
    ServiceCall call;
    call.account = account.limits.account;
    call.service = std::string(rest.substr(0, slash));
    call.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    call.key = findHeader(request.headers, "Idempotency-Key").value_or("");
    call.body = request.body;
    const auto &allowed = account.services;
    if (std::find(allowed.begin(), allowed.end(), call.service) == allowed.end()) {
        reason = {ErrorCode::Forbidden,
                  RunState::NotRun,
                  "the account may not call this service",
                  {}};
        return std::nullopt;
    }
    if (request.method != "GET" && request.method != "POST") {
        reason = invalidRequest("a service is called with GET (idempotent) or POST");
        return std::nullopt;
    }
    if (request.method == "POST" && (call.key.empty() || call.key.size() > maximumKeyBytes)) {
        reason = invalidRequest("a POST call needs an Idempotency-Key of 1 to 200 bytes");
        return std::nullopt;
    }
    if (request.method == "GET")
        call.key.clear();
    return call;
}

HttpResponse responseFor(LedgerDecision decision)
{
    switch (decision) {
    case LedgerDecision::InProgress:
        return errorResponse({ErrorCode::CallInProgress, RunState::OutcomeUnknown,
                              "an earlier attempt at the call is still running",
                              Milliseconds(1000)});
    case LedgerDecision::KeyReused:
        return errorResponse({ErrorCode::IdempotencyKeyReused,
                              RunState::NotRun,
                              "the idempotency key was used for another call",
                              {}});
    case LedgerDecision::Full:
        return errorResponse({ErrorCode::LedgerFull, RunState::NotRun,
                              "the call ledger of this host is full", Milliseconds(5000)});
    default:
        return errorResponse({ErrorCode::Timeout,
                              RunState::OutcomeUnknown,
                              "an earlier attempt may have run",
                              {}});
    }
}

/** Counts as a crash only if the service accepts no new connection; a link may have failed. */
net::awaitable<WorkOutcome> outcomeOfFailedAttempt(Endpoint endpoint, ErrorCode failure)
{
    if (failure == ErrorCode::Timeout)
        co_return WorkOutcome::Failed;
    Error reason;
    const net::any_io_executor executor = co_await net::this_coro::executor;
    HttpConnection connection(executor, endpoint);
    const bool isOpen = co_await connection.connect(crashCheckTimeout, reason);
    logEvent(LogEvent::ServerCrashChecked, "backend_server", endpoint.toString(), "outcome",
             std::string(isOpen ? "reachable" : "crashed"), "detail", reason.detail);
    co_return isOpen ? WorkOutcome::Failed : WorkOutcome::ServerLost;
}

HttpResponse hostDrainingResponse()
{
    return errorResponse({ErrorCode::HostDraining, RunState::NotRun,
                          "this host is stopping; read /v1/addresses and use another host",
                          Milliseconds(0)});
}

HttpResponse bindingExpiredResponse()
{
    return errorResponse({ErrorCode::HostIncarnationUnknown,
                          RunState::OutcomeUnknown,
                          "the call binding has expired; an earlier attempt may have run",
                          {}});
}

} // namespace

ServiceCallHandler::ServiceCallHandler(EntryState &state, DispatchService &dispatch,
                                       ActorRuntime &runtime, Forward forward)
    : entry(state)
    , dispatch(dispatch)
    , forward(std::move(forward))
    , ledger(runtime, CallLedgerOptions())
{
}

net::awaitable<void> ServiceCallHandler::handle(const HttpRequest &request,
                                                const ClientAccount &account,
                                                HttpResponder &responder)
{
    const ActiveRequest active(this->entry);
    Error reason;
    const auto call = parseCall(request, account, reason);
    if (!call) {
        co_await responder.send(errorResponse(reason));
        co_return;
    }
    HttpResponse response;
    if (call->key.empty() && this->entry.isDraining)
        response = hostDrainingResponse();
    else if (call->key.empty())
        response = co_await this->runIdempotent(*call);
    else
        response = co_await this->runOrForward(request, *call);
    co_await responder.send(std::move(response));
}

net::awaitable<HttpResponse> ServiceCallHandler::runIdempotent(ServiceCall call)
{
    Error reason;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        auto response = co_await this->attempt(call, attempt > 0, reason);
        if (response)
            co_return *response;
        if (reason.code != ErrorCode::ConnectionFailed && reason.code != ErrorCode::Timeout
            && reason.code != ErrorCode::BackendServerRefused) {
            break;
        }
    }
    co_return errorResponse(reason);
}

net::awaitable<HttpResponse> ServiceCallHandler::runOrForward(const HttpRequest &request,
                                                              ServiceCall call)
{
    const std::string text = findHeader(request.headers, "Sassafrasyard-Incarnation").value_or("");
    Error reason;
    const auto binding = parseCallBinding(text, this->entry.positions, reason);
    if (!binding)
        co_return errorResponse(reason);
    // Ledger entries outlive bindings, so a call whose entry was removed is not dispatched again.
    if (this->entry.systemClock.now() - binding->issuedAt > callBindingLifetime)
        co_return bindingExpiredResponse();
    if (binding->incarnation == this->entry.incarnation)
        co_return co_await this->runBound(std::move(call));
    this->entry.metrics.count("sassafrasyard_calls_forwarded_total");
    co_return co_await this->forward(binding->incarnation, call);
}

net::awaitable<HttpResponse> ServiceCallHandler::runBound(ServiceCall call)
{
    const CallKey key{call.account, call.key};
    const std::uint64_t digest = digestForCall(call);
    const Milliseconds now = this->entry.steadyClock.now();
    const bool isDraining = this->entry.isDraining;
    std::optional<CallAnswer> answer;
    bool isRefused = false;
    const auto begin = [&](CallLedger &calls) {
        isRefused = isDraining && !calls.contains(key);
        if (isRefused)
            return LedgerDecision::Full;
        const LedgerDecision ledgerDecision = calls.begin(key, digest, now);
        if (ledgerDecision == LedgerDecision::ReplayAnswer)
            answer = *calls.answer(key);
        return ledgerDecision;
    };
    const std::function<LedgerDecision(CallLedger &)> beginCall = begin;
    const LedgerDecision decision = co_await this->ledger.ask<LedgerDecision>(beginCall);
    if (isRefused)
        co_return hostDrainingResponse();
    if (decision == LedgerDecision::Dispatch)
        co_return co_await this->dispatchBound(call, key);
    this->entry.metrics.count("sassafrasyard_duplicate_calls_prevented_total");
    if (!answer)
        co_return responseFor(decision);
    HttpResponse response;
    response.status = answer->status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Sassafrasyard-Replayed", "true");
    response.body = answer->body;
    co_return response;
}

net::awaitable<HttpResponse> ServiceCallHandler::dispatchBound(const ServiceCall &call, CallKey key)
{
    Error reason;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        const auto response = co_await this->attempt(call, attempt > 0, reason);
        if (response) {
            const CallAnswer answer{response->status, response->body};
            this->ledger.post([key, answer, now = this->entry.steadyClock.now()](
                                      CallLedger &calls) { calls.complete(key, answer, now); });
            co_return *response;
        }
        // Only an attempt that certainly did not run may be retried.
        const bool mayTryAgain = reason.code == ErrorCode::ConnectionFailed
                || reason.code == ErrorCode::BackendServerRefused;
        if (reason.runState != RunState::NotRun || !mayTryAgain)
            break;
    }
    const bool isNotRun = reason.runState == RunState::NotRun;
    this->ledger.post([key, isNotRun, now = this->entry.steadyClock.now()](CallLedger &calls) {
        if (isNotRun)
            calls.recordNotRun(key);
        else
            calls.recordUnknown(key, now);
    });
    if (!isNotRun)
        logEvent(LogEvent::CallOutcomeUnknown, "key", key.key, "detail", reason.detail);
    else if (!reason.retryAfter)
        reason.retryAfter = Milliseconds(1000);
    co_return errorResponse(reason);
}

net::awaitable<std::optional<HttpResponse>> ServiceCallHandler::attempt(const ServiceCall &call,
                                                                        bool isRetry, Error &reason)
{
    WorkRequest work;
    work.name = this->dispatch.nextRequestName();
    work.account = call.account;
    work.model = ModelName(call.service);
    work.promptTokens = 1;
    work.maximumTokens = 1;
    work.requestDigest =
            makeRequestDigest(call.account.toString(), call.service + "\n" + call.path, call.body);
    work.priority = Priority::High;
    work.isIdempotent = call.key.empty();
    work.isRetry = isRetry;
    const auto grant = co_await this->dispatch.acquire(work, reason);
    if (!grant)
        co_return std::nullopt;
    const auto endpoint = parseEndpoint(grant->server.address, reason);
    HttpRequest message;
    message.method = call.key.empty() ? "GET" : "POST";
    message.target = call.path;
    message.headers.emplace_back("Sassafrasyard-Account", call.account.toString());
    if (!call.key.empty())
        message.headers.emplace_back("Idempotency-Key", call.key);
    message.body = call.body;
    std::optional<HttpResponse> response;
    if (endpoint)
        response = co_await sendHttpRequest(*endpoint, message, callTimeouts, reason);
    const bool isRefused = response && response->status == 409
            && findHeader(response->headers, "Not-Run").value_or("") == "true";
    WorkOutcome outcome = WorkOutcome::Completed;
    if (isRefused || (!response && reason.runState == RunState::NotRun))
        outcome = WorkOutcome::RefusedByServer;
    else if (!response && endpoint)
        outcome = co_await outcomeOfFailedAttempt(*endpoint, reason.code);
    else if (!response)
        outcome = WorkOutcome::Failed;
    this->dispatch.reportFinished(work.name, outcome);
    const bool isUnreachable = !response && reason.code == ErrorCode::ConnectionFailed;
    if (isRefused || isUnreachable) {
        const auto executor = co_await net::this_coro::executor;
        net::co_spawn(
                executor,
                [this, server = grant->server.name] {
                    return this->markUnreachableBriefly(server);
                },
                net::detached);
    }
    if (isRefused) {
        reason = {ErrorCode::BackendServerRefused,
                  RunState::NotRun,
                  "the service refused the call before running it",
                  {}};
        co_return std::nullopt;
    }
    if (response) {
        HttpResponse answer;
        answer.status = response->status;
        answer.headers.emplace_back(
                "Content-Type",
                findHeader(response->headers, "Content-Type").value_or("application/json"));
        answer.body = std::move(response->body);
        co_return answer;
    }
    co_return std::nullopt;
}

net::awaitable<void> ServiceCallHandler::markUnreachableBriefly(BackendServerName server)
{
    const auto mark = [this, server](bool isReachable) {
        this->dispatch.post([server, isReachable](Dispatcher &dispatcher, Milliseconds) {
            dispatcher.setReachable(server, isReachable);
        });
    };
    mark(false);
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(unreachableTime);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    mark(true);
}

} // namespace sassafrasyard
