#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"
#include "network/http/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Why a connection could not be opened. */
enum class ConnectFailure {
    /** It was opened, or connect() was not called. */
    None,
    /** The peer's address answered that nothing accepts connections. */
    Refused,
    /** There was no answer in time; the peer may be busy, standing still or cut off. */
    Unanswered,
    /** This host could not try, such as for lack of descriptors. */
    Local,
};

/** What ends the body of a response. */
enum class BodyFraming {
    /** Its length, which may be 0. */
    Length,
    /** Its last chunk. */
    Chunks,
    /** The close of the connection. */
    Close,
};

/** Returns the name of a framing in logs and metrics. */
std::string_view toString(BodyFraming framing);

/**
 * A client connection that carries one request at a time and may be reused for the next one.
 *
 * A connection belongs to one coroutine at a time; close() may be called from others on the same
 * thread and ends a read in progress.
 */
class HttpConnection
{
public:
    /** Creates a connection that is not open. */
    HttpConnection(const boost::asio::any_io_executor &executor, Endpoint endpoint);
    /** Closes the connection. */
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /** Connects. @param reason receives ConnectionFailed or Timeout with NotRun. */
    boost::asio::awaitable<bool> connect(Milliseconds timeout, Error &reason);
    /** Returns why connect() failed; only a refusal shows that no process listens. */
    ConnectFailure connectFailure() const;

    /**
     * Starts to send a request and reads the header of its response.
     *
     * The body is written while the response is awaited, because a server may respond before it has
     * read all of it. Provisional responses (1xx except 101) are skipped. Any other status outside
     * 200 to 599 is a ProtocolViolation with OutcomeUnknown as soon as the header is complete, and
     * so is a line that is no field or that is folded as soon as it is complete.
     *
     * @param request its headers are sent as they are, in order; Content-Length is added.
     * @param timeout until the header is complete, in milliseconds.
     * @param reason receives Timeout, ConnectionFailed or ProtocolViolation; with NotRun if the
     *     operating system accepted no byte of the request, else OutcomeUnknown.
     * @return the status and the header fields.
     */
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(const HttpRequest &request,
                                                                 Milliseconds timeout,
                                                                 Error &reason);

    /**
     * Reads the header of another response, such as after one that belonged to an earlier request.
     *
     * @param reason as for exchange().
     */
    boost::asio::awaitable<std::optional<HttpResponse>> readHeader(Milliseconds timeout,
                                                                   Error &reason);

    /**
     * Reads the next bytes of the body.
     *
     * A body with neither a length nor chunks is complete if the peer ended the connection in
     * order. A connection that was reset or timed out is a failure, also if the write of the
     * request found that out.
     *
     * @param timeout how long to wait for a byte of the body, in milliseconds.
     * @param reason receives Timeout, ConnectionFailed or ProtocolViolation.
     * @return the bytes, valid until the next call; empty at the regular end of the body.
     */
    boost::asio::awaitable<std::optional<std::string_view>> read(Milliseconds timeout,
                                                                 Error &reason);

    /**
     * Reads the rest of the body.
     *
     * @param limit the largest accepted remainder of the body, in bytes.
     * @param timeout until the body is complete, in milliseconds.
     * @param reason receives RequestTooLarge beyond the limit, else as for read().
     */
    boost::asio::awaitable<std::optional<std::string>> readAll(std::size_t limit,
                                                               Milliseconds timeout, Error &reason);

    /**
     * Returns whether the connection can carry another request: it is open, the request was
     * written, its response is complete and permits keep-alive, and no byte was received after it.
     */
    bool isReusable() const;

    /** Returns what ends the body of the response whose header was read last. */
    BodyFraming bodyFraming() const;

    /** Returns whether the header of a response has been received on the connection. */
    bool hasReceivedResponse() const;

    /** Returns whether the peer has neither closed the connection nor sent a byte while idle. */
    bool isIdle() const;

    /** Returns the peer's Keep-Alive timeout in milliseconds, or nothing if it sent none. */
    std::optional<Milliseconds> keepAlive() const;

    /** Returns the peer's endpoint. */
    const Endpoint &endpoint() const;

    /**
     * Sets whether the operating system probes the peer while nothing is under way.
     *
     * If the probes are not answered, because the machine of the peer is gone or the network has
     * lost the connection, a read fails with ConnectionFailed about 3 s after the last byte. A peer
     * whose process stands still or accepts no connections answers them. Bytes that the peer has
     * not acknowledged delay the probes.
     */
    void setProbing(bool isEnabled);

    /**
     * Sets a hook that runs about twice a second while a read of the body is pending.
     *
     * @param hook must not read from or close the connection.
     */
    void setIdleHook(std::function<void()> hook);

    /**
     * Ends a pending read of the body with Timeout and keeps the connection open, so that the body
     * can be read on.
     *
     * @return false without effect if no read of the body or a write of the request is pending.
     */
    bool interruptRead();

    /**
     * Calls a hook once bytes of the peer arrive, without reading them; a close calls it not. Must
     * not be used while a read is pending.
     *
     * @param hook replaces the one before; nothing ends the wait.
     */
    void watchBytes(std::function<void()> hook);

    /**
     * Reads the bytes of the body that have arrived, without waiting. Must not be used while a read
     * is pending. A failure is left to the next read().
     *
     * @return the bytes, valid until the next read, empty if there are none; nothing if the body is
     *     complete.
     */
    std::optional<std::string_view> readAvailable();

    /** Closes the connection; pending reads and writes fail. */
    void close();

private:
    struct Implementation;
    // Shared with a write that may still be pending when the connection is destroyed, and with the
    // handler of the watchdog timer.
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
