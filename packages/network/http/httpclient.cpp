#include "network/http/httpclient.h"

#include "network/http/httpconnection.h"

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The largest body that is buffered, in bytes; limits the memory of one request. */
constexpr std::size_t maximumResponseBytes = 64U << 20U;

/** Connects, sends the request and reads the header of its response. */
net::awaitable<std::optional<HttpResponse>> connectAndSend(HttpConnection &connection,
                                                           HttpRequest request,
                                                           HttpTimeouts timeouts, Error &reason)
{
    const bool isOpen = co_await connection.connect(timeouts.connect, reason);
    if (!isOpen)
        co_return std::nullopt;
    request.headers.insert(request.headers.begin(), {"Host", connection.endpoint().toString()});
    co_return co_await connection.exchange(request, timeouts.response, reason);
}

/** Reads the whole body into the response. */
net::awaitable<std::optional<HttpResponse>> readBody(HttpConnection &connection,
                                                     HttpResponse response, Milliseconds timeout,
                                                     Error &reason)
{
    auto body = co_await connection.readAll(maximumResponseBytes, timeout, reason);
    if (!body)
        co_return std::nullopt;
    response.body = std::move(*body);
    co_return response;
}

} // namespace

net::awaitable<std::optional<HttpResponse>> sendHttpRequest(const Endpoint &endpoint,
                                                            const HttpRequest &request,
                                                            HttpTimeouts timeouts, Error &reason)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    HttpConnection connection(executor, endpoint);
    auto response = co_await connectAndSend(connection, request, timeouts, reason);
    if (!response)
        co_return std::nullopt;
    co_return co_await readBody(connection, std::move(*response), timeouts.response, reason);
}

HttpStream::HttpStream() = default;

HttpStream::~HttpStream() = default;

net::awaitable<std::optional<HttpResponse>> HttpStream::open(const Endpoint &endpoint,
                                                             const HttpRequest &request,
                                                             HttpTimeouts timeouts, Error &reason)
{
    constexpr int successStatus = 200;
    const net::any_io_executor executor = co_await net::this_coro::executor;
    this->connection = std::make_unique<HttpConnection>(executor, endpoint);
    this->connection->setIdleHook(this->idleHook);
    auto response = co_await connectAndSend(*this->connection, request, timeouts, reason);
    if (!response || response->status == successStatus)
        co_return response;
    co_return co_await readBody(*this->connection, std::move(*response), timeouts.response, reason);
}

net::awaitable<std::optional<std::string_view>> HttpStream::read(Milliseconds timeout,
                                                                 Error &reason)
{
    co_return co_await this->connection->read(timeout, reason);
}

void HttpStream::setIdleHook(std::function<void()> hook)
{
    this->idleHook = std::move(hook);
    if (this->connection)
        this->connection->setIdleHook(this->idleHook);
}

void HttpStream::close()
{
    if (this->connection)
        this->connection->close();
}

} // namespace sassafrasyard
