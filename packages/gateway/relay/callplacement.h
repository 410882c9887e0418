#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sassafrasyard {

/**
 * Has the dispatcher choose a backend server for an attempt.
 *
 * A server that began to leave or asked for a pause since the choice is passed over. Where all
 * servers of the service asked for a pause, the call is refused at once with the time until the
 * first of them takes work.
 *
 * @param work the attempt; its name must be new.
 * @param refusal receives why there is no server, with NotRun.
 */
boost::asio::awaitable<std::optional<Grant>> placeCall(GatewayDependencies &dependencies,
                                                       const RoutedCall &call, WorkRequest work,
                                                       Error &refusal);

} // namespace sassafrasyard
