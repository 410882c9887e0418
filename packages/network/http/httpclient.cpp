#include "network/http/httpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

namespace sassafrasyard {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t maximumResponseBytes = 64U << 20U;

/** How often the idle hook of a stream runs. */
constexpr Milliseconds idleInterval{500};

auto redirect(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

Error transportError(error_code code, RunState state, const Endpoint &endpoint)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorCode::Timeout : ErrorCode::ConnectionFailed,
            state,
            endpoint.toString() + ": " + code.message(),
            {}};
}

http::request<http::string_body> toMessage(const HttpRequest &request, const Endpoint &endpoint)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.toString());
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

template <typename Fields>
HttpResponse toResponse(const Fields &header)
{
    HttpResponse response;
    response.status = static_cast<int>(header.result_int());
    for (const auto &field : header)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return response;
}

/** Connects and writes the request. @return false with the reason set on failure. */
net::awaitable<bool> sendOn(beast::tcp_stream &stream, const Endpoint &endpoint,
                            const HttpRequest &request, HttpTimeouts timeouts, Error &reason)
{
    error_code code;
    const tcp::endpoint address(net::ip::make_address(endpoint.address, code), endpoint.port);
    stream.expires_after(timeouts.connect);
    if (!code)
        co_await stream.async_connect(address, redirect(code));
    if (code) {
        reason = transportError(code, RunState::NotRun, endpoint);
        co_return false;
    }
    stream.socket().set_option(tcp::no_delay(true), code);
    const auto message = toMessage(request, endpoint);
    stream.expires_after(timeouts.response);
    co_await http::async_write(stream, message, redirect(code));
    if (code) {
        reason = transportError(code, RunState::OutcomeUnknown, endpoint);
        co_return false;
    }
    co_return true;
}

} // namespace

net::awaitable<std::optional<HttpResponse>> sendHttpRequest(const Endpoint &endpoint,
                                                            const HttpRequest &request,
                                                            HttpTimeouts timeouts, Error &reason)
{
    beast::tcp_stream stream(co_await net::this_coro::executor);
    if (!co_await sendOn(stream, endpoint, request, timeouts, reason))
        co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumResponseBytes);
    error_code code;
    co_await http::async_read(stream, buffer, parser, redirect(code));
    if (code) {
        reason = transportError(code, RunState::OutcomeUnknown, endpoint);
        co_return std::nullopt;
    }
    HttpResponse response = toResponse(parser.get());
    response.body = std::move(parser.get().body());
    co_return response;
}

/**
 * The connection of an HttpStream.
 *
 * Reads are guarded by one timer that is set again only when it fires. Beast's own timer, set and
 * cancelled at each read, costs about as much as the read of a small event.
 */
struct HttpStream::Implementation : std::enable_shared_from_this<HttpStream::Implementation>
{
    explicit Implementation(const net::any_io_executor &executor)
        : stream(executor)
        , watchdog(executor)
    {
    }

    /** Closes the connection if the pending read is not done by the deadline. */
    void watch()
    {
        this->isWatching = true;
        const auto next = std::chrono::steady_clock::now() + idleInterval;
        this->watchdog.expires_at(this->idleHook ? std::min(next, this->deadline) : this->deadline);
        this->watchdog.async_wait([weak = this->weak_from_this()](error_code code) {
            const auto self = weak.lock();
            if (!self || code)
                return;
            self->isWatching = false;
            if (!self->isReading)
                return;
            if (std::chrono::steady_clock::now() < self->deadline) {
                if (self->idleHook)
                    self->idleHook();
                self->watch();
                return;
            }
            self->hasTimedOut = true;
            self->stream.close();
        });
    }

    /** Starts guarding a read. @param timeout for the read, in milliseconds. */
    void beginRead(Milliseconds timeout)
    {
        this->deadline = std::chrono::steady_clock::now() + timeout;
        this->isReading = true;
        // A timer set for an earlier read fires first and is then set to this deadline.
        if (!this->isWatching || this->watchdog.expiry() > this->deadline)
            this->watch();
    }

    beast::tcp_stream stream;
    net::steady_timer watchdog;
    std::chrono::steady_clock::time_point deadline;
    std::function<void()> idleHook;
    bool isWatching = false;
    bool isReading = false;
    bool hasTimedOut = false;
    Endpoint endpoint;
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    std::array<char, 8192> bytes{};
};

HttpStream::HttpStream() = default;

HttpStream::~HttpStream() = default;

net::awaitable<std::optional<HttpResponse>> HttpStream::open(const Endpoint &endpoint,
                                                             const HttpRequest &request,
                                                             HttpTimeouts timeouts, Error &reason)
{
    this->implementation = std::make_shared<Implementation>(co_await net::this_coro::executor);
    Implementation &state = *this->implementation;
    state.endpoint = endpoint;
    state.idleHook = this->idleHook;
    // Boost 1.74 takes every body with a known length for too long if there is no limit.
    state.parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (!co_await sendOn(state.stream, endpoint, request, timeouts, reason))
        co_return std::nullopt;
    error_code code;
    co_await http::async_read_header(state.stream, state.buffer, state.parser, redirect(code));
    if (code) {
        reason = transportError(code, RunState::OutcomeUnknown, endpoint);
        co_return std::nullopt;
    }
    HttpResponse response = toResponse(state.parser.get());
    while (response.status != 200) {
        const auto bytes = co_await this->read(timeouts.response, reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            break;
        response.body += *bytes;
    }
    co_return response;
}

net::awaitable<std::optional<std::string_view>> HttpStream::read(Milliseconds timeout,
                                                                 Error &reason)
{
    Implementation &state = *this->implementation;
    while (!state.parser.is_done()) {
        auto &body = state.parser.get().body();
        body.data = state.bytes.data();
        body.size = state.bytes.size();
        state.stream.expires_never();
        state.beginRead(timeout);
        error_code code;
        co_await http::async_read_some(state.stream, state.buffer, state.parser, redirect(code));
        state.isReading = false;
        if (code && state.hasTimedOut)
            code = beast::error::timeout;
        if (code && code != http::error::need_buffer) {
            reason = transportError(code, RunState::OutcomeUnknown, state.endpoint);
            co_return std::nullopt;
        }
        const std::size_t received = state.bytes.size() - body.size;
        if (received > 0)
            co_return std::string_view(state.bytes.data(), received);
    }
    co_return std::string_view();
}

void HttpStream::setIdleHook(std::function<void()> hook)
{
    this->idleHook = std::move(hook);
    if (this->implementation)
        this->implementation->idleHook = this->idleHook;
}

void HttpStream::close()
{
    if (this->implementation)
        this->implementation->stream.close();
}

} // namespace sassafrasyard
