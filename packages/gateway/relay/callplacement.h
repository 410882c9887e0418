#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sassafrasyard {

/**
 * Lets the dispatcher choose a backend server for an attempt.
 *
 * If the chosen server began to leave or asked for a pause meanwhile, another one is chosen. If all
 * servers of the service asked for a pause, the call is refused at once; the retry time is the end
 * of the shortest pause.
 *
 * @param work describes the attempt; its name must be new.
 * @param refusal receives why there is no server, with NotRun.
 * @return the assigned server, or nothing on failure.
 */
boost::asio::awaitable<std::optional<Grant>> placeCall(GatewayDependencies &dependencies,
                                                       const RoutedCall &call, WorkRequest work,
                                                       Error &refusal);

} // namespace sassafrasyard
