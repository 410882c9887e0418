#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

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
    /** Closes each connection after its next response, for a planned stop. */
    void drain();

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    std::optional<RoutedCall> route(const HttpRequest &request, Error &reason);
    bool authenticate(RoutedCall &call, Milliseconds now, Error &reason) const;
    void describeWork(RoutedCall &call);
    boost::asio::awaitable<void> run(RoutedCall &call, HttpResponder &responder);
    void applyLimits(const CallerLimits &limits);

    GatewayDependencies &dependencies;
    HttpServer server;
    HttpServerOptions serverOptions;
    RandomSource random;
};

} // namespace sassafrasyard
