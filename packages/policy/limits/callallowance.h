#pragma once

#include "core/core.h"

namespace sassafrasyard {

/**
 * A token bucket that permits calls at a rate.
 *
 * Urgent calls may overdraw it by urgentDebt calls, which later calls wait for. In any time t it
 * permits at most rate x t + burst + urgentDebt calls, with the reserve as the smallest burst.
 */
class CallAllowance
{
public:
    /** The burst, as the time in which its calls become available at the rate. */
    static constexpr Milliseconds burstTime{250};
    /** The smallest burst that lets a call through, in calls. */
    static constexpr double minimumBurst = 1.0;
    /** By how many calls urgent ones may overdraw the bucket. */
    static constexpr double urgentDebt = 2.0;

    /** Creates an empty bucket without a rate. */
    explicit CallAllowance(Milliseconds now);

    /**
     * Sets the rate.
     *
     * @param newRate in calls a second, at least 0.
     * @param reserve the calls that may accumulate while none is taken, if that is more than the
     *     burst.
     */
    void setRate(double newRate, double reserve, Milliseconds now);
    /** Lets a share of the burst, from 0 to 1, be available, because no call was permitted before.
     */
    void fill(double share);
    /** Takes a call if there is one. @param isUrgent whether the bucket may be overdrawn. */
    bool tryTake(bool isUrgent, Milliseconds now);
    /** Returns the time until a call that is not urgent is permitted; 0 if one is now. */
    Milliseconds timeUntilNext(Milliseconds now);

private:
    void refill(Milliseconds now);

    double rate = 0.0;
    double burst = minimumBurst;
    double available = 0.0;
    Milliseconds refilledAt;
};

} // namespace sassafrasyard
