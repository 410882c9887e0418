#pragma once

#include "core/core.h"

#include <cstddef>

namespace sassafrasyard {

/** The use of one limit on all entry hosts, as known to this host. */
struct SharedUse
{
    /** Number of live entry hosts, including this one. */
    std::size_t hosts = 1;
    /** Number of peers whose recent report is included. */
    std::size_t reported = 0;
    /** Total use of those peers. */
    double reportedUse = 0.0;
    /** Use of this host. */
    double ownUse = 0.0;
};

/**
 * This host's share of a limit that applies to all entry hosts together.
 *
 * A host may always use its equal share. Once per borrowing interval its allowance may also grow by
 * its share of what peers leave unused. A peer without a recent report is assumed to use its whole
 * share.
 */
class SharedLimit
{
public:
    /** The minimum time between two updates of the allowance, in milliseconds. */
    static constexpr Milliseconds borrowInterval{5000};

    /**
     * Sets the limit over all hosts. If nothing changes, the borrowed allowance is kept.
     *
     * @param newLimit must be above 0.
     * @param hosts number of live entry hosts, at least 1.
     */
    void setLimit(double newLimit, std::size_t hosts);
    /** Returns whether update() is due, either for the first time or after borrowInterval. */
    bool isDue(Milliseconds now) const;
    /** Computes the allowance of this host until the next update. */
    void update(const SharedUse &use, Milliseconds now);
    /** Returns the allowance of this host, in the unit of the limit. */
    double allowance() const;

private:
    double limit = 0.0;
    std::size_t hostCount = 0;
    double allowedUse = 0.0;
    bool isUpdated = false;
    Milliseconds updatedAt{0};
};

} // namespace sassafrasyard
