#include "entry/http/completionhandler.h"

#include "entry/http/errorresponse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr int maximumAttempts = 3;
constexpr HttpTimeouts startTimeouts{Milliseconds(1000), Milliseconds(30000)};
constexpr HttpTimeouts cancelTimeouts{Milliseconds(1000), Milliseconds(2000)};
/** How long the engine keeps a generation that no caller reads, so that it can be resumed. */
constexpr Milliseconds resumeGracePeriod{30000};
constexpr std::size_t prefixCharacters = 256;
constexpr std::size_t charactersPerToken = 4;
constexpr std::uint32_t maximumTokenLimit = 1000000;

Error invalidRequest(std::string detail)
{
    return {ErrorCode::InvalidRequest, RunState::NotRun, std::move(detail), {}};
}

std::uint64_t parseHexPrefix(std::string_view hex)
{
    std::uint64_t value = 0;
    std::from_chars(hex.data(), hex.data() + std::min<std::size_t>(hex.size(), 16), value, 16);
    return value;
}

std::optional<Priority> parsePriority(std::string_view text)
{
    if (text == "low")
        return Priority::Low;
    if (text == "normal")
        return Priority::Normal;
    if (text == "high")
        return Priority::High;
    return std::nullopt;
}

std::string tokenData(const DeliveredToken &token)
{
    const json text = token.text;
    std::string data = "{\"index\":" + std::to_string(token.position.index) + ",\"text\":";
    data += text.dump(-1, ' ', false, json::error_handler_t::replace);
    data.push_back('}');
    return data;
}

} // namespace

/** A parsed request and the state of its delivery. */
struct CompletionHandler::Completion
{
    GenerationRequest generation;
    WorkRequest work;
    PositionBinding binding;
    bool isStreamed = false;
    bool isDrainEventSent = false;
    std::string outputText;
};

CompletionHandler::CompletionHandler(EntryState &state, DispatchService &dispatch,
                                     BackendMonitor &monitor, net::io_context &context)
    : entry(state)
    , dispatch(dispatch)
    , monitor(monitor)
    , context(context)
{
}

net::awaitable<void> CompletionHandler::handle(const HttpRequest &request,
                                               const ClientAccount &account,
                                               HttpResponder &responder)
{
    Error reason;
    auto completion = this->parse(request, account, reason);
    if (!completion) {
        co_await responder.send(errorResponse(reason));
        co_return;
    }
    const ActiveRequest active(this->entry);
    const auto identifier = findHeader(request.headers, "Last-Event-ID");
    if (identifier)
        co_await this->resume(*completion, *identifier, responder);
    else
        co_await this->serve(*completion, responder);
}

std::optional<CompletionHandler::Completion> CompletionHandler::parse(const HttpRequest &request,
                                                                      const ClientAccount &account,
                                                                      Error &reason) const
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        reason = invalidRequest("the body is not a JSON object");
        return std::nullopt;
    }
    Completion completion;
    std::string priority;
    try {
        completion.generation.model = ModelName(body.at("model").get<std::string>());
        completion.generation.prompt = body.at("prompt").get<std::string>();
        completion.generation.maximumTokens = body.value("max_tokens", 0U);
        completion.generation.seed = body.value("seed", std::uint64_t{0});
        completion.isStreamed = body.value("stream", false);
        priority = body.value("priority", "normal");
    } catch (const json::exception &exception) {
        reason = invalidRequest(exception.what());
        return std::nullopt;
    }
    const auto parsedPriority = parsePriority(priority);
    if (!parsedPriority || completion.generation.maximumTokens > maximumTokenLimit) {
        reason = invalidRequest("priority must be low, normal or high; max_tokens at most 1000000");
        return std::nullopt;
    }
    const auto allowed =
            std::find_if(account.models.begin(), account.models.end(), [&](const auto &model) {
                return model.first == completion.generation.model;
            });
    if (allowed == account.models.end()) {
        reason = {ErrorCode::Forbidden, RunState::NotRun, "the account may not use this model", {}};
        return std::nullopt;
    }
    const std::string &prompt = completion.generation.prompt;
    completion.generation.version = allowed->second;
    completion.binding.account = account.limits.account;
    completion.binding.bodyDigest = sha256Hex(request.body);
    WorkRequest &work = completion.work;
    work.account = account.limits.account;
    work.model = completion.generation.model;
    work.version = completion.generation.version;
    work.promptTokens = static_cast<std::uint32_t>(prompt.size() / charactersPerToken + 1);
    work.maximumTokens = completion.generation.maximumTokens;
    work.prefixDigest =
            parseHexPrefix(sha256Hex(std::string_view(prompt).substr(0, prefixCharacters)));
    work.requestDigest = makeRequestDigest(work.account.toString(), "", request.body);
    work.priority = std::min(*parsedPriority, account.limits.highestPriority);
    return completion;
}

