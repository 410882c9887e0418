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

/** Writes the answer to one request: either send() once, or startStream(), write()... and finish().
 */
class HttpResponder
{
public:
    /** The connection behind the responder. */
    struct Connection;

    /** Used by the server only. */
    explicit HttpResponder(Connection &connection);
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /** Sends a whole response. @return false if the caller has gone away. */
    boost::asio::awaitable<bool> send(HttpResponse response);

    /** Sends the header of a chunked response. @return false if the caller has gone away. */
    boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers);

    /**
     * Sends one chunk and waits until the kernel took it, at most for the server's write timeout.
     *
     * @return false if the caller has gone away or does not read.
     */
    boost::asio::awaitable<bool> write(std::string_view bytes);

    /**
     * Sends one chunk if the kernel takes it whole at once; never waits.
     *
     * @return false if it was not sent. The connection is closed if only a part was taken.
     */
    bool tryWrite(std::string_view bytes);

    /** Ends a chunked response. @return false if the caller has gone away. */
    boost::asio::awaitable<bool> finish();

    /** Closes the connection, so that an answer that was started does not look complete. */
    void abort();

    /**
     * Sets what is called once, on the connection's strand, when the caller closes its side before
     * the handler returns.
     *
     * @param hook must not outlive what it refers to beyond the handler; it is dropped afterwards.
     */
    void setCallerGoneHook(std::function<void()> hook);

    /** Returns whether a response was sent or started. */
    bool hasStarted() const;

    /** Returns whether the caller closed its side, as far as is known without blocking. */
    bool isCallerGone() const;

private:
    Connection *connection;
};

/** Limits of an HTTP server. */
struct HttpServerOptions
{
    /** The largest accepted body, in bytes. */
    std::size_t maximumBodyBytes = 4U << 20U;
    /** The largest accepted header, in bytes. */
    std::size_t maximumHeaderBytes = 16U << 10U;
    /** How long a connection may stay idle between requests, in milliseconds. */
    Milliseconds idleTimeout{60000};
    /** How long the header and body may take from the first byte on, in milliseconds. */
    Milliseconds readTimeout{60000};
    /** How long one write may take, in milliseconds. */
    Milliseconds writeTimeout{30000};
    /** How many connections may be open. */
    std::size_t maximumConnections = 20000;
};

/** An HTTP/1.1 server whose handler is a coroutine, one strand per connection. */
class HttpServer
{
public:
    /** Answers one request. */
    using Handler =
            std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;
    /** Answers a request that could not be read: the error is typed, the run state is NotRun. */
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
     * @return the endpoint in use, or nothing with the reason ConnectionFailed.
     */
    std::optional<Endpoint> listen(const Endpoint &endpoint, Error &reason);

    /** Replaces the limits; requests that are being read keep the former ones. */
    void setOptions(const HttpServerOptions &options);

    /** Stops accepting connections; open ones go on. */
    void stopAccepting();

    /** Closes each connection after its next response from now on. */
    void closeAfterResponses();

    /** Returns the number of open connections. */
    std::size_t openConnections() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
