#include "engineconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <sstream>
#include <utility>

#include <sys/socket.h>

namespace sassafrasyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr unsigned httpVersion = 11;
constexpr unsigned successStatus = 200;

auto redirect(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

void setHeaders(http::fields &fields, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers)
        fields.insert(name, value);
}

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

} // namespace

EngineConnection::EngineConnection(tcp::socket socket)
    : socket(std::move(socket))
{
}

net::awaitable<void> EngineConnection::serve(Handler handler)
{
    do {
        http::request<http::string_body> parsed;
        error_code code;
        co_await http::async_read(this->socket, this->buffer, parsed, redirect(code));
        this->keepAlive = !code && parsed.keep_alive();
        if (code)
            break;
        const HttpRequest request = toRequest(std::move(parsed));
        co_await handler(request, *this);
        this->callerGoneHook = nullptr;
    } while (this->keepAlive);
    co_await this->readUntilClosed();
}

net::awaitable<bool> EngineConnection::send(HttpResponse response)
{
    http::response<http::string_body> message;
    message.version(httpVersion);
    message.result(static_cast<unsigned>(response.status));
    setHeaders(message, response.headers);
    message.body() = std::move(response.body);
    message.keep_alive(this->keepAlive);
    message.prepare_payload();
    error_code code;
    co_await http::async_write(this->socket, message, redirect(code));
    this->keepAlive = this->keepAlive && !code;
    co_return !code;
}

net::awaitable<bool> EngineConnection::startStream(HttpHeaders headers, StreamFraming streamFraming)
{
    this->framing = streamFraming;
    this->keepAlive = this->keepAlive && this->framing == StreamFraming::Chunks;
    http::response<http::empty_body> message;
    message.version(httpVersion);
    message.result(successStatus);
    setHeaders(message, headers);
    message.keep_alive(this->keepAlive);
    message.chunked(this->framing == StreamFraming::Chunks);
    http::response_serializer<http::empty_body> serializer(message);
    error_code code;
    co_await http::async_write_header(this->socket, serializer, redirect(code));
    this->keepAlive = this->keepAlive && !code;
    co_return !code;
}

net::awaitable<bool> EngineConnection::write(std::string_view event)
{
    if (this->framing == StreamFraming::Close)
        co_return co_await this->writeAll(event);
    std::ostringstream chunk;
    chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
    const std::string bytes = chunk.str();
    co_return co_await this->writeAll(bytes);
}

net::awaitable<void> EngineConnection::finish()
{
    if (this->framing == StreamFraming::Close)
        this->close();
    else
        co_await this->writeAll("0\r\n\r\n");
}

void EngineConnection::close()
{
    this->keepAlive = false;
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void EngineConnection::reset()
{
    error_code ignored;
    this->socket.set_option(net::socket_base::linger(true, 0), ignored);
    this->exit();
}

void EngineConnection::exit()
{
    this->keepAlive = false;
    error_code ignored;
    this->socket.close(ignored);
}

void EngineConnection::setCallerGoneHook(std::function<void()> hook)
{
    this->callerGoneHook = std::move(hook);
    this->watchCaller();
}

net::awaitable<bool> EngineConnection::writeAll(std::string_view bytes)
{
    error_code code;
    co_await net::async_write(this->socket, net::buffer(bytes), redirect(code));
    this->keepAlive = this->keepAlive && !code;
    co_return !code;
}

/** Discards what arrives until the host closes, because a close with unread bytes is a reset. */
net::awaitable<void> EngineConnection::readUntilClosed()
{
    constexpr std::chrono::seconds longestWait{1};
    this->close();
    net::steady_timer timer(this->socket.get_executor(), longestWait);
    timer.async_wait([weak = this->weak_from_this()](error_code code) {
        const auto self = weak.lock();
        if (!code && self)
            self->exit();
    });
    std::array<char, 1024> bytes{};
    error_code code;
    while (!code)
        co_await this->socket.async_read_some(net::buffer(bytes), redirect(code));
    this->exit();
}

/** Waits until the host sends a byte or disconnects; at most one wait is pending. */
void EngineConnection::watchCaller()
{
    if (std::exchange(this->isWatching, true))
        return;
    this->socket.async_wait(tcp::socket::wait_read,
                            [weak = this->weak_from_this()](error_code code) {
                                const auto self = weak.lock();
                                if (!self)
                                    return;
                                self->isWatching = false;
                                if (!code && self->callerGoneHook && self->isCallerGone())
                                    std::exchange(self->callerGoneHook, nullptr)();
                            });
}

bool EngineConnection::isCallerGone()
{
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace sassafrasyard
