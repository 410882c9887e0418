#pragma once

#include "core/core.h"

#include <deque>

namespace sassafrasyard {

/**
 * Decides how much engine memory new runs leave free for runs that have to move.
 *
 * Answers the load of engines that are taken away in groups at short notice, again and again, while
 * callers compete for memory: each group's runs need room on the others at once, and an engine
 * whose memory new runs have filled refuses them. The size of the recent groups is taken for that
 * of the next one. Without departures nothing is reserved.
 *
 * Uses no clock or other input.
 */
class DepartureReserve
{
public:
    /** Departures within this time form a group, since their runs look for room together. */
    static constexpr Milliseconds groupTime{2000};
    /** How long a group counts, in milliseconds. */
    static constexpr Milliseconds retention{10000};
    /** The largest share of the memory that is reserved, so that new runs do not starve. */
    static constexpr double maximumShare = 0.2;

    /** Records that an engine begins to leave or is gone. @param memoryTokens its memory. */
    void recordDeparture(double memoryTokens, Milliseconds now);
    /**
     * Returns the share of each remaining engine's memory that new runs should leave free, from 0
     * to maximumShare.
     *
     * @param remainingTokens the memory of all engines that take work, in tokens.
     */
    double share(double remainingTokens, Milliseconds now);

private:
    struct Group
    {
        Milliseconds startedAt{0};
        double memoryTokens = 0.0;
    };

    /** Oldest first. */
    std::deque<Group> groups;
};

} // namespace sassafrasyard
