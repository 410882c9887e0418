#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"
#include "network/http/httpconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/** Bounds of an HttpConnectionPool. */
struct HttpConnectionPoolOptions
{
    /** How many idle connections are kept to one peer. */
    std::size_t idlePerPeer = 8;
    /** How long an idle connection is kept if the peer does not say, in milliseconds. */
    Milliseconds idleTimeout{900};
    /** How much earlier than the peer an idle connection is given up, in milliseconds. */
    Milliseconds keepAliveMargin{500};
};

/** Bounds of HttpConnectionPool::call(). */
struct HttpCallLimits
{
    /** The longest time that a kept connection may have been idle, in milliseconds. */
    Milliseconds maximumIdle{0};
    /** Until a new connection stands, in milliseconds. */
    Milliseconds connect{0};
    /** For the header of the answer, and for each piece of its body, in milliseconds. */
    Milliseconds responseTimeout{0};
    /** The largest body of an answer, in bytes. */
    std::size_t maximumResponseBytes = 0;
};

/** Kept connections to HTTP servers. All calls come from one thread. */
class HttpConnectionPool
{
public:
    /** Creates an empty pool. @param clock dates idle connections. */
    HttpConnectionPool(boost::asio::io_context &context, Clock clock,
                       HttpConnectionPoolOptions options = {});
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /**
     * Returns a kept connection or opens one.
     *
     * @param maximumIdle the longest time that a kept connection may have been idle; zero opens a
     *     new one always. A peer may drop an idle connection unseen, so what must not run twice
     *     wants a fresh one.
     * @param reason receives ConnectionFailed or Timeout with NotRun.
     */
    boost::asio::awaitable<std::unique_ptr<HttpConnection>> acquire(Endpoint endpoint,
                                                                    Milliseconds maximumIdle,
                                                                    Milliseconds connectTimeout,
                                                                    Error &reason);

    /** Takes a connection back; it is closed unless another request may follow on it. */
    void release(std::unique_ptr<HttpConnection> connection);

    /**
     * Sends a request on a kept or new connection and reads the whole response.
     *
     * @param request gets a Host field.
     * @param reason as for acquire(), HttpConnection::exchange() and HttpConnection::readAll().
     */
    boost::asio::awaitable<std::optional<HttpResponse>> call(Endpoint endpoint, HttpRequest request,
                                                             HttpCallLimits limits, Error &reason);

    /** Closes what has been idle for too long. Call it about once a second. */
    void closeExpired();

    /** Returns the number of idle connections. */
    std::size_t idleCount() const;

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpConnection> connection;
        Milliseconds idleSince{0};
        Milliseconds expiresAt{0};
    };

    boost::asio::io_context &context;
    Clock clock;
    HttpConnectionPoolOptions options;
    std::map<std::string, std::deque<IdleConnection>> idleConnections;
};

} // namespace sassafrasyard
