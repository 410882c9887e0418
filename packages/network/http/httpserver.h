#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"
#include "network/http/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace sassafrasyard {

/** Writes the response to one request: either send(), or startStream(), write()... and finish().
 */
class HttpResponder
{
public:
    /** The connection that the response is written to; internal to the server. */
    struct Connection;

    /** Creates a responder; called by the server only. */
    explicit HttpResponder(Connection &connection);
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /** Sends a whole response. @return false if the caller has disconnected. */
    boost::asio::awaitable<bool> send(HttpResponse response);

    /** Sends the header of a chunked response. @return false if the caller has disconnected. */
    boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers);

    /**
     * Sends one chunk and waits until the kernel accepts it, within the server's write timeout.
     *
     * @return false if the caller has disconnected or does not read.
     */
    boost::asio::awaitable<bool> write(std::string_view bytes);

    /**
     * Sends one chunk if the kernel accepts all of it at once; never waits.
     *
     * @return false if it was not sent. The connection is closed if only a part was accepted.
     */
    bool tryWrite(std::string_view bytes);

    /** Ends a chunked response. @return false if the caller has disconnected. */
    boost::asio::awaitable<bool> finish();

    /** Closes the connection, so that a response in progress does not appear complete. */
    void abort();

    /**
     * Sets a hook that runs once, on the connection's strand, when the caller disconnects before
     * the handler returns.
     *
     * @param hook may refer to the handler's state; it is destroyed when the handler returns.
     */
    void setCallerGoneHook(std::function<void()> hook);

    /** Returns whether a response was sent, started or aborted. */
    bool hasStarted() const;

    /** Returns whether the caller has disconnected, checked without blocking. */
    bool isCallerGone() const;

private:
    Connection *connection;
};

/** Limits of an HTTP server. */
struct HttpServerOptions
{
    /** The largest accepted body, in bytes. */
    std::size_t maximumBodyBytes = 4U << 20U;
    /**
     * The largest sum of the bodies of requests in progress, in bytes, or maximumBodyBytes if that
     * is larger. Each is held up to three times while it is forwarded, so the default is about a
     * third of the smallest hosts' memory.
     */
    std::size_t maximumTotalBodyBytes = 12U << 20U;
    /** The largest accepted header, in bytes. */
    std::size_t maximumHeaderBytes = 16U << 10U;
    /** How long a connection may stay idle between requests, in milliseconds. */
    Milliseconds idleTimeout{60000};
    /** The limit from the first byte of a request to its end, in milliseconds. */
    Milliseconds readTimeout{60000};
    /** How long one write may take, in milliseconds. */
    Milliseconds writeTimeout{30000};
    /** The maximum number of open connections; further ones are closed on accept. */
    std::size_t maximumConnections = 20000;
};

/** An HTTP/1.1 server that runs a handler coroutine on one strand per connection. */
class HttpServer
{
public:
    /** Handles one request; must send or abort a response before it returns. */
    using Handler =
            std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;
    /** Formats the response to a request that could not be read; the run state is NotRun. */
    using ErrorFormatter = std::function<HttpResponse(const Error &)>;

    /** Creates a server that does not listen yet. */
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, Handler handler,
               ErrorFormatter formatError);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /**
     * Starts listening.
     *
     * @param endpoint port 0 takes a free port.
     * @return the bound endpoint, or nothing with the reason ConnectionFailed.
     */
    std::optional<Endpoint> listen(const Endpoint &endpoint, Error &reason);

    /** Replaces the limits; requests that are being read keep the previous ones. */
    void setOptions(const HttpServerOptions &options);

    /** Stops accepting connections; open ones are still served. */
    void stopAccepting();

    /** From now on, closes each connection after its next response. */
    void closeAfterResponses();

    /** Closes the connections that wait for a request, for a planned stop. */
    void closeIdleConnections();

    /** Returns the number of open connections. */
    std::size_t openConnections() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
