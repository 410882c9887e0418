#include "network/http/httpconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>
#include <utility>

#include <netinet/tcp.h>

namespace sassafrasyard {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/** The largest header of a response, in bytes. */
constexpr std::uint32_t maximumResponseHeaderBytes = 64U << 10U;
/**
 * The buffer limit for bytes outside the body, in bytes. Bounds the memory of an endless header,
 * chunk extension or trailer.
 */
constexpr std::size_t maximumReadAheadBytes = std::size_t{2} * maximumResponseHeaderBytes;
/** The largest part of a header that is read at once, in bytes. */
constexpr std::size_t maximumHeaderReadBytes = 64U << 10U;
/** The limit on provisional (1xx) responses before the final one; servers send one or two. */
constexpr int maximumProvisionalResponses = 16;
/**
 * After how many seconds without a byte the operating system probes the peer, at which interval in
 * seconds, and after how many unanswered probes the connection is lost.
 */
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int maximumUnansweredProbes = 2;
/** The interval of the idle hook; short enough to detect a disconnected caller. */
constexpr Milliseconds idleInterval{500};

auto redirect(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

Error toError(error_code code, RunState state, const Endpoint &endpoint)
{
    ErrorCode kind = ErrorCode::ConnectionFailed;
    // Beast reports a connection that was closed early as an HTTP error, not as a socket error.
    const bool isClosed =
            code == http::error::end_of_stream || code == http::error::partial_message;
    if (code == beast::error::timeout)
        kind = ErrorCode::Timeout;
    else if (!isClosed
             && code.category() == http::make_error_code(http::error::bad_method).category())
        kind = ErrorCode::ProtocolViolation;
    return {kind, state, endpoint.toString() + ": " + code.message(), {}};
}

ConnectFailure toConnectFailure(error_code code)
{
    if (code == net::error::connection_refused)
        return ConnectFailure::Refused;
    const bool isUnanswered = code == beast::error::timeout || code == net::error::timed_out
            || code == net::error::host_unreachable || code == net::error::network_unreachable
            || code == net::error::connection_reset;
    return isUnanswered ? ConnectFailure::Unanswered : ConnectFailure::Local;
}

bool carriesBody(const HttpRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT"
            || request.method == "PATCH";
}

/**
 * Returns whether a header field continues on a further line (RFC 9112, 5.2).
 *
 * @param header complete fields with the ends of their lines.
 */
bool hasFoldedLine(std::string_view header)
{
    return header.find("\r\n ") != std::string_view::npos
            || header.find("\r\n\t") != std::string_view::npos;
}

/** Returns a status as the three digits of a status line. */
std::string statusText(int status)
{
    constexpr std::size_t digitCount = 3;
    const std::string digits = std::to_string(status);
    return std::string(digitCount - std::min(digitCount, digits.size()), '0') + digits;
}

/** Returns the failure of a response that HTTP does not allow. */
Error toViolation(const std::string &detail, const Endpoint &endpoint)
{
    return {ErrorCode::ProtocolViolation,
            RunState::OutcomeUnknown,
            endpoint.toString() + ": " + detail,
            {}};
}

std::optional<Milliseconds> parseKeepAlive(const HttpResponse &response)
{
    constexpr std::string_view name = "timeout=";
    const std::string value = findHeader(response.headers, "Keep-Alive").value_or("");
    const std::size_t at = value.find(name);
    if (at == std::string::npos)
        return std::nullopt;
    long seconds = 0;
    const char *first = value.data() + at + name.size();
    const auto [end, code] = std::from_chars(first, value.data() + value.size(), seconds);
    if (code != std::errc() || end == first || seconds < 0)
        return std::nullopt;
    return Milliseconds(seconds * 1000);
}

} // namespace

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Close:
        return "close";
    }
    return "unknown";
}

/**
 * The socket of an HttpConnection.
 *
 * Reads of the body share one watchdog timer that is rearmed only when it expires. Beast's timer,
 * which is armed and cancelled at each read, costs about as much as the read of a small event.
 */
struct HttpConnection::Implementation : std::enable_shared_from_this<Implementation>
{
    using Message = http::request<http::string_body>;

    Implementation(const net::any_io_executor &executor, Endpoint endpoint)
        : stream(executor)
        , watchdog(executor)
        , endpoint(std::move(endpoint))
    {
    }

