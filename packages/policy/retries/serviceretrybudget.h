#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Limits on the retries of all entry hosts together. */
struct ServiceRetryBudgetOptions
{
    /** Permitted retries per request for the service within the window. */
    double ratio = 0.1;
    /** Further permitted retries within the window, over all hosts. */
    double slack = 10.0;
    /** The window, in milliseconds. */
    Milliseconds window{10000};
};

/**
 * Limits how often requests are retried on a second server, per service and over all entry hosts.
 *
 * Each host may use the ratio of its own requests and an equal share of the slack, so hosts need
 * not exchange their use. The window slides continuously, so the limit holds for every interval of
 * its length.
 */
class ServiceRetryBudget
{
public:
    /**
     * The share of the slack that is used; the rest covers hosts that are not known to others yet.
     */
    static constexpr double usableSlackShare = 0.75;

    /** Creates a budget without history. */
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options = {});

    /** Replaces the limits; earlier requests and retries stay counted. */
    void setOptions(const ServiceRetryBudgetOptions &newOptions);
    /** Sets the number of entry hosts that share the slack; 0 counts as 1. */
    void setHostCount(std::size_t count);
    /** Records a caller's request for a service. */
    void recordRequest(std::string_view service, Milliseconds now);
    /** Charges a retry to the budget. @return false if the budget does not permit it. */
    bool tryRetry(std::string_view service, Milliseconds now);
    /** Counts a mandatory retry, also beyond the budget. */
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
