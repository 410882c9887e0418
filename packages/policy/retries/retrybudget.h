#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>

namespace sassafrasyard {

/** Settings of a RetryBudget. */
struct RetryBudgetOptions
{
    /** Permitted retries per first attempt within the window. */
    double share = 0.1;
    /** Retries permitted within the window in addition to the share. */
    std::uint32_t floor = 10;
};

/**
 * Limits retries to a share of the first attempts in the last 10 s, so that they can't amplify an
 * overload. The window moves in steps of one second.
 */
class RetryBudget
{
public:
    /** Creates a budget without history. */
    explicit RetryBudget(RetryBudgetOptions options = {});

    /** Records a first attempt. */
    void recordFirstAttempt(Milliseconds now);
    /** Charges a retry to the budget. @return false if the budget does not permit it. */
    bool tryRetry(Milliseconds now);

private:
    static constexpr std::size_t slotCount = 10;

    struct TimeSlot
    {
        std::int64_t second = -1;
        std::uint64_t firstAttempts = 0;
        std::uint64_t retries = 0;
    };

    TimeSlot &slotFor(Milliseconds now);

    RetryBudgetOptions options;
    std::array<TimeSlot, slotCount> slots;
};

} // namespace sassafrasyard
