#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"
#include "network/http/httpmessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace sassafrasyard {

class HttpConnection;

/** Time limits of an outgoing HTTP request. */
struct HttpTimeouts
{
    /** Until the connection is established, in milliseconds. */
    Milliseconds connect{1000};
    /** From then until the header (stream) or all of the response is read, in milliseconds. */
    Milliseconds response{10000};
};

/**
 * Sends a request on a new connection and reads the whole response.
 *
 * @param reason receives ConnectionFailed with NotRun if no byte of the request was sent, and
 *     Timeout, ConnectionFailed or ProtocolViolation with OutcomeUnknown afterwards.
 */
boost::asio::awaitable<std::optional<HttpResponse>> sendHttpRequest(const Endpoint &endpoint,
                                                                    const HttpRequest &request,
                                                                    HttpTimeouts timeouts,
                                                                    Error &reason);

/** A response whose body is read incrementally, such as a stream of server-sent events. */
class HttpStream
{
public:
    /** Creates a stream without a connection; call open() before read(). */
    HttpStream();
    /** Closes the connection. */
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    /**
     * Sends the request and reads the response's header.
     *
     * @param reason as for sendHttpRequest().
     * @return the response's status and header fields; for a status other than 200 also its body.
     */
    boost::asio::awaitable<std::optional<HttpResponse>> open(const Endpoint &endpoint,
                                                             const HttpRequest &request,
                                                             HttpTimeouts timeouts, Error &reason);

    /**
     * Reads the next bytes of the body.
     *
     * @param timeout how long to wait for a byte, in milliseconds.
     * @param reason receives Timeout, ConnectionFailed or ProtocolViolation.
     * @return the bytes, valid until the next call; empty at the regular end of the body.
     */
    boost::asio::awaitable<std::optional<std::string_view>> read(Milliseconds timeout,
                                                                 Error &reason);

    /**
     * Sets a hook that runs on the stream's strand about twice a second while a read is pending.
     *
     * @param hook must not read from or close the stream; it is kept when the stream is opened
     *     again.
     */
    void setIdleHook(std::function<void()> hook);

    /** Closes the connection; a read in progress on the same strand fails. */
    void close();

private:
    std::function<void()> idleHook;
    std::unique_ptr<HttpConnection> connection;
};

} // namespace sassafrasyard
