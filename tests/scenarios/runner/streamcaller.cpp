#include "scenarios/runner/streamcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;
using State = StreamRecord::State;

namespace {

constexpr HttpTimeouts openTimeouts{Milliseconds(2000), Milliseconds(60000)};
constexpr Milliseconds readTimeout{60000};

} // namespace

StreamCaller::StreamCaller(net::io_context &context, HttpRequest request)
    : context(context)
    , originalRequest(std::move(request))
{
}

void StreamCaller::open(const Endpoint &endpoint, const std::string &position)
{
    this->disconnect();
    HttpRequest request = this->originalRequest;
    if (!position.empty())
        request.headers.emplace_back("Last-Event-ID", position);
    auto stream = std::make_shared<HttpStream>();
    {
        const std::lock_guard lock(this->mutex);
        this->currentStream = stream;
        this->received.state = State::Open;
        this->received.status = 0;
        this->received.code.clear();
        this->received.runState.clear();
        this->received.detail.clear();
    }
    net::co_spawn(
            this->context,
            [self = this->shared_from_this(), stream, endpoint, request] {
                return self->run(stream, endpoint, request);
            },
            net::detached);
}

void StreamCaller::disconnect()
{
    std::shared_ptr<HttpStream> stream;
    {
        const std::lock_guard lock(this->mutex);
        stream = std::move(this->currentStream);
        this->currentStream = nullptr;
        if (stream && this->received.state == State::Open)
            this->received.state = State::Broken;
    }
    if (stream)
        net::post(this->context, [stream] { stream->close(); });
}

StreamRecord StreamCaller::record() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

std::string StreamCaller::lastPosition() const
{
    const std::lock_guard lock(this->mutex);
    return this->received.tokens.empty() ? "" : this->received.tokens.back().position;
}

const HttpRequest &StreamCaller::request() const
{
    return this->originalRequest;
}

net::awaitable<void> StreamCaller::run(std::shared_ptr<HttpStream> stream, Endpoint endpoint,
                                       HttpRequest request)
{
    Error reason;
    const auto response = co_await stream->open(endpoint, request, openTimeouts, reason);
    if (!response) {
        this->handleConnectionEnd(stream.get(), reason);
        co_return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->currentStream != stream)
            co_return;
        this->received.status = response->status;
        if (response->status != 200)
            this->handleRefusal(*response);
    }
    ServerEventParser parser;
    while (response->status == 200) {
        const auto bytes = co_await stream->read(readTimeout, reason);
        if (!bytes || bytes->empty())
            break;
        parser.append(*bytes);
        const std::lock_guard lock(this->mutex);
        // Bytes that arrive on a replaced or closed connection are ignored.
        if (this->currentStream != stream)
            co_return;
        while (const auto event = parser.next())
            this->handleEvent(*event);
    }
    this->handleConnectionEnd(stream.get(), reason);
}

void StreamCaller::handleEvent(const ServerEvent &event)
{
    const json data = json::parse(event.data, nullptr, false);
    if (!data.is_object())
        return;
    if (event.type == "done") {
        this->received.state = State::Done;
        this->received.reportedTokens = data.value("tokens", std::uint64_t{0});
    } else if (event.type == "generation_lost") {
        this->received.state = State::Lost;
        this->received.code = data.value("code", "");
        this->received.runState = data.value("run_state", "");
        this->received.detail = data.value("detail", "");
    } else if (event.type == "draining") {
        this->received.hasDrainingEvent = true;
    } else if (event.type.empty()) {
        this->received.tokens.push_back(
                {event.identifier, data.value("index", std::uint64_t{0}), data.value("text", "")});
    }
}

void StreamCaller::handleRefusal(const HttpResponse &response)
{
    const json body = json::parse(response.body, nullptr, false);
    this->received.state = State::Refused;
    if (!body.is_object())
        return;
    this->received.code = body.value("code", "");
    this->received.runState = body.value("run_state", "");
    this->received.detail = body.value("detail", "");
}

void StreamCaller::handleConnectionEnd(const HttpStream *stream, const Error &reason)
{
    const std::lock_guard lock(this->mutex);
    if (this->currentStream.get() != stream || this->received.state != State::Open)
        return;
    this->received.state = State::Broken;
    this->received.detail = reason.detail;
}

} // namespace sassafrasyard
