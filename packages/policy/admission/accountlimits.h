#pragma once

#include "policy/work/workrequest.h"

#include <cstdint>

namespace sassafrasyard {

/** The limits of one client account. */
struct AccountLimits
{
    /** The client account. */
    ClientAccountName account;
    /** Its weight in fair queueing relative to other accounts; the default is 1. */
    double weight = 1.0;
    /** Maximum number of waiting and running requests over all entry hosts; 0 for no limit. */
    std::uint32_t maximumRunning = 0;
    /** Maximum number of requests per second over all entry hosts; 0 for no limit. */
    double requestsPerSecond = 0.0;
    /** The highest priority of its requests; a higher one is lowered to it. */
    Priority highestPriority = Priority::High;
};

} // namespace sassafrasyard
