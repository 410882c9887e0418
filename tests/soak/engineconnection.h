#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** What ends the body of a stream. */
enum class StreamFraming {
    /** Its last chunk. */
    Chunks,
    /** The close of its connection; the response has neither a length nor chunks. */
    Close,
};

/**
 * A connection to an engine of a test, which reads requests and writes their responses.
 *
 * Unlike HttpResponder, it can send a body without framing and can lose a response.
 */
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
    /** Handles one request: sends a response or ends the connection before it returns. */
    using Handler =
            std::function<boost::asio::awaitable<void>(const HttpRequest &, EngineConnection &)>;

    /** Takes an open connection. */
    explicit EngineConnection(boost::asio::ip::tcp::socket socket);
    EngineConnection(const EngineConnection &) = delete;
    EngineConnection &operator=(const EngineConnection &) = delete;

    /** Reads and handles requests until the connection ends; the caller keeps the object. */
    boost::asio::awaitable<void> serve(Handler handler);

    /** Sends a whole response. @return false if the host has disconnected. */
    boost::asio::awaitable<bool> send(HttpResponse response);

    /** Sends the header of a stream. @return false if the host has disconnected. */
    boost::asio::awaitable<bool> startStream(HttpHeaders headers, StreamFraming streamFraming);

    /** Sends an event of a stream. @return false if the host has disconnected. */
    boost::asio::awaitable<bool> write(std::string_view event);

    /** Ends a stream as complete. */
    boost::asio::awaitable<void> finish();

    /** Ends the connection in order after the bytes that were sent. */
    void close();

    /** Resets the connection. */
    void reset();

    /** Closes the socket at once, as the end of the process does. */
    void exit();

    /** Sets a hook that runs if the host disconnects before the handler returns. */
    void setCallerGoneHook(std::function<void()> hook);

private:
    boost::asio::awaitable<bool> writeAll(std::string_view bytes);
    boost::asio::awaitable<void> readUntilClosed();
    void watchCaller();
    bool isCallerGone();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::function<void()> callerGoneHook;
    StreamFraming framing = StreamFraming::Chunks;
    bool isWatching = false;
    bool keepAlive = false;
};

} // namespace sassafrasyard
