#include "network/http/httpserver.h"

#include "network/sockets/listensocket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/** The delay after a failed accept(); a descriptor is usually free within about a round trip. */
constexpr std::chrono::milliseconds acceptRetryDelay{20};

/** How long a connection is read after its last response until the caller closes it. */
constexpr std::chrono::milliseconds lingerTime{1000};

/** The size of the first read, enough for a usual header; a longer one takes more reads. */
constexpr std::size_t initialReadBytes = 2048;

auto redirect(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

/** Bodies up to this size are not counted: they need no more memory than their header. */
constexpr std::size_t uncountedBodyBytes = 4096;

/** How long a caller waits after a refusal for memory; large bodies are usually held for less. */
constexpr Milliseconds bodyRetryAfter{1000};

/** The least size of the buffer for bytes outside the body; twice the header if that is larger. */
constexpr std::size_t minimumBufferBytes = 128U << 10U;

using RequestParser = http::request_parser<http::string_body>;

/** Takes the parts of a parsed request; the body is moved. */
HttpRequest toRequest(http::request<http::string_body> parsed)
{
    HttpRequest request;
    request.method = std::string(parsed.method_string());
    request.target = std::string(parsed.target());
    for (const auto &field : parsed)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(parsed.body());
    return request;
}

/** Copies all fields in order, including repeated ones such as Set-Cookie. */
void setHeaders(http::fields &fields, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers)
        fields.insert(name, value);
}

Error readError(error_code code)
{
    if (code == http::error::header_limit || code == http::error::buffer_overflow)
        return {ErrorCode::HeaderTooLarge, RunState::NotRun, "the header is too large", {}};
    if (code == http::error::body_limit)
        return {ErrorCode::RequestTooLarge, RunState::NotRun, "the body is too large", {}};
    if (code == net::error::no_memory)
        return {ErrorCode::Overloaded, RunState::NotRun,
                "the bodies of other requests take the memory", bodyRetryAfter};
    if (code == beast::error::timeout)
        return {ErrorCode::RequestTimeout,
                RunState::NotRun,
                "the request was not received in time",
                {}};
    return {ErrorCode::InvalidRequest, RunState::NotRun, "malformed HTTP: " + code.message(), {}};
}

bool isHttpError(error_code code)
{
    return code.category() == http::make_error_code(http::error::bad_method).category()
            && code != http::error::end_of_stream && code != http::error::partial_message;
}

} // namespace

struct HttpResponder::Connection : std::enable_shared_from_this<HttpResponder::Connection>
{
    Connection(tcp::socket socket, const HttpServerOptions &options)
        : stream(std::move(socket))
        , idleTimer(this->stream.get_executor())
        , options(options)
    {
    }