    /** Arms the timer that closes the connection if a read is still pending at the deadline. */
    void armWatchdog()
    {
        this->isWatchdogArmed = true;
        const auto next = std::chrono::steady_clock::now() + idleInterval;
        this->watchdog.expires_at(this->idleHook ? std::min(next, this->deadline) : this->deadline);
        this->watchdog.async_wait([weak = this->weak_from_this()](error_code code) {
            const auto self = weak.lock();
            if (!self || code)
                return;
            self->isWatchdogArmed = false;
            if (!self->isReading)
                return;
            if (std::chrono::steady_clock::now() < self->deadline) {
                if (self->idleHook)
                    self->idleHook();
                self->armWatchdog();
                return;
            }
            self->hasTimedOut = true;
            self->stream.close();
        });
    }

    /** Starts a read with a deadline. */
    void beginRead(std::chrono::steady_clock::time_point end)
    {
        this->stream.expires_never();
        this->deadline = end;
        this->isReading = true;
        // A timer armed for an earlier read expires first and is then rearmed for this deadline.
        if (!this->isWatchdogArmed || this->watchdog.expiry() > this->deadline)
            this->armWatchdog();
    }

    void startWrite(const HttpRequest &request)
    {
        this->message = Message();
        this->message.version(11);
        this->message.method_string(request.method);
        this->message.target(request.target);
        for (const auto &[name, value] : request.headers)
            this->message.insert(name, value);
        if (carriesBody(request)) {
            this->message.body() = request.body;
            this->message.content_length(request.body.size());
        }
        this->isWritten = false;
        this->writeFailure = {};
        this->writtenBytes = 0;
        http::async_write(this->stream, this->message,
                          [self = this->shared_from_this()](error_code code, std::size_t bytes) {
                              self->isWritten = !code;
                              self->writeFailure = code;
                              self->writtenBytes = bytes;
                              // The connection may be kept for long; its request is not.
                              self->message = Message();
                          });
    }

    /**
     * Reads the header of a response into the parser.
     *
     * Folded lines are rejected. The parser joins them to the field before them, so a field whose
     * name begins with a blank would become part of another one, and a length that is lost like
     * this would leave the body without its end.
     *
     * @return why it failed, http::error::bad_field for a folded line.
     */
    net::awaitable<error_code> readFields()
    {
        error_code code;
        do {
            if (this->buffer.size() == 0 || code == http::error::need_more) {
                const std::size_t room = beast::read_size(this->buffer, maximumHeaderReadBytes);
                if (room == 0)
                    co_return http::error::buffer_overflow;
                const std::size_t received = co_await this->stream.async_read_some(
                        this->buffer.prepare(room), redirect(code));
                if (code == net::error::eof)
                    co_return this->parser->got_some() ? http::error::partial_message
                                                       : http::error::end_of_stream;
                if (code)
                    co_return code;
                this->buffer.commit(received);
            }
            const net::const_buffer unread = this->buffer.data();
            // The parser consumes no field before it has seen whether the next line continues it.
            const std::size_t used = this->parser->put(unread, code);
            const bool isFolded = hasFoldedLine({static_cast<const char *>(unread.data()), used});
            this->buffer.consume(used);
            if (isFolded)
                co_return http::error::bad_field;
        } while (code == http::error::need_more);
        co_return code;
    }

    RunState runStateAfterFailure() const
    {
        const bool isUnsent =
                !this->isWritten && this->writtenBytes == 0 && !this->isWritePending();
        return isUnsent ? RunState::NotRun : RunState::OutcomeUnknown;
    }

    /**
     * Returns whether the connection was lost before the peer ended it in order.
     *
     * The operating system reports a loss once, to a write or a read. If a pending write gets it,
     * reads return the end of the stream as after an orderly end. A write that is broken by an
     * orderly end followed by a reset fails with broken_pipe instead.
     */
    bool isLossReportedToWrite() const
    {
        return this->writeFailure && this->writeFailure != net::error::broken_pipe;
    }

    /** Whether a write is pending, which may still send bytes; its handler shares this object. */
    bool isWritePending() const { return this->weak_from_this().use_count() > 1; }

    /** Returns whether a code is that of a read that interruptRead() ended. */
    bool isInterruption(error_code code)
    {
        const bool wasInterrupted = std::exchange(this->isInterrupted, false);
        return wasInterrupted && code == net::error::operation_aborted && !this->hasTimedOut
                && this->stream.socket().is_open();
    }

    /**
     * Returns how many bytes the operating system holds. Unlike a read, this leaves a reported loss
     * of the connection to the next read.
     */
    std::size_t availableBytes() const
    {
        error_code code;
        const std::size_t available = this->stream.socket().available(code);
        return code ? 0 : available;
    }

