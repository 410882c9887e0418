#pragma once

#include "core/core.h"

#include <cstddef>
#include <optional>

namespace sassafrasyard {

/**
 * Estimates how many requests per second are placed from a queue while it is saturated.
 *
 * Only saturated time counts, because the placement rate on idle servers does not show their
 * capacity. With too little saturated time, the rate is derived from the running requests and their
 * mean hold time, if known.
 */
class DrainRate
{
public:
    /** Records that a request could not be placed. */
    void recordBlocked(Milliseconds now);
    /** Records a placement. @param isQueueEmpty whether no request waits after it. */
    void recordPlaced(bool isQueueEmpty, Milliseconds now);
    /** Records that no request waits. */
    void recordEmpty(Milliseconds now);
    /** Records the end of a request that held its slot for the given time, in milliseconds. */
    void recordFinished(Milliseconds holdTime);
    /**
     * Returns requests per second, or nothing if unknown. @param running requests that hold a slot.
     */
    std::optional<double> perSecond(std::size_t running, Milliseconds now);

private:
    void accumulate(Milliseconds now);

    Milliseconds lastUpdate{0};
    bool isSaturated = false;
    double placed = 0.0;
    double saturatedMilliseconds = 0.0;
    double meanHoldMilliseconds = 0.0;
};

} // namespace sassafrasyard
