#pragma once

#include "callresult.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <string>

namespace sassafrasyard {

/** A caller's connection, which tells an orderly close by the host from a reset. */
class CallerConnection
{
public:
    /** Creates a connection that is not open. */
    CallerConnection(boost::asio::io_context &context, Endpoint endpoint);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Connects. @return whether the host accepted. */
    boost::asio::awaitable<bool> connect();

    /** Sends a request, connecting first if necessary, and reads its response. */
    boost::asio::awaitable<CallResult> call(HttpRequest request);

    /** Sends bytes. @return Pending if they were sent, or why they were not. */
    boost::asio::awaitable<CallEnd> send(std::string bytes);

    /** Reads the next response. */
    boost::asio::awaitable<CallResult> receive();

    /**
     * Returns a request as the bytes of HTTP/1.1; its body is in chunks if a header field says so.
     */
    static std::string toText(const HttpRequest &request);

private:
    bool isClosedByHost();
    bool hasSocketError();

    boost::asio::ip::tcp::socket socket;
    Endpoint endpoint;
    boost::beast::flat_buffer buffer;
};

} // namespace sassafrasyard