    /** Waits until the caller sends a byte or disconnects; at most one wait is pending. */
    void watchCaller()
    {
        if (this->isWatching)
            return;
        this->isWatching = true;
        this->stream.socket().async_wait(
                tcp::socket::wait_read, [weak = this->weak_from_this()](error_code code) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    self->isWatching = false;
                    if (!code && self->callerGoneHook && self->isCallerGone())
                        std::exchange(self->callerGoneHook, nullptr)();
                });
    }

    /** Ends the wait for a request at an instant. */
    void cancelWaitAt(std::chrono::steady_clock::time_point instant)
    {
        this->idleTimer.expires_at(instant);
        this->idleTimer.async_wait([weak = this->weak_from_this()](error_code code) {
            const auto self = weak.lock();
            if (!code && self && self->isIdle)
                self->stream.socket().cancel(code);
        });
    }

    /** Ends the connection if it waits for a request. */
    void endIfIdle()
    {
        if (!this->isIdle)
            return;
        this->isEnding = true;
        error_code ignored;
        this->stream.socket().cancel(ignored);
    }

    bool hasUnreadBytes()
    {
        char byte = 0;
        const int handle = this->stream.socket().native_handle();
        return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    bool isCallerGone()
    {
        char byte = 0;
        const int handle = this->stream.socket().native_handle();
        const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0)
            return true;
        return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    }

    /**
     * Discards up to one request until the caller closes the connection. A close with unread bytes
     * would reset the connection, which can destroy a response that the caller has not received.
     */
    net::awaitable<void> readUntilClosed()
    {
        this->stream.expires_after(lingerTime);
        std::array<char, 1024> bytes;
        error_code code;
        const std::size_t limit = this->options.maximumHeaderBytes + this->options.maximumBodyBytes;
        for (std::size_t total = 0; !code && total < limit;)
            total += co_await this->stream.async_read_some(net::buffer(bytes), redirect(code));
    }

    /** Sends what the socket buffer takes at once; an error is reported by the next write. */
    std::size_t writeNonBlocking(std::string_view bytes)
    {
        const int handle = this->stream.socket().native_handle();
        const auto sent = ::send(handle, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /** Encodes bytes as an HTTP chunk; the result is valid until the next call. */
    const std::string &makeChunk(std::string_view bytes)
    {
        char size[24];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        this->chunk.assign(size, static_cast<std::size_t>(length));
        return this->chunk.append(bytes).append("\r\n");
    }

    beast::tcp_stream stream;
    /** Limits the time between two requests. */
    net::steady_timer idleTimer;
    HttpServerOptions options;
    beast::flat_buffer buffer;
    std::function<void()> callerGoneHook;
    bool isWatching = false;
    /** Whether it waits for a request. */
    bool isIdle = false;
    /** Whether it is closed instead of waiting for a request. */
    bool isEnding = false;
    bool hasStarted = false;
    bool keepAlive = false;
    std::string chunk;
};

HttpResponder::HttpResponder(Connection &connection)
    : connection(&connection)
{
}

net::awaitable<bool> HttpResponder::send(HttpResponse response)
{
    assert(!this->connection->hasStarted);
    this->connection->hasStarted = true;
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    setHeaders(message, response.headers);
    message.body() = std::move(response.body);
    message.keep_alive(this->connection->keepAlive);
    message.prepare_payload();
    this->connection->stream.expires_after(this->connection->options.writeTimeout);
    error_code code;
    co_await http::async_write(this->connection->stream, message, redirect(code));
    if (code)
        this->connection->keepAlive = false;
    co_return !code;
}

net::awaitable<bool> HttpResponder::startStream(int status, HttpHeaders headers)
{
    assert(!this->connection->hasStarted);
    this->connection->hasStarted = true;
    http::response<http::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(status));
    setHeaders(message, headers);
    message.keep_alive(this->connection->keepAlive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    this->connection->stream.expires_after(this->connection->options.writeTimeout);
    error_code code;
    co_await http::async_write_header(this->connection->stream, serializer, redirect(code));
    if (code)
        this->connection->keepAlive = false;
    co_return !code;
}

net::awaitable<bool> HttpResponder::write(std::string_view bytes)
{
    if (bytes.empty())
        co_return true;
    const std::string &chunk = this->connection->makeChunk(bytes);
    // The kernel nearly always accepts a whole chunk at once; only a remainder is written async.
    const std::size_t taken = this->connection->writeNonBlocking(chunk);
    if (taken == chunk.size())
        co_return true;
    this->connection->stream.expires_after(this->connection->options.writeTimeout);
    error_code code;
    co_await net::async_write(this->connection->stream, net::buffer(chunk) + taken, redirect(code));
    this->connection->stream.expires_never();
    if (code)
        this->connection->keepAlive = false;
    co_return !code;
}

bool HttpResponder::tryWrite(std::string_view bytes)
{
    const std::string &chunk = this->connection->makeChunk(bytes);
    const std::size_t taken = this->connection->writeNonBlocking(chunk);
    if (taken > 0 && taken < chunk.size())
        this->connection->stream.close();
    return taken == chunk.size();
}

net::awaitable<bool> HttpResponder::finish()
{
    this->connection->stream.expires_after(this->connection->options.writeTimeout);
    error_code code;
    co_await net::async_write(this->connection->stream, http::make_chunk_last(), redirect(code));
    if (code)
        this->connection->keepAlive = false;
    co_return !code;
}

bool HttpResponder::hasStarted() const
{
    return this->connection->hasStarted;
}

void HttpResponder::abort()
{
    this->connection->hasStarted = true;
    this->connection->keepAlive = false;
    this->connection->stream.close();
}

void HttpResponder::setCallerGoneHook(std::function<void()> hook)
{
    this->connection->callerGoneHook = std::move(hook);
    this->connection->watchCaller();
}

bool HttpResponder::isCallerGone() const
{
    return this->connection->isCallerGone();
}

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation>
{
    Implementation(net::io_context &context, HttpServerOptions options, Handler handler,
                   ErrorFormatter formatError)
        : context(context)
        , options(options)
        , handler(std::move(handler))
        , formatError(std::move(formatError))
        , acceptor(net::make_strand(context))
    {
    }

    class Registration;
    class BodyReservation;

    net::awaitable<void> accept();
    net::awaitable<void> serve(tcp::socket socket);
    net::awaitable<bool> serveOne(HttpResponder::Connection &connection);
    net::awaitable<void> answerFailure(HttpResponder::Connection &connection,
                                       HttpResponder &responder);
    net::awaitable<error_code> awaitRequest(HttpResponder::Connection &connection);
    net::awaitable<error_code> readRequest(HttpResponder::Connection &connection,
                                           RequestParser &parser, BodyReservation &reservation);
    void closeIdleConnections();
    HttpServerOptions currentOptions();

    net::io_context &context;
    std::mutex optionsMutex;
    HttpServerOptions options;
    Handler handler;
    ErrorFormatter formatError;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connectionCount = 0;
    std::atomic<bool> isClosing = false;
    /** The sum of all BodyReservation, in bytes. */
    std::atomic<std::size_t> bodyBytes = 0;
    std::mutex connectionsMutex;
    /** The open connections, by their address. */
    std::map<const HttpResponder::Connection *, std::weak_ptr<HttpResponder::Connection>>
            connections;
};

/** Lists a connection during the lifetime of the object; counts it as closed at the end. */
class HttpServer::Implementation::Registration
{
public:
    Registration(Implementation &server, std::shared_ptr<HttpResponder::Connection> listed)
        : server(server)
        , connection(std::move(listed))
    {
        const std::lock_guard lock(this->server.connectionsMutex);
        this->server.connections.emplace(this->connection.get(), this->connection);
    }

    ~Registration()
    {
        const std::lock_guard lock(this->server.connectionsMutex);
        this->server.connections.erase(this->connection.get());
        --this->server.connectionCount;
    }

    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    Implementation &server;
    std::shared_ptr<HttpResponder::Connection> connection;
};

/** The memory that the body of one request takes of the sum for all, until it is destroyed. */
class HttpServer::Implementation::BodyReservation
{
public:
    /** Creates an empty reservation. */
    BodyReservation(Implementation &server, const HttpServerOptions &options)
        : server(server)
        , limit(std::max(options.maximumTotalBodyBytes, options.maximumBodyBytes))
    {
    }

    ~BodyReservation() { this->server.bodyBytes -= this->reserved; }

    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /** Returns whether a body of this size, in bytes, fits beside those held now. */
    bool hasRoomFor(std::uint64_t bytes) const
    {
        return bytes <= uncountedBodyBytes
                || (bytes <= this->limit && this->server.bodyBytes <= this->limit - bytes);
    }

    /**
     * Raises the reservation. If the sum would exceed its limit, the whole reservation is released
     * at once, so that the requests beside it go on instead of being refused with it.
     *
     * @return whether the sum is within its limit.
     */
    bool raiseTo(std::size_t bytes)
    {
        if (bytes <= uncountedBodyBytes || bytes <= this->reserved)
            return true;
        const std::size_t added = bytes - this->reserved;
        this->reserved = bytes;
        if ((this->server.bodyBytes += added) <= this->limit)
            return true;
        this->server.bodyBytes -= std::exchange(this->reserved, 0);
        return false;
    }

private:
    Implementation &server;
    std::size_t limit;
    std::size_t reserved = 0;
};

net::awaitable<void> HttpServer::Implementation::accept()
{
    auto self = this->shared_from_this();
    while (this->acceptor.is_open()) {
        error_code code;
        auto strand = net::make_strand(this->context);
        tcp::socket socket = co_await this->acceptor.async_accept(strand, redirect(code));
        if (code == net::error::operation_aborted)
            co_return;
        if (code) {
            // When descriptors run out, accept() fails at once and would be retried in a busy loop.
            net::steady_timer pause(co_await net::this_coro::executor, acceptRetryDelay);
            co_await pause.async_wait(redirect(code));
            continue;
        }
        if (this->connectionCount >= this->currentOptions().maximumConnections)
            continue;
        ++this->connectionCount;
        net::co_spawn(
                strand,
                [self, moved = std::move(socket)]() mutable {
                    return self->serve(std::move(moved));
                },
                net::detached);
    }
}

net::awaitable<void> HttpServer::Implementation::serve(tcp::socket socket)
{
    auto self = this->shared_from_this();
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection =
            std::make_shared<HttpResponder::Connection>(std::move(socket), this->currentOptions());
    const Registration registration(*this, connection);
    while (co_await this->serveOne(*connection)) { }
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (connection->hasStarted && connection->stream.socket().is_open())
        co_await connection->readUntilClosed();
}

net::awaitable<bool> HttpServer::Implementation::serveOne(HttpResponder::Connection &connection)
{
    // A connection that is closed while it waits has no response on its way.
    connection.hasStarted = false;
    error_code code;
    if (connection.buffer.size() == 0)
        code = co_await this->awaitRequest(connection);
    if (code)
        co_return false;
    connection.options = this->currentOptions();
    BodyReservation reservation(*this, connection.options);
    RequestParser parser;
    parser.body_limit(connection.options.maximumBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(connection.options.maximumHeaderBytes));
    if (connection.buffer.size() == 0) {
        connection.stream.expires_after(connection.options.readTimeout);
        const auto space = connection.buffer.prepare(initialReadBytes);
        const std::size_t received =
                co_await connection.stream.async_read_some(space, redirect(code));
        connection.buffer.commit(received);
    }
    const bool hasReceivedBytes = connection.buffer.size() > 0;
    connection.stream.expires_after(connection.options.readTimeout);
    if (!code)
        code = co_await this->readRequest(connection, parser, reservation);
    // A request that was received together with this one is answered as well.
    const bool isLast = this->isClosing && connection.buffer.size() == 0;
    connection.keepAlive = !code && parser.get().keep_alive() && !isLast;
    HttpResponder responder(connection);
    if (code) {
        // A connection that times out while idle has sent no request, so it gets no response.
        const bool isSlow = code == beast::error::timeout && hasReceivedBytes;
        if (isHttpError(code) || isSlow || code == net::error::no_memory)
            co_await responder.send(this->formatError(readError(code)));
        co_return false;
    }
    connection.stream.expires_never();
    std::exception_ptr failure;
    try {
        const HttpRequest request = toRequest(parser.release());
        co_await this->handler(request, responder);
    } catch (...) {
        failure = std::current_exception();
    }
    connection.callerGoneHook = nullptr;
    if (failure) {
        co_await this->answerFailure(connection, responder);
        std::rethrow_exception(failure);
    }
    assert(connection.hasStarted);
    co_return connection.keepAlive;
}

/**
 * Reads a request; fails with no_memory if its body does not fit beside those of other requests.
 *
 * Bytes are reserved as they arrive, so a caller that announces a body and sends none holds nothing
 * back from others.
 */
net::awaitable<error_code> HttpServer::Implementation::readRequest(
        HttpResponder::Connection &connection, RequestParser &parser, BodyReservation &reservation)
{
    error_code code;
    // The buffer is all that bounds a chunk extension.
    connection.buffer.max_size(
            std::max(minimumBufferBytes, 2 * connection.options.maximumHeaderBytes));
    co_await http::async_read_header(connection.stream, connection.buffer, parser, redirect(code));
    if (code)
        co_return code;
    const auto announced = parser.content_length();
    if (announced && !reservation.hasRoomFor(*announced))
        co_return net::error::no_memory;
    parser.eager(true);
    while (!code && !parser.is_done()) {
        co_await http::async_read_some(connection.stream, connection.buffer, parser,
                                       redirect(code));
        if (!code && !reservation.raiseTo(parser.get().body().size()))
            code = net::error::no_memory;
    }
    co_return code;
}

/** Answers a request whose handler ended with an exception, or cuts the response that it began. */
net::awaitable<void> HttpServer::Implementation::answerFailure(
        HttpResponder::Connection &connection, HttpResponder &responder)
{
    connection.keepAlive = false;
    if (connection.hasStarted) {
        responder.abort();
        co_return;
    }
    const Error error{
            ErrorCode::Internal, RunState::OutcomeUnknown, "the request could not be handled", {}};
    co_await responder.send(this->formatError(error));
}

/**
 * Waits for the first byte of a request, without reading it. At the end of the idle time the limit
 * is looked up again: a caller that knows a longer one may still send a request.
 */
net::awaitable<error_code> HttpServer::Implementation::awaitRequest(
        HttpResponder::Connection &connection)
{
    const auto idleSince = std::chrono::steady_clock::now();
    error_code code = net::error::operation_aborted;
    while (code == net::error::operation_aborted) {
        const auto idleUntil = idleSince + this->currentOptions().idleTimeout;
        const bool isOver = connection.isEnding || idleUntil <= std::chrono::steady_clock::now();
        // A request that has just arrived is served.
        if (isOver && !connection.hasUnreadBytes())
            break;
        connection.cancelWaitAt(idleUntil);
        connection.isIdle = true;
        co_await connection.stream.socket().async_wait(tcp::socket::wait_read, redirect(code));
        connection.isIdle = false;
        connection.idleTimer.cancel();
    }
    co_return code;
}

void HttpServer::Implementation::closeIdleConnections()
{
    const std::lock_guard lock(this->connectionsMutex);
    for (const auto &[address, weak] : this->connections) {
        if (const auto connection = weak.lock())
            net::post(connection->stream.get_executor(), [connection] { connection->endIfIdle(); });
    }
}

HttpServerOptions HttpServer::Implementation::currentOptions()
{
    const std::lock_guard lock(this->optionsMutex);
    return this->options;
}

HttpServer::HttpServer(net::io_context &context, HttpServerOptions options, Handler handler,
                       ErrorFormatter formatError)
    : implementation(std::make_shared<Implementation>(context, options, std::move(handler),
                                                      std::move(formatError)))
{
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
}

std::optional<Endpoint> HttpServer::listen(const Endpoint &endpoint, Error &reason)
{
    tcp::acceptor &acceptor = this->implementation->acceptor;
    auto boundEndpoint = listenOn(acceptor, endpoint, reason);
    if (!boundEndpoint)
        return std::nullopt;
    net::co_spawn(
            acceptor.get_executor(), [self = this->implementation] { return self->accept(); },
            net::detached);
    return boundEndpoint;
}

void HttpServer::setOptions(const HttpServerOptions &options)
{
    const std::lock_guard lock(this->implementation->optionsMutex);
    this->implementation->options = options;
}

void HttpServer::stopAccepting()
{
    net::post(this->implementation->acceptor.get_executor(), [self = this->implementation] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
}

void HttpServer::closeAfterResponses()
{
    this->implementation->isClosing = true;
}

void HttpServer::closeIdleConnections()
{
    this->implementation->closeIdleConnections();
}

std::size_t HttpServer::openConnections() const
{
    return this->implementation->connectionCount;
}

} // namespace sassafrasyard
