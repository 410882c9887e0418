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

/** A TCP connection of frames: a 4-byte big-endian length of the payload, then the payload. */
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
     * @param timeout until the connection is established, in milliseconds.
     * @param reason receives ConnectionFailed or Timeout, with NotRun.
     */
    static boost::asio::awaitable<std::unique_ptr<FrameConnection>> connect(
            const Endpoint &endpoint, Milliseconds timeout, Error &reason);

    /** Sends a frame. @param reason receives ConnectionFailed or Timeout. */
    boost::asio::awaitable<bool> send(std::string_view payload, Milliseconds timeout,
                                      Error &reason);

    /** Receives a frame. @param reason receives ConnectionFailed, Timeout or ProtocolViolation. */
    boost::asio::awaitable<std::optional<std::string>> receive(Milliseconds timeout, Error &reason);

    /** Closes the connection; pending operations fail. */
    void close();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/** Accepts frame connections and runs a handler coroutine on a strand of its own for each. */
class FrameServer
{
public:
    /** Serves one connection, which is closed when the coroutine returns. */
    using Handler = std::function<boost::asio::awaitable<void>(FrameConnection &)>;

    /** Creates a server that does not listen yet. */
    FrameServer(boost::asio::io_context &context, Handler handler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /** Starts listening. @return the bound endpoint, or nothing with ConnectionFailed. */
    std::optional<Endpoint> listen(const Endpoint &endpoint, Error &reason);

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
