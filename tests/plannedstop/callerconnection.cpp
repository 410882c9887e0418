#include "callerconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <sstream>
#include <string_view>
#include <utility>

#include <sys/socket.h>

namespace sassafrasyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/** The largest chunk of a body, in bytes. */
constexpr std::size_t maximumChunkBytes = 8;

/** Returns a body in chunked transfer coding. */
std::string toChunks(std::string_view body)
{
    std::ostringstream text;
    for (; !body.empty(); body.remove_prefix(std::min(body.size(), maximumChunkBytes))) {
        const std::string_view chunk = body.substr(0, maximumChunkBytes);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

/** A host that closes a connection with unread bytes sends its reset right after its FIN. */
constexpr Milliseconds resetWait{20};

} // namespace

CallerConnection::CallerConnection(net::io_context &context, Endpoint endpoint)
    : socket(context)
    , endpoint(std::move(endpoint))
{
}

net::awaitable<bool> CallerConnection::connect()
{
    error_code code;
    const net::ip::tcp::endpoint address(net::ip::make_address(this->endpoint.address),
                                         this->endpoint.port);
    co_await this->socket.async_connect(address, net::redirect_error(net::use_awaitable, code));
    if (code)
        this->socket.close();
    co_return !code;
}

net::awaitable<CallResult> CallerConnection::call(HttpRequest request)
{
    CallResult result;
    bool isOpen = this->socket.is_open();
    if (!isOpen)
        isOpen = co_await this->connect();
    result.end = CallEnd::NotConnected;
    if (isOpen)
        result.end = co_await this->send(toText(request));
    if (result.end == CallEnd::Pending)
        result = co_await this->receive();
    co_return result;
}

net::awaitable<CallEnd> CallerConnection::send(std::string bytes)
{
    if (this->isClosedByHost())
        co_return CallEnd::ClosedBeforeSending;
    error_code code;
    co_await net::async_write(this->socket, net::buffer(bytes),
                              net::redirect_error(net::use_awaitable, code));
    co_return code ? CallEnd::Reset : CallEnd::Pending;
}

net::awaitable<CallResult> CallerConnection::receive()
{
    CallResult result;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code code;
    co_await http::async_read(this->socket, this->buffer, parser,
                              net::redirect_error(net::use_awaitable, code));
    if (code == http::error::end_of_stream) {
        net::steady_timer timer(this->socket.get_executor(), resetWait);
        co_await timer.async_wait(net::use_awaitable);
        result.end = this->hasSocketError() ? CallEnd::Reset : CallEnd::Closed;
    } else if (code) {
        result.end = parser.got_some() ? CallEnd::Cut : CallEnd::Reset;
        result.response.body = std::move(parser.get().body());
    } else {
        result.end = CallEnd::Response;
        result.response.status = static_cast<int>(parser.get().result_int());
        for (const auto &field : parser.get()) {
            result.response.headers.emplace_back(std::string(field.name_string()),
                                                 std::string(field.value()));
        }
        result.response.body = parser.get().body();
    }
    co_return result;
}

std::string CallerConnection::toText(const HttpRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (findHeader(request.headers, "Transfer-Encoding"))
        return text + "\r\n" + toChunks(request.body);
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
            + request.body;
}

bool CallerConnection::isClosedByHost()
{
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/** Returns whether a reset arrived after the FIN. */
bool CallerConnection::hasSocketError()
{
    int value = 0;
    socklen_t size = sizeof value;
    ::getsockopt(this->socket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size);
    return value != 0;
}

} // namespace sassafrasyard
