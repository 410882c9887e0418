#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Returns the value of a field of an HTTP header, or an empty text if it is missing. */
inline std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/**
 * Reads a request with its body, because a close with unread bytes resets the connection.
 *
 * @return its header, or an empty text if the connection was closed before its end.
 */
inline boost::asio::awaitable<std::string> readHead(boost::asio::ip::tcp::socket &socket)
{
    namespace net = boost::asio;
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::string text;
    std::array<char, 4096> bytes{};
    std::size_t bodyStart = std::string::npos;
    std::size_t length = 0;
    while (bodyStart == std::string::npos || text.size() < bodyStart + length) {
        boost::system::error_code code;
        const std::size_t count = co_await socket.async_read_some(
                net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
        if (code)
            co_return std::string();
        text.append(bytes.data(), count);
        const std::size_t end = text.find(headEnd);
        if (end == std::string::npos)
            continue;
        bodyStart = end + headEnd.size();
        const std::string stated = fieldOf(text, "Content-Length");
        length = stated.empty() ? 0 : std::stoull(stated);
    }
    co_return text.substr(0, bodyStart);
}

/** Reads the header of a request and leaves most of a long body unread. */
inline boost::asio::awaitable<std::string> readHeadOnly(boost::asio::ip::tcp::socket &socket)
{
    namespace net = boost::asio;
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::string text;
    std::array<char, 512> bytes{};
    while (text.find(headEnd) == std::string::npos) {
        boost::system::error_code code;
        const std::size_t count = co_await socket.async_read_some(
                net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
        if (code)
            co_return std::string();
        text.append(bytes.data(), count);
    }
    co_return text.substr(0, text.find(headEnd) + headEnd.size());
}

/** Sends bytes. @return whether the connection is still open. */
inline boost::asio::awaitable<bool> sendText(boost::asio::ip::tcp::socket &socket, std::string text)
{
    namespace net = boost::asio;
    boost::system::error_code code;
    co_await net::async_write(socket, net::buffer(text),
                              net::redirect_error(net::use_awaitable, code));
    co_return !code;
}

/** Resets a connection. */
inline void resetConnection(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace sassafrasyard
