#pragma once

#include "core/core.h"

#include <cstddef>
#include <optional>

namespace sassafrasyard {

/**
 * Estimates how many requests a second leave a queue while it is saturated.
 *
 * Only saturated time counts, because the rate of placements on idle servers says nothing about
 * capacity. Without enough of it, the running requests and their mean time stand in, if known.
 */
class DrainRate
{
public:
    /** Records that a request found no place. */
    void recordBlocked(Milliseconds now);
    /** Records a placement. @param isQueueEmpty whether nothing waits any more. */
    void recordPlaced(bool isQueueEmpty, Milliseconds now);
    /** Records that nothing waits any more. */
    void recordEmpty(Milliseconds now);
    /** Records the end of a request that held its place for the given time. */
    void recordFinished(Milliseconds holdTime);
    /** Returns requests per second. @param running requests that hold a place now. */
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