    beast::tcp_stream stream;
    net::steady_timer watchdog;
    std::chrono::steady_clock::time_point deadline;
    std::function<void()> idleHook;
    bool isWatchdogArmed = false;
    bool isReading = false;
    bool isInterrupted = false;
    bool hasTimedOut = false;
    /** Waits for bytes while no read is pending. */
    std::function<void()> bytesHook;
    ConnectFailure connectFailure = ConnectFailure::None;
    Endpoint endpoint;
    beast::flat_buffer buffer{maximumReadAheadBytes};
    Message message;
    bool isWritten = true;
    error_code writeFailure;
    std::size_t writtenBytes = 0;
    bool isHeadRequest = false;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::optional<Milliseconds> keepAlive;
    std::array<char, 8192> bytes{};
};

HttpConnection::HttpConnection(const net::any_io_executor &executor, Endpoint endpoint)
    : implementation(std::make_shared<Implementation>(executor, std::move(endpoint)))
{
}

HttpConnection::~HttpConnection()
{
    this->close();
}

net::awaitable<bool> HttpConnection::connect(Milliseconds timeout, Error &reason)
{
    Implementation &state = *this->implementation;
    error_code code;
    const auto address = net::ip::make_address(state.endpoint.address, code);
    state.stream.expires_after(timeout);
    if (!code)
        co_await state.stream.async_connect(tcp::endpoint(address, state.endpoint.port),
                                            redirect(code));
    state.connectFailure = code ? toConnectFailure(code) : ConnectFailure::None;
    if (code) {
        reason = toError(code, RunState::NotRun, state.endpoint);
        co_return false;
    }
    state.stream.socket().set_option(tcp::no_delay(true), code);
    co_return true;
}

ConnectFailure HttpConnection::connectFailure() const
{
    return this->implementation->connectFailure;
}

net::awaitable<std::optional<HttpResponse>> HttpConnection::exchange(const HttpRequest &request,
                                                                     Milliseconds timeout,
                                                                     Error &reason)
{
    Implementation &state = *this->implementation;
    state.stream.expires_after(timeout);
    state.isHeadRequest = request.method == "HEAD";
    state.startWrite(request);
    co_return co_await this->readHeader(timeout, reason);
}

net::awaitable<std::optional<HttpResponse>> HttpConnection::readHeader(Milliseconds timeout,
                                                                       Error &reason)
{
    Implementation &state = *this->implementation;
    // One deadline covers all responses, because a server may send provisional ones endlessly.
    const auto end = std::chrono::steady_clock::now() + timeout;
    HttpResponse response;
    int provisionalResponses = 0;
    do {
        if (provisionalResponses++ > maximumProvisionalResponses) {
            reason = toViolation("too many provisional responses", state.endpoint);
            this->close();
            co_return std::nullopt;
        }
        state.parser.emplace();
        state.parser->header_limit(maximumResponseHeaderBytes);
        // Without a limit, Boost 1.74 rejects every body with a Content-Length as too large.
        state.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        state.parser->skip(state.isHeadRequest);
        state.stream.expires_at(end);
        const error_code code = co_await state.readFields();
        if (code) {
            reason = toError(code, state.runStateAfterFailure(), state.endpoint);
            this->close();
            co_return std::nullopt;
        }
        response.status = static_cast<int>(state.parser->get().result_int());
    } while (isProvisionalStatus(response.status));
    if (!isFinalStatus(response.status)) {
        reason = toViolation("status " + statusText(response.status)
                                     + " is not that of a response to a request",
                             state.endpoint);
        this->close();
        co_return std::nullopt;
    }
    for (const auto &field : state.parser->get())
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    state.keepAlive = parseKeepAlive(response);
    co_return response;
}

net::awaitable<std::optional<std::string_view>> HttpConnection::read(Milliseconds timeout,
                                                                     Error &reason)
{
    Implementation &state = *this->implementation;
    // Only bytes of the body are progress; chunk headers and trailers don't extend the timeout.
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (state.parser && !state.parser->is_done()) {
        auto &body = state.parser->get().body();
        body.data = state.bytes.data();
        body.size = state.bytes.size();
        state.beginRead(end);
        error_code code;
        co_await http::async_read_some(state.stream, state.buffer, *state.parser, redirect(code));
        state.isReading = false;
        if (state.isInterruption(code)) {
            reason = {ErrorCode::Timeout,
                      RunState::OutcomeUnknown,
                      state.endpoint.toString() + ": the read was interrupted",
                      {}};
            co_return std::nullopt;
        }
        if (code && state.hasTimedOut)
            code = beast::error::timeout;
        if (code && code != http::error::need_buffer) {
            reason = toError(code, RunState::OutcomeUnknown, state.endpoint);
            this->close();
            co_return std::nullopt;
        }
        const std::size_t received = state.bytes.size() - body.size;
        if (received > 0)
            co_return std::string_view(state.bytes.data(), received);
    }
    // Without a length or chunks, only an orderly end of the connection completes the body.
    if (state.parser && state.parser->need_eof() && state.isLossReportedToWrite()) {
        reason = toError(state.writeFailure, RunState::OutcomeUnknown, state.endpoint);
        this->close();
        co_return std::nullopt;
    }
    co_return std::string_view();
}

