#include "backends/engine/generationstream.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The largest event that an engine may send, in bytes. */
constexpr std::size_t maximumEventBytes = 256U << 10U;

/** Parses an event without building a JSON document; unknown fields are ignored. */
class EventReader : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_array(std::size_t) override { return this->enterNested(); }
    bool end_array() override { return this->leaveNested(); }
    bool start_object(std::size_t) override { return this->enterNested(); }
    bool end_object() override { return this->leaveNested(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

    bool key(string_t &name) override
    {
        this->field = this->depth == 1 ? std::move(name) : std::string();
        return true;
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        if (this->depth == 1 && this->field == "index") {
            this->event.index = value;
            this->hasIndex = true;
        }
        return true;
    }

    bool string(string_t &value) override
    {
        if (this->depth != 1)
            return true;
        if (this->field == "generation") {
            this->event.generation = GenerationName(std::move(value));
        } else if (this->field == "token") {
            this->event.token = std::move(value);
            this->hasToken = true;
        } else if (this->field == "finish") {
            this->event.finishReason = std::move(value);
        }
        return true;
    }

    std::optional<GenerationEvent> take()
    {
        const bool isComplete = !this->event.generation.isEmpty() && this->hasIndex
                && (this->hasToken || this->event.isFinish());
        if (!isComplete)
            return std::nullopt;
        return std::move(this->event);
    }

private:
    bool enterNested()
    {
        ++this->depth;
        return true;
    }

    bool leaveNested()
    {
        --this->depth;
        return true;
    }

    GenerationEvent event;
    std::string field;
    int depth = 0;
    bool hasIndex = false;
    bool hasToken = false;
};

std::optional<GenerationEvent> parseEvent(std::string_view data)
{
    EventReader reader;
    if (!nlohmann::json::sax_parse(data, &reader))
        return std::nullopt;
    return reader.take();
}

Error refusalError(const HttpResponse &response)
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

Error transportError(const Error &cause)
{
    if (cause.runState == RunState::NotRun)
        return {ErrorCode::BackendServerLost, RunState::NotRun, cause.detail, {}};
    const ErrorCode code =
            cause.code == ErrorCode::Timeout ? ErrorCode::Timeout : ErrorCode::BackendServerLost;
    return {code, RunState::OutcomeUnknown, cause.detail, {}};
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
    Error cause;
    const auto response = co_await this->stream.open(engine, request, timeouts, cause);
    if (response && response->status == 200) {
        this->announcedName =
                GenerationName(findHeader(response->headers, "Generation").value_or(""));
        co_return true;
    }
    reason = response ? refusalError(*response) : transportError(cause);
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
        Error cause;
        const auto bytes = co_await this->stream.read(timeout, cause);
        if (!bytes || bytes->empty()) {
            reason = bytes ? Error{ErrorCode::BackendServerLost,
                                   RunState::OutcomeUnknown,
                                   "the engine ended the stream without a finish event",
                                   {}}
                           : transportError(cause);
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

const GenerationName &GenerationStream::announcedGeneration() const
{
    return this->announcedName;
}

void GenerationStream::setIdleHook(std::function<void()> hook)
{
    this->stream.setIdleHook(std::move(hook));
}

void GenerationStream::close()
{
    this->stream.close();
}

} // namespace sassafrasyard
