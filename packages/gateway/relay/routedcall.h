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

/** A caller's call from its arrival to its end. */
struct RoutedCall
{
    /** Creates a call without a route. @param request must outlive it. */
    explicit RoutedCall(const HttpRequest &request)
        : request(request)
    {
    }

    /** The call as it came. */
    const HttpRequest &request;
    /** What its header says. */
    CallMetadata metadata;
    /** The configuration that it began with. */
    std::shared_ptr<const ServingConfiguration> configuration;
    /** Its route, a part of the configuration. */
    const Route *route = nullptr;
    /** The service that runs it, a part of the configuration. */
    const Service *service = nullptr;
    /** What the policy needs to know; its name is that of the first attempt. */
    WorkRequest work;
    /** When it had arrived, on the clock that counts suspension. */
    Milliseconds receivedAt{0};
    /** When its caller is to have a final answer. */
    Milliseconds deadlineAt{0};
    /** Whether the caller has closed its connection. */
    bool isCallerGone = false;
    /** End the exchanges in progress. */
    std::map<const void *, std::function<void()>> cancelHooks;

    /** Ends all exchanges in progress. */
    void cancelAll() const
    {
        for (const auto &[owner, cancel] : this->cancelHooks)
            cancel();
    }

    /** Returns the time left, in milliseconds; not below 0. */
    Milliseconds timeLeft(Milliseconds now) const
    {
        return std::max(Milliseconds(0), this->deadlineAt - now);
    }
};

} // namespace sassafrasyard
