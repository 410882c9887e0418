#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace sassafrasyard {

/** Answers callers' routed calls: finds the route and the account, and has the call run. */
class GatewayService
{
public:
    /** Creates a service that does not listen. */
    explicit GatewayService(GatewayDependencies &dependencies);
    GatewayService(const GatewayService &) = delete;
    GatewayService &operator=(const GatewayService &) = delete;

    /** Starts to listen for callers. @param reason receives ConnectionFailed. */
    bool listen(const Endpoint &endpoint, std::size_t maximumConnections, Error &reason);
    /** Closes each caller's connection after its next answer. */
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
