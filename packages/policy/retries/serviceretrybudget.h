#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** What all entry hosts together may repeat. */
struct ServiceRetryBudgetOptions
{
    /** Repeats per request for the service within the window. */
    double ratio = 0.1;
    /** Repeats within the window that are permitted beyond that, over all hosts. */
    double slack = 10.0;
    /** The window, in milliseconds. */
    Milliseconds window{10000};
};

/**
 * Bounds how often requests are sent to a second server, per service and over all entry hosts.
 *
 * Each host spends the ratio of its own requests and an equal part of the slack, so no host needs
 * to know what others spend. The window slides by request, so no span of its length holds more.
 */
class ServiceRetryBudget
{
public:
    /** The part of the slack that is spent; the rest covers hosts that others do not know yet. */
    static constexpr double usableSlackShare = 0.75;

    /** Creates a budget without history. */
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options = {});

    /** Replaces the bounds; what was spent stays counted. */
    void setOptions(const ServiceRetryBudgetOptions &newOptions);
    /** Tells how many entry hosts share the slack; 0 counts as 1. */
    void setHostCount(std::size_t count);
    /** Records a caller's request for a service. */
    void recordRequest(std::string_view service, Milliseconds now);
    /** Takes a repeat from the budget. @return false if the request must not be sent again. */
    bool tryRetry(std::string_view service, Milliseconds now);
    /** Counts a repeat that is not optional, whatever the budget says. */
    void recordRetry(std::string_view service, Milliseconds now);

private:
    struct Usage
    {
        std::deque<Milliseconds> requests;
        std::deque<Milliseconds> retries;
    };

    Usage &usageOf(std::string_view service, Milliseconds now);

    ServiceRetryBudgetOptions options;
    std::size_t hostCount = 1;
    std::map<std::string, Usage, std::less<>> services;
};

} // namespace sassafrasyard
