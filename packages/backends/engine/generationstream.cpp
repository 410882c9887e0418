#include "backends/engine/generationstream.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The largest event that an engine may send, in bytes. */
constexpr std::size_t maximumEventBytes = 256U << 10U;

std::optional<GenerationEvent> parseEvent(std::string_view data)
{
    const auto document = nlohmann::json::parse(data, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto generation = document.find("generation");
    const auto index = document.find("index");
    const auto token = document.find("token");
    const auto finish = document.find("finish");
    if (generation == document.end() || !generation->is_string() || index == document.end()
        || !index->is_number_unsigned()) {
        return std::nullopt;
    }
    GenerationEvent event;
    event.generation = GenerationName(generation->get<std::string>());
    event.index = index->get<std::uint64_t>();
    if (finish != document.end() && finish->is_string()
        && !finish->get_ref<const std::string &>().empty())
        event.finishReason = finish->get<std::string>();
    else if (token != document.end() && token->is_string())
        event.token = token->get<std::string>();
    else
        return std::nullopt;
    return event;
}

Error refusal(const HttpResponse &response)
{
    const auto document = nlohmann::json::parse(response.body, nullptr, false);
    const bool isNotRun = document.is_object() && document.value("not_run", false);
    const std::string detail = "the engine answered " + std::to_string(response.status);
    if (response.status == 404)
        return {ErrorCode::NotFound, RunState::OutcomeUnknown, detail, {}};
    if (isNotRun)
        return {ErrorCode::BackendServerRefused, RunState::NotRun, detail, {}};
    return {ErrorCode::BackendServerLost, RunState::OutcomeUnknown, detail, {}};
}

Error lost(const Error &transport)
{
    if (transport.runState == RunState::NotRun)
        return {ErrorCode::BackendServerLost, RunState::NotRun, transport.detail, {}};
    const ErrorCode code = transport.code == ErrorCode::Timeout ? ErrorCode::Timeout
                                                                : ErrorCode::BackendServerLost;
    return {code, RunState::OutcomeUnknown, transport.detail, {}};
}

} // namespace

net::awaitable<bool> GenerationStream::start(const Endpoint &engine,
                                             const GenerationRequest &request,
                                             HttpTimeouts timeouts, Error &reason)
{
    nlohmann::json body;
    body["request"] = request.request.toString();
    body["model"] = request.model.toString();
    body["version"] = request.version;
    body["prompt"] = request.prompt;
    body["max_tokens"] = request.maximumTokens;
    body["seed"] = request.seed;
    body["priority"] = request.priority;
    body["stream"] = true;
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.emplace_back("Content-Type", "application/json");
    message.body = body.dump();
    co_return co_await this->open(engine, message, timeouts, reason);
}

net::awaitable<bool> GenerationStream::resume(const Endpoint &engine,
                                              const GenerationName &generation, std::uint64_t from,
                                              HttpTimeouts timeouts, Error &reason)
{
    nlohmann::json body;
    body["from"] = from;
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/generations/" + percentEncode(generation.toString()) + "/resume";
    message.headers.emplace_back("Content-Type", "application/json");
    message.body = body.dump();
    co_return co_await this->open(engine, message, timeouts, reason);
}

net::awaitable<bool> GenerationStream::open(const Endpoint &engine, const HttpRequest &request,
                                            HttpTimeouts timeouts, Error &reason)
{
    this->parser = ServerEventParser();
    this->isMalformed = false;
    Error transport;
    const auto response = co_await this->stream.open(engine, request, timeouts, transport);
    if (response && response->status == 200)
        co_return true;
    reason = response ? refusal(*response) : lost(transport);
    co_return false;
}

net::awaitable<std::optional<GenerationEvent>> GenerationStream::next(Milliseconds timeout,
                                                                      Error &reason)
{
    while (true) {
        if (auto event = this->nextBuffered(reason))
            co_return event;
        if (this->isMalformed)
            co_return std::nullopt;
        Error transport;
        const auto bytes = co_await this->stream.read(timeout, transport);
        if (!bytes || bytes->empty()) {
            reason = bytes ? Error{ErrorCode::BackendServerLost,
                                   RunState::OutcomeUnknown,
                                   "the engine ended the stream without a finish",
                                   {}}
                           : lost(transport);
            co_return std::nullopt;
        }
        this->parser.append(*bytes);
    }
}

std::optional<GenerationEvent> GenerationStream::nextBuffered(Error &reason)
{
    const auto event = this->parser.next();
    if (!event && this->parser.bufferedBytes() <= maximumEventBytes)
        return std::nullopt;
    auto parsed = event ? parseEvent(event->data) : std::nullopt;
    if (!parsed) {
        this->isMalformed = true;
        reason = {ErrorCode::ProtocolViolation,
                  RunState::OutcomeUnknown,
                  "the engine sent a malformed event",
                  {}};
    }
    return parsed;
}

void GenerationStream::close()
{
    this->stream.close();
}

} // namespace sassafrasyard
