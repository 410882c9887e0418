#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * The field in a host's own refusal of a relayed call that states how many attempts reached
 * servers.
 */
inline constexpr const char *relayedAttemptsField = "Relayed-Attempts";

/**
 * Passes a call on to a peer, because this host can't reach the servers of its service.
 *
 * The peer handles the call like one of its own callers', except that it does not relay it again.
 * The call is sent to a further peer only if the one before states that it has not run and will not
 * run, or if no byte of it was sent. It is a retry, which the retry budget has to permit, if the
 * peer sent it to a server.
 */
class PeerRelay
{
public:
    /** Creates a relay; both references must outlive it. */
    PeerRelay(GatewayDependencies &dependencies, RoutedCall &call, HttpResponder &responder);
    /** Closes the connection unless its response is complete. */
    ~PeerRelay();
    PeerRelay(const PeerRelay &) = delete;
    PeerRelay &operator=(const PeerRelay &) = delete;

    /**
     * Relays a call if its service is unreached, the call may be relayed and a peer reaches the
     * service.
     *
     * @return whether the caller was answered or its connection was closed. If not, the call has
     *     not run.
     */
    boost::asio::awaitable<bool> run();
    /**
     * Relays a call that this host's own attempts have not run, as run() does. If it may be for the
     * lack of a connection, waits until it is known whether the service is unreached.
     *
     * @param attempts how the attempts ended. After a refusal by a server, relaying the call is a
     *     retry, which the retry budget has to permit.
     * @param failure why the last attempt failed.
     */
    boost::asio::awaitable<bool> runAfter(const AttemptHistory &attempts, const Error &failure);

private:
    /** What became of a call at one peer. */
    enum class Result {
        /** No byte of the call was sent. */
        NotSent,
        /** The peer has not run the call and won't, and sent it to no server. */
        Refused,
        /** A server refused the call at the peer. */
        RefusedByServer,
        /** The caller has the response, or the connection to it was closed. */
        Ended,
    };

    bool mayRelay() const;
    boost::asio::awaitable<bool> tryPeers();
    boost::asio::awaitable<Result> tryPeer(std::string address);
    boost::asio::awaitable<bool> connect(const std::string &address);
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(Error &failure);
    boost::asio::awaitable<Result> forwardResponse(HttpResponse response);
    boost::asio::awaitable<void> forwardStream(HttpResponse response);
    boost::asio::awaitable<void> forwardWhole(HttpResponse response);
    boost::asio::awaitable<void> sendError(Error error);
    boost::asio::awaitable<void> end(HttpResponse response);
    boost::asio::awaitable<Result> keepRefusal(HttpResponse response);
    bool isRefusal(const HttpResponse &response) const;
    bool mayTryNextPeer(Result result);
    bool isFramed() const;
    Milliseconds timeLeft() const;
    void finish(std::string_view outcome, int status);
    void cancel();

    GatewayDependencies &dependencies;
    RoutedCall &call;
    HttpResponder &responder;
    std::unique_ptr<HttpConnection> connection;
    std::string peer;
    /** The last refusal of a peer, for the caller if no other peer takes the call. */
    std::optional<HttpResponse> refusal;
    /** Memory reserved for the response, in bytes; released by the destructor. */
    std::size_t reservedBytes = 0;
};

/** Adds relayedAttemptsField to the refusal of a call that a peer relayed. */
void stateAttempts(const RoutedCall &call, HttpResponse &refusal);

/**
 * Returns whether a call that did not reach a server from here may reach one through a peer, so
 * that another attempt from here would only take time.
 */
bool mayReachThroughPeer(const GatewayDependencies &dependencies, const RoutedCall &call);

} // namespace sassafrasyard
