#pragma once

#include "core/core.h"
#include "network/network.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace sassafrasyard {

/**
 * Sends requests to peers over connections that are used again, one request at a time on each.
 *
 * A connection is removed from the idle ones while it is in use, so a concurrent request opens its
 * own. All functions are called on one thread.
 */
class PeerConnections
{
public:
    /** Creates an object without connections. @param maximumIdle limits the idle connections. */
    PeerConnections(Clock clock, std::size_t maximumIdle);
    PeerConnections(const PeerConnections &) = delete;
    PeerConnections &operator=(const PeerConnections &) = delete;

    /**
     * Sends a request and waits for the reply with its sequence number.
     *
     * @param timeout for the whole exchange, in milliseconds.
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    template <typename Reply, typename Request>
    boost::asio::awaitable<std::optional<Reply>> exchange(std::string address, Request request,
                                                          Milliseconds timeout, Error &reason)
    {
        const PeerMessage message = request;
        const std::string payload = encodeMessage(message);
        auto exchanged = co_await this->exchangeFrames(address, payload, timeout, reason);
        if (!exchanged)
            co_return std::nullopt;
        auto decoded = decodeMessage(exchanged->reply, reason);
        auto *reply = decoded ? std::get_if<Reply>(&*decoded) : nullptr;
        if (reply == nullptr || reply->sequence != request.sequence) {
            if (decoded)
                reason = unmatchedReplyError();
            co_return std::nullopt;
        }
        this->keep(std::move(address), std::move(exchanged->connection));
        co_return std::move(*reply);
    }

    /** Returns the number of idle connections. */
    std::size_t idleCount() const;

private:
    struct IdleConnection
    {
        std::string address;
        std::unique_ptr<FrameConnection> connection;
        Milliseconds idleSince{0};
    };

    struct Exchanged
    {
        std::string reply;
        std::unique_ptr<FrameConnection> connection;
    };

    boost::asio::awaitable<std::optional<Exchanged>> exchangeFrames(const std::string &address,
                                                                    const std::string &payload,
                                                                    Milliseconds timeout,
                                                                    Error &reason);
    std::unique_ptr<FrameConnection> take(const std::string &address);
    void keep(std::string address, std::unique_ptr<FrameConnection> connection);
    static Error unmatchedReplyError();

    Clock clock;
    std::size_t maximumIdle;
    /** Ordered by the time since which they are idle, the longest first. */
    std::list<IdleConnection> idle;
};

} // namespace sassafrasyard
