#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>

namespace sassafrasyard {

/** Predicts waiting times of one group from its drain rate; without a rate it predicts nothing. */
class WaitPrediction
{
public:
    /** Creates a prediction. @param rate requests per second that leave the queue, if known. */
    WaitPrediction(std::optional<double> rate, Milliseconds permittedWait);

    /** Returns whether a request behind the given number of others would wait too long. */
    bool isWaitTooLong(double ahead) const;
    /** Returns whether a backlog of this many requests can't be served in time. */
    bool isBacklogTooLong(std::size_t waiting) const;
    /**
     * Returns when a refused caller should come back, in milliseconds from now.
     *
     * @param number any number that differs between refusals; it spreads the times by a quarter.
     */
    Milliseconds retryAfter(std::size_t waiting, std::uint64_t jitterSeed) const;

private:
    std::optional<double> rate;
    double permittedMilliseconds;
};

} // namespace sassafrasyard
