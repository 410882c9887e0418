#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>

namespace sassafrasyard {

/**
 * Predicts waiting times of one group from its drain rate. Without a rate no wait counts as too
 * long.
 */
class WaitPrediction
{
public:
    /** Creates a prediction. @param rate the drain rate in requests per second, if known. */
    WaitPrediction(std::optional<double> rate, Milliseconds permittedWait);

    /**
     * Returns whether a request with the given number of others ahead of it would wait too long.
     */
    bool isWaitTooLong(double ahead) const;
    /** Returns whether a backlog of this many requests can't be served in time. */
    bool isBacklogTooLong(std::size_t waiting) const;
    /**
     * Returns the time after which a refused caller should retry, in milliseconds.
     *
     * @param jitterSeed a number that differs between refusals; it varies the times by up to a
     *     quarter either way.
     */
    Milliseconds retryAfter(std::size_t waiting, std::uint64_t jitterSeed) const;

private:
    std::optional<double> rate;
    double permittedMilliseconds;
};

} // namespace sassafrasyard
