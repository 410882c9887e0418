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

/** Limits of an HttpConnectionPool. */
struct HttpConnectionPoolOptions
{
    /** The maximum number of idle connections to one peer. */
    std::size_t idlePerPeer = 8;
    /** How long a connection may be idle if the peer sends no Keep-Alive, in milliseconds. */
    Milliseconds idleTimeout{900};
    /** How long before the peer's Keep-Alive timeout a connection is closed, in milliseconds. */
    Milliseconds keepAliveMargin{500};
};

/** Limits of HttpConnectionPool::call(). */
struct HttpCallLimits
{
    /** The longest time that a reused connection may have been idle, in milliseconds. */
    Milliseconds maximumIdle{0};
    /** Until a new connection is established, in milliseconds. */
    Milliseconds connect{0};
    /** For the response's header, and again for its whole body, in milliseconds. */
    Milliseconds responseTimeout{0};
    /** The largest accepted body of a response, in bytes. */
    std::size_t maximumResponseBytes = 0;
};

/** Pools connections to HTTP servers. Not thread-safe: all calls come from one thread. */
class HttpConnectionPool
{
public:
    /** Creates an empty pool. @param clock measures the age of idle connections. */
    HttpConnectionPool(boost::asio::io_context &context, Clock clock,
                       HttpConnectionPoolOptions options = {});
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /**
     * Returns an idle connection or opens one.
     *
     * @param maximumIdle the longest time that a reused connection may have been idle; zero opens a
     *     new one always, for requests that must not run twice: a peer may have dropped an idle
     *     connection without notice.
     * @param reason receives ConnectionFailed or Timeout with NotRun.
     */
    boost::asio::awaitable<std::unique_ptr<HttpConnection>> acquire(Endpoint endpoint,
                                                                    Milliseconds maximumIdle,
                                                                    Milliseconds connectTimeout,
                                                                    Error &reason);

    /** Returns a connection to the pool; it is closed unless it can be reused. */
    void release(std::unique_ptr<HttpConnection> connection);

    /**
     * Sends a request on an idle or new connection and reads the whole response.
     *
     * @param request gets a Host field.
     * @param reason as for acquire(), HttpConnection::exchange() and HttpConnection::readAll().
     */
    boost::asio::awaitable<std::optional<HttpResponse>> call(Endpoint endpoint, HttpRequest request,
                                                             HttpCallLimits limits, Error &reason);

    /** Closes connections that have been idle for too long. Call it about once a second. */
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
