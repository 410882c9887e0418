#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sassafrasyard {

/**
 * Lets the dispatcher choose a backend server for an attempt.
 *
 * If the chosen server began to leave, asked for a pause or has no room under its call limit
 * meanwhile, another one is chosen. If no server of the service takes calls at present, the call is
 * refused at once; the retry time is the end of the shortest pause. A call that is bound to a
 * software version of which no server is usable is refused at once with NoBackendServer and no
 * retry time, because a version that left does not return. A call that a planned stop of this host
 * would cut off is refused with HostDraining.
 *
 * @param work describes the attempt; its name must be new.
 * @param refusal receives why there is no server, with NotRun.
 * @return the assigned server, or nothing on failure.
 */
boost::asio::awaitable<std::optional<Grant>> placeCall(GatewayDependencies &dependencies,
                                                       RoutedCall &call, WorkRequest work,
                                                       Error &refusal);

/** Returns whether a planned stop of this host would cut the call off. */
bool isBeyondStop(const GatewayDependencies &dependencies, const RoutedCall &call);

/** Returns the refusal of a call that this host does not serve because it stops. */
Error stoppingError();

/** How long a caller that a stopping host refuses is told to wait; other hosts take it at once. */
constexpr Milliseconds stoppingRetryAfter{0};

} // namespace sassafrasyard
