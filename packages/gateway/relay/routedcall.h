#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"
#include "gateway/calls/retryrule.h"
#include "gateway/state/servingconfiguration.h"
#include "network/network.h"
#include "policy/policy.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sassafrasyard {

/** The state of a routed call from its arrival to its end. */
struct RoutedCall
{
    /** Creates a call without a route. @param request must outlive it. */
    explicit RoutedCall(const HttpRequest &request)
        : request(request)
    {
    }

    /** The request as received from the caller. */
    const HttpRequest &request;
    /** The decoded request header. */
    CallMetadata metadata;
    /** The configuration at its arrival; it applies until the call ends. */
    std::shared_ptr<const ServingConfiguration> configuration;
    /** The route, owned by the configuration; null until it is determined. */
    const Route *route = nullptr;
    /** The service that runs the call, owned by the configuration; null until it is chosen. */
    const Service *service = nullptr;
    /** The description of the call for the dispatcher, named after the first attempt. */
    WorkRequest work;
    /** When the request was complete, on the clock that counts suspension. */
    Milliseconds receivedAt{0};
    /** When the final response is due, on the same clock. */
    Milliseconds deadlineAt{0};
    /** Whether a peer passed the call on to this host, which then does not pass it on. */
    bool isRelayed = false;
    /** The number of attempts that were sent to a server. */
    std::uint32_t sentAttempts = 0;
    /** Whether the caller has closed its connection. */
    bool isCallerGone = false;
    /** Whether the exit of the process ends the call. */
    bool isEndedByStop = false;
    /** Whether the header of the response was sent to the caller. */
    bool hasResponseStarted = false;
    /** The name under which the call waits for a backend server; nothing if it does not wait. */
    std::optional<RequestName> waitingAs;
    /** Functions that cancel the exchanges in progress, by their owner. */
    std::map<const void *, std::function<void()>> cancelHooks;

    /** Cancels all exchanges in progress. */
    void cancelAll() const
    {
        for (const auto &[owner, cancel] : this->cancelHooks)
            cancel();
    }

    /** Returns the time until deadlineAt, in milliseconds, at least 0. */
    Milliseconds timeLeft(Milliseconds now) const
    {
        return std::max(Milliseconds(0), this->deadlineAt - now);
    }
};

} // namespace sassafrasyard
