#pragma once

#include "policy/work/workrequest.h"

#include <cstdint>

namespace sassafrasyard {

/** The limits of one client account. */
struct AccountLimits
{
    /** The client account. */
    ClientAccountName account;
    /** Its share relative to other accounts. */
    double weight = 1.0;
    /** Requests it may have running over all entry hosts; 0 for no limit. */
    std::uint32_t maximumRunning = 0;
    /** Requests a second it may start over all entry hosts; 0 for no limit. */
    double requestsPerSecond = 0.0;
    /** The highest priority its requests may use. */
    Priority highestPriority = Priority::High;
};

} // namespace sassafrasyard
