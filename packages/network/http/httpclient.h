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
    /** Until the connection stands, in milliseconds. */
    Milliseconds connect{1000};
    /** From then until the response's header (stream) or end (whole response) has been read. */
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

/** A response that is read piece by piece, such as a stream of server-sent events. */
class HttpStream
{
public:
    /** Creates a stream that is not open. */
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
     * Sets what runs on the stream's strand about twice a second while a read is pending.
     *
     * @param hook must not read from or close the stream; it stays set when the stream is opened
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