net::awaitable<void> CompletionHandler::serve(Completion &completion, HttpResponder &responder)
{
    Error last;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        completion.work.isRetry = attempt > 0;
        const auto failure = co_await this->attempt(completion, responder);
        if (!failure)
            co_return;
        const bool isRetryable = failure->code == ErrorCode::BackendServerLost
                || failure->code == ErrorCode::BackendServerRefused
                || (failure->code == ErrorCode::Timeout && !responder.isCallerGone())
                || failure->code == ErrorCode::ProtocolViolation;
        // If a retry is refused, the error must still report that an earlier attempt may have run.
        const bool mayHaveRun = attempt > 0 && last.runState == RunState::OutcomeUnknown;
        last = *failure;
        if (mayHaveRun)
            last.runState = RunState::OutcomeUnknown;
        if (!isRetryable)
            break;
        this->entry.metrics.count("sassafrasyard_retries_total");
        logEvent(LogEvent::RequestRetried, "request", completion.work.name.toString(), "detail",
                 last.detail);
    }
    if (!last.retryAfter)
        last.retryAfter = Milliseconds(1000);
    co_await responder.send(errorResponse(last));
}

net::awaitable<std::optional<Error>> CompletionHandler::attempt(Completion &completion,
                                                                HttpResponder &responder)
{
    completion.work.name = this->dispatch.nextRequestName();
    completion.outputText.clear();
    Error reason;
    auto grant = co_await this->dispatch.acquire(completion.work, reason);
    if (!grant)
        co_return reason;
    const RequestName name = completion.work.name;
    if (responder.isCallerGone()) {
        this->dispatch.reportFinished(name, WorkOutcome::Cancelled);
        co_return Error{ErrorCode::Timeout,
                        RunState::NotRun,
                        "the caller disconnected while the request was waiting",
                        {}};
    }
    const auto engine = parseEndpoint(grant->server.address, reason);
    completion.generation.request = name;
    completion.generation.version = this->versionFor(completion.work, grant->server.name);
    completion.generation.priority = grant->assignment.enginePriority;
    GenerationStream stream;
    stream.setIdleHook(this->makeDrainEventHook(completion, responder));
    bool isStarted = false;
    if (engine)
        isStarted = co_await stream.start(*engine, completion.generation, startTimeouts, reason);
    if (!isStarted) {
        const bool isRefused = reason.code == ErrorCode::BackendServerRefused;
        if (isRefused)
            this->monitor.recordRefusal(grant->server.name);
        else
            this->markUnreachable(grant->server.name);
        const WorkOutcome outcome = co_await this->outcomeOfFailedAttempt(grant->server, reason);
        this->dispatch.reportFinished(name, outcome);
        co_return reason;
    }
    StreamRelay relay(this->entry, this->dispatch, *grant, *engine);
    const StreamRelay::Deliver deliver = [&](const std::vector<DeliveredToken> &tokens) {
        return this->deliver(completion, tokens, responder);
    };
    const StreamRelay::IsCallerGone isCallerGone = [&] {
        return responder.isCallerGone();
    };
    const RelayResult result = co_await relay.run(stream, deliver, isCallerGone);
    stream.close();
    if (result.end != RelayEnd::Finished && !relay.generation().isEmpty())
        this->cancelLater(*engine, relay.generation());
    if (result.end == RelayEnd::ServerLost)
        this->markUnreachable(grant->server.name);
    WorkOutcome outcome = WorkOutcome::Completed;
    if (result.end == RelayEnd::CallerGone)
        outcome = WorkOutcome::Cancelled;
    else if (result.end == RelayEnd::ServerLost)
        outcome = co_await this->outcomeOfFailedAttempt(grant->server, result.reason);
    this->dispatch.reportFinished(name, outcome);
    if (result.end == RelayEnd::ServerLost && !responder.hasStarted())
        co_return result.reason;
    co_await this->endStream(completion, result, responder);
    co_return std::nullopt;
}

