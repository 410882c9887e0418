#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/** The result of sending a call and waiting for the response header. */
struct AttemptResult
{
    /** Whether the call was sent, was refused or may have run. */
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    /** The status and header of the response, if there is one; the body is not read yet. */
    HttpResponse response;
    /** Why there is no response; set unless the outcome is Answered. */
    Error failure;
};

/** One attempt to have a backend server run a call. */
class BackendAttempt
{
public:
    /** Creates an attempt that has not begun. */
    BackendAttempt(GatewayDependencies &dependencies, RoutedCall &call);
    /** Closes the connection unless it was released. */
    ~BackendAttempt();
    BackendAttempt(const BackendAttempt &) = delete;
    BackendAttempt &operator=(const BackendAttempt &) = delete;

    /**
     * Sends the call and reads the header of the response.
     *
     * A call for which the server has no room under its limit is not sent. Neither is a stream that
     * continues, if the server is not of the software version that began it or its entry is gone.
     * A response to an earlier call on the same connection is skipped.
     *
     * @param address the server's "IP:port".
     * @param timeout for the header, in milliseconds.
     */
    boost::asio::awaitable<AttemptResult> start(std::string address, ForwardingOrder order,
                                                Milliseconds timeout);
    /** Reads the next bytes of the body; see HttpConnection::read(). */
    boost::asio::awaitable<std::optional<std::string_view>> read(Milliseconds timeout,
                                                                 Error &reason);
    /** Reads the whole body. @param reason as for HttpConnection::readAll(). */
    boost::asio::awaitable<std::optional<std::string>> readAll(Milliseconds timeout, Error &reason);
    /** Returns what ends the body of the response; nothing before its header. */
    std::optional<BodyFraming> bodyFraming() const;
    /** Returns the software version of the server when the call was sent, or nothing. */
    const std::optional<SoftwareVersion> &softwareVersion() const;
    /** Returns the process that the call was sent to. */
    ServerProcess serverProcess() const;
    /**
     * Records that the response may have broken off although its body ended regularly, and whether
     * the server refuses new connections.
     */
    boost::asio::awaitable<void> recordBreakOff();
    /** Ends a read in progress; see HttpConnection::interruptRead(). */
    bool interruptRead();
    /** Calls a hook once bytes of the server arrive; see HttpConnection::watchBytes(). */
    void watchBytes(std::function<void()> hook);
    /** Reads bytes that have arrived; see HttpConnection::readAvailable(). */
    std::optional<std::string_view> readAvailable();
    /** Closes the connection; a read in progress fails, and a call that was not sent is not sent.
     */
    void cancel();
    /** Returns whether the connection was closed by cancel(). */
    bool wasCancelled() const;
    /** Returns the connection to the pool, which keeps it if the response is complete. */
    void release();

private:
    boost::asio::awaitable<AttemptResult> send(std::string address, ForwardingOrder order,
                                               Milliseconds timeout);
    void releasePlace();
    boost::asio::awaitable<AttemptResult> exchange(const ForwardingOrder &order,
                                                   Milliseconds timeout);
    AttemptResult classify(HttpResponse response, const BackendServerName &server);
    void applyServerStatements(const ResponseMetadata &metadata, const BackendServerName &server);
    bool isEvacuated(const ForwardingOrder &order) const;
    bool isPermitted(const ForwardingOrder &order, const std::string &address) const;
    AttemptKind kindOf(const ForwardingOrder &order) const;
    void recordSending(const ForwardingOrder &order);
    bool reserveMemory(std::size_t bytes);
    bool isServerFailure(const Error &failure) const;
    bool hasRunLongEnough() const;
    boost::asio::awaitable<void> checkForCrash();
    BackendServerName serverRunName() const;

    GatewayDependencies &dependencies;
    RoutedCall &call;
    std::unique_ptr<HttpConnection> connection;
    BackendServerName server;
    std::optional<Endpoint> endpoint;
    std::optional<Milliseconds> firstBytesAt;
    /** When the call was sent. */
    Milliseconds sentAt{0};
    std::optional<BodyFraming> framing;
    bool isCancelled = false;
    /** When the server process that got the call was started, as stated by the server's entry. */
    std::int64_t serverStartedAt = 0;
    /** Whether a place at the server is held; see BrittleServers. */
    bool holdsPlace = false;
    /** The software version of the server when the call was sent, as stated by its entry. */
    std::optional<SoftwareVersion> sentToVersion;
    /** Memory reserved for the response, in bytes; released by the destructor. */
    std::size_t reservedBytes = 0;
};

} // namespace sassafrasyard
