#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>

namespace sassafrasyard {

/** What a RetryBudget permits. */
struct RetryBudgetOptions
{
    /** Retries per first attempt within the window. */
    double share = 0.1;
    /** Retries that are always permitted within the window. */
    std::uint32_t floor = 10;
};

/** Limits retries to a share of first attempts over the last 10 s, so they can't feed overload. */
class RetryBudget
{
public:
    /** Creates a budget without history. */
    explicit RetryBudget(RetryBudgetOptions options = {});

    /** Records a first attempt. */
    void recordFirstAttempt(Milliseconds now);
    /** Takes a retry from the budget. @return false if it must be refused. */
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