net::awaitable<std::optional<std::string>> HttpConnection::readAll(std::size_t limit,
                                                                   Milliseconds timeout,
                                                                   Error &reason)
{
    std::string body;
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const auto left =
                std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        const auto bytes = co_await this->read(std::max(Milliseconds(1), left), reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return body;
        if (body.size() + bytes->size() > limit) {
            reason = {ErrorCode::RequestTooLarge,
                      RunState::Completed,
                      this->endpoint().toString() + ": the response is larger than "
                              + std::to_string(limit) + " bytes",
                      {}};
            this->close();
            co_return std::nullopt;
        }
        body += *bytes;
    }
}

bool HttpConnection::isReusable() const
{
    const Implementation &state = *this->implementation;
    return state.stream.socket().is_open() && state.isWritten && state.parser
            && state.parser->is_done() && state.parser->keep_alive() && state.buffer.size() == 0;
}

BodyFraming HttpConnection::bodyFraming() const
{
    const auto &parser = this->implementation->parser;
    if (parser && parser->chunked())
        return BodyFraming::Chunks;
    return parser && parser->need_eof() ? BodyFraming::Close : BodyFraming::Length;
}

bool HttpConnection::hasReceivedResponse() const
{
    return this->implementation->parser.has_value();
}

bool HttpConnection::isIdle() const
{
    const Implementation &state = *this->implementation;
    auto &socket = const_cast<beast::tcp_stream &>(state.stream).socket();
    if (!socket.is_open())
        return false;
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<Milliseconds> HttpConnection::keepAlive() const
{
    return this->implementation->keepAlive;
}

const Endpoint &HttpConnection::endpoint() const
{
    return this->implementation->endpoint;
}

void HttpConnection::setProbing(bool isEnabled)
{
    using IdleTime = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    auto &socket = this->implementation->stream.socket();
    // On failure the connection works without probes.
    error_code ignored;
    if (isEnabled) {
        socket.set_option(IdleTime(probeIdleSeconds), ignored);
        socket.set_option(Interval(probeIntervalSeconds), ignored);
        socket.set_option(Count(maximumUnansweredProbes), ignored);
    }
    socket.set_option(tcp::socket::keep_alive(isEnabled), ignored);
}

void HttpConnection::setIdleHook(std::function<void()> hook)
{
    this->implementation->idleHook = std::move(hook);
}

bool HttpConnection::interruptRead()
{
    Implementation &state = *this->implementation;
    if (!state.isReading || state.isWritePending())
        return false;
    state.isInterrupted = true;
    state.stream.cancel();
    return true;
}

void HttpConnection::watchBytes(std::function<void()> hook)
{
    Implementation &state = *this->implementation;
    state.bytesHook = std::move(hook);
    if (!state.bytesHook || !state.stream.socket().is_open())
        return;
    state.stream.socket().async_wait(
            tcp::socket::wait_read, [weak = state.weak_from_this()](error_code code) {
                const auto self = weak.lock();
                if (self && !code && self->bytesHook && self->availableBytes() > 0)
                    std::exchange(self->bytesHook, nullptr)();
            });
}

std::optional<std::string_view> HttpConnection::readAvailable()
{
    Implementation &state = *this->implementation;
    if (!state.parser || state.parser->is_done())
        return std::nullopt;
    auto &body = state.parser->get().body();
    body.data = state.bytes.data();
    body.size = state.bytes.size();
    const std::size_t room = beast::read_size(state.buffer, state.bytes.size());
    if (room == 0 || !state.stream.socket().is_open() || state.availableBytes() == 0)
        return std::string_view();
    error_code code;
    state.buffer.commit(state.stream.socket().read_some(state.buffer.prepare(room), code));
    while (!code && state.buffer.size() > 0 && !state.parser->is_done())
        state.buffer.consume(state.parser->put(state.buffer.data(), code));
    const std::size_t received = state.bytes.size() - body.size;
    if (received == 0 && state.parser->is_done())
        return std::nullopt;
    return std::string_view(state.bytes.data(), received);
}

void HttpConnection::close()
{
    this->implementation->bytesHook = nullptr;
    this->implementation->stream.close();
}

} // namespace sassafrasyard