net::awaitable<void> CompletionHandler::resume(Completion &completion, std::string_view identifier,
                                               HttpResponder &responder)
{
    Error reason;
    const auto position = this->entry.positions.decode(identifier, completion.binding, reason);
    if (!position || !completion.isStreamed) {
        co_await responder.send(errorResponse(reason));
        co_return;
    }
    const auto configuration = this->entry.configuration.current();
    Grant grant;
    grant.assignment.request = this->dispatch.nextRequestName();
    if (const BackendServer *server = configuration->findServer(position->server)) {
        grant.server = *server;
    } else {
        grant.server.name = position->server;
        grant.server.address = position->address;
    }
    const auto engine = parseEndpoint(grant.server.address, reason);
    GenerationStream stream;
    stream.setIdleHook(this->makeDrainEventHook(completion, responder));
    bool isResumed = false;
    if (engine)
        isResumed = co_await stream.resume(*engine, position->generation, position->index + 1,
                                           startTimeouts, reason);
    if (!isResumed) {
        const bool isTransient = engine && reason.code != ErrorCode::NotFound;
        Error lost{ErrorCode::GenerationLost,
                   RunState::OutcomeUnknown,
                   "the engine no longer has the generation",
                   {}};
        if (isTransient)
            lost = {ErrorCode::BackendServerLost, RunState::OutcomeUnknown, reason.detail,
                    Milliseconds(1000)};
        co_await responder.send(errorResponse(lost));
        co_return;
    }
    logEvent(LogEvent::StreamResumed, "generation", position->generation.toString(), "index",
             std::to_string(position->index));
    this->entry.metrics.count("sassafrasyard_streams_resumed_total");
    StreamRelay relay(this->entry, this->dispatch, grant, *engine);
    relay.continueAfter(*position);
    const StreamRelay::Deliver deliver = [&](const std::vector<DeliveredToken> &tokens) {
        return this->deliver(completion, tokens, responder);
    };
    const StreamRelay::IsCallerGone isCallerGone = [&] {
        return responder.isCallerGone();
    };
    const RelayResult result = co_await relay.run(stream, deliver, isCallerGone);
    stream.close();
    if (result.end != RelayEnd::Finished)
        this->cancelLater(*engine, relay.generation());
    co_await this->endStream(completion, result, responder);
}

net::awaitable<void> CompletionHandler::endStream(const Completion &completion,
                                                  const RelayResult &result,
                                                  HttpResponder &responder)
{
    if (result.end == RelayEnd::CallerGone) {
        if (!responder.hasStarted())
            co_await responder.send(HttpResponse());
        co_return;
    }
    if (!completion.isStreamed) {
        json body;
        body["text"] = completion.outputText;
        body["tokens"] = result.tokens;
        body["finish_reason"] = result.finishReason;
        HttpResponse response;
        response.headers.emplace_back("Content-Type", "application/json");
        response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        co_await responder.send(std::move(response));
        co_return;
    }
    if (!responder.hasStarted()) {
        HttpHeaders headers;
        headers.emplace_back("Content-Type", "text/event-stream");
        co_await responder.startStream(200, std::move(headers));
    }
    ServerEvent last;
    if (result.end == RelayEnd::Finished) {
        json data;
        data["finish_reason"] = result.finishReason;
        data["tokens"] = result.tokens;
        last.type = "done";
        last.data = data.dump();
    } else {
        const Error lost{ErrorCode::GenerationLost, RunState::OutcomeUnknown, result.reason.detail,
                         Milliseconds(1000)};
        last.type = "generation_lost";
        last.data = formatError(lost);
        this->entry.metrics.count("sassafrasyard_generations_lost_total");
        logEvent(LogEvent::GenerationLost, "request", completion.work.name.toString(), "tokens",
                 std::to_string(result.tokens), "detail", result.reason.detail);
    }
    co_await responder.write(formatServerEvent(last));
    co_await responder.finish();
}

