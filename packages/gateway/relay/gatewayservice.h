#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace sassafrasyard {

/** Serves callers: determines the route and the account of a call and forwards it. */
class GatewayService
{
public:
    /** Creates a service that does not listen. */
    explicit GatewayService(GatewayDependencies &dependencies);
    GatewayService(const GatewayService &) = delete;
    GatewayService &operator=(const GatewayService &) = delete;

    /**
     * Starts to listen for callers.
     *
     * @param maximumConnections further connections are not accepted.
     * @param reason receives ConnectionFailed.
     * @return whether it listens.
     */
    bool listen(const Endpoint &endpoint, std::size_t maximumConnections, Error &reason);
    /**
     * Starts to listen for calls that peers relay, as listen() does for those of callers.
     *
     * Relayed calls have listeners of their own, so that a call can't be relayed in a circle.
     */
    bool listenForPeers(const Endpoint &endpoint, std::size_t maximumConnections, Error &reason);
    /**
     * Begins a planned stop: closes each connection after its next response and refuses the waiting
     * calls that the stop would cut off. Call ServingState::startDraining() before.
     */
    void drain();
    /** Stops accepting connections and closes those that wait for a request. */
    void closeIdle();
    /** Returns the number of open connections of callers and of peers that relay calls. */
    std::size_t openConnections() const;
    /**
     * Ends the calls in progress: a call without a response gets its final answer, a stream is cut.
     *
     * @return the number of calls that are still in progress.
     */
    std::size_t endCalls(Milliseconds now);

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder,
                                        bool isRelayed);
    std::optional<RoutedCall> route(const HttpRequest &request, Error &reason);
    bool authenticate(RoutedCall &call, Milliseconds now, Error &reason) const;
    void describeWork(RoutedCall &call);
    boost::asio::awaitable<void> run(RoutedCall &call, HttpResponder &responder);
    boost::asio::awaitable<void> runWhole(RoutedCall &call, HttpResponder &responder);
    boost::asio::awaitable<bool> relay(RoutedCall &call, HttpResponder &responder);
    void relayWaiting(const std::string &service);
    void endAvoidance(const std::string &service, Milliseconds since);
    std::optional<RelayOffer> relayOffer() const;
    void applyLimits(const CallerLimits &limits);
    HttpResponse refuseUnread(const Error &error) const;
    void refuseWaiting(std::span<const RequestName> names);

    GatewayDependencies &dependencies;
    HttpServer server;
    HttpServerOptions serverOptions;
    /** Takes the calls that peers relay. */
    HttpServer relayServer;
    HttpServerOptions relayOptions;
    /** Where it listens, "IP:port"; empty before that. */
    std::string relayAddress;
    RandomSource random;
};

} // namespace sassafrasyard
