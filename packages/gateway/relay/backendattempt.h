#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/** How the start of an attempt ended. */
struct AttemptResult
{
    /** What is known about the run. */
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    /** The status and header of the answer, if there is one. */
    HttpResponse response;
    /** Why there is no answer. */
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
     * Sends the call and reads the header of the answer.
     *
     * An answer to an earlier call on the same connection is skipped.
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
    /** Ends the exchange; a read in progress fails. */
    void cancel();
    /** Keeps the connection for other calls if its answer is complete. */
    void release();

private:
    boost::asio::awaitable<AttemptResult> exchange(const ForwardingOrder &order,
                                                   Milliseconds timeout);
    AttemptResult classify(HttpResponse response, const BackendServerName &server);
    void applyServerStatements(const ResponseMetadata &metadata, const BackendServerName &server);
    bool reserveMemory(std::size_t bytes);
    bool isServerFailure(const Error &failure) const;
    boost::asio::awaitable<void> checkForCrash();
    BackendServerName serverRunName() const;

    GatewayDependencies &dependencies;
    RoutedCall &call;
    std::unique_ptr<HttpConnection> connection;
    BackendServerName server;
    std::optional<Endpoint> endpoint;
    std::optional<Milliseconds> firstBytesAt;
    bool isCancelled = false;
    /** The start of the server's run that the call was sent to, as its entry says. */
    std::int64_t serverStartedAt = 0;
    /** Memory of the answer, until this object ends. */
    std::size_t reservedBytes = 0;
};

} // namespace sassafrasyard