net::awaitable<bool> CompletionHandler::deliver(Completion &completion,
                                                const std::vector<DeliveredToken> &tokens,
                                                HttpResponder &responder)
{
    this->entry.pendingTokenCount += tokens.size();
    if (!completion.isStreamed) {
        for (const DeliveredToken &token : tokens)
            completion.outputText += token.text;
        co_return !responder.isCallerGone();
    }
    if (!responder.hasStarted()) {
        HttpHeaders headers;
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Cache-Control", "no-store");
        if (!co_await responder.startStream(200, std::move(headers)))
            co_return false;
    }
    std::string text;
    ServerEvent event;
    for (const DeliveredToken &token : tokens) {
        event.identifier = this->entry.positions.encode(token.position, completion.binding);
        event.data = tokenData(token);
        text += formatServerEvent(event);
    }
    if (this->mustSendDrainEvent(completion)) {
        completion.isDrainEventSent = true;
        text += this->drainEvent();
    }
    co_return co_await responder.write(text);
}

void CompletionHandler::markUnreachable(const BackendServerName &server)
{
    this->dispatch.post([server](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setReachable(server, false);
    });
}

std::string CompletionHandler::versionFor(const WorkRequest &work,
                                          const BackendServerName &server) const
{
    if (!work.version.empty())
        return work.version;
    // During a rollout, the configuration gives the version for new work per backend server.
    const auto configuration = this->entry.configuration.current();
    const auto served = configuration->servedVersions.find(server);
    if (served == configuration->servedVersions.end())
        return {};
    const auto version = served->second.find(work.model);
    return version == served->second.end() ? std::string() : version->second;
}

net::awaitable<WorkOutcome> CompletionHandler::outcomeOfFailedAttempt(BackendServer server,
                                                                      Error reason)
{
    if (reason.runState == RunState::NotRun)
        co_return WorkOutcome::RefusedByServer;
    if (reason.code != ErrorCode::BackendServerLost)
        co_return WorkOutcome::Failed;
    // Only a crash of the engine counts against its requests, not a failed connection to it.
    Error ignored;
    const auto engine = parseEndpoint(server.address, ignored);
    std::optional<EngineStatus> status;
    if (engine)
        status = co_await readEngineStatus(*engine, server.name, cancelTimeouts, ignored);
    co_return status ? WorkOutcome::Failed : WorkOutcome::ServerLost;
}

bool CompletionHandler::mustSendDrainEvent(const Completion &completion) const
{
    return this->entry.isDraining && completion.isStreamed && !completion.isDrainEventSent;
}

std::string CompletionHandler::drainEvent() const
{
    json data;
    data["addresses"] = this->entry.otherCallerAddresses();
    ServerEvent drainNotice;
    drainNotice.type = "draining";
    drainNotice.data = data.dump();
    return formatServerEvent(drainNotice);
}

std::function<void()> CompletionHandler::makeDrainEventHook(Completion &completion,
                                                            HttpResponder &responder) const
{
    return [this, &completion, &responder] {
        if (responder.hasStarted() && this->mustSendDrainEvent(completion))
            completion.isDrainEventSent = responder.tryWrite(this->drainEvent());
    };
}

void CompletionHandler::cancelLater(const Endpoint &engine, const GenerationName &generation)
{
    net::co_spawn(
            net::make_strand(this->context),
            [this, engine, generation] { return this->cancelAfterGracePeriod(engine, generation); },
            net::detached);
}

net::awaitable<void> CompletionHandler::cancelAfterGracePeriod(Endpoint engine,
                                                               GenerationName generation)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(resumeGracePeriod);
    boost::system::error_code code;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    if (code)
        co_return;
    Error reason;
    if (co_await cancelGeneration(engine, generation, resumeGracePeriod, cancelTimeouts, reason))
        logEvent(LogEvent::GenerationCancelled, "generation", generation.toString());
}

} // namespace sassafrasyard
