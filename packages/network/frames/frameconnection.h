#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** The largest frame between entry hosts, in bytes, header included. */
inline constexpr std::size_t maximumFrameBytes = 4U << 20U;

/** One length-prefixed frame: 4 bytes of length (big-endian, of what follows), then the payload. */
class FrameConnection
{
public:
    /** Takes over a connected socket. */
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    /**
     * Connects to a peer.
     *
     * @param timeout for the connection to stand, in milliseconds.
     * @param reason receives ConnectionFailed or Timeout, with NotRun.
     */
    static boost::asio::awaitable<std::unique_ptr<FrameConnection>> connect(
            const Endpoint &endpoint, Milliseconds timeout, Error &reason);

    /** Sends a frame. @param reason receives ConnectionFailed or Timeout. */
    boost::asio::awaitable<bool> send(std::string_view payload, Milliseconds timeout,
                                      Error &reason);

    /** Receives a frame. @param reason receives ConnectionFailed, Timeout or ProtocolViolation. */
    boost::asio::awaitable<std::optional<std::string>> receive(Milliseconds timeout, Error &reason);

    /** Closes the connection. */
    void close();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/** Accepts frame connections; the handler is a coroutine with its own strand per connection. */
class FrameServer
{
public:
    /** Serves one connection until it returns. */
    using Handler = std::function<boost::asio::awaitable<void>(FrameConnection &)>;

    /** Creates a server that does not listen yet. */
    FrameServer(boost::asio::io_context &context, Handler handler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /** Starts listening. @return the endpoint in use, or nothing with ConnectionFailed. */
    std::optional<Endpoint> listen(const Endpoint &endpoint, Error &reason);

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
