#pragma once

#include "core/core.h"

#include <cstddef>

namespace sassafrasyard {

/** What this host knows about the use of one limit on all entry hosts. */
struct SharedUse
{
    /** Live entry hosts, this one included. */
    std::size_t hosts = 1;
    /** Peers whose recent report was taken into account. */
    std::size_t reported = 0;
    /** What those peers use together. */
    double reportedUse = 0.0;
    /** What this host uses. */
    double ownUse = 0.0;
};

/**
 * This host's part of a limit that holds over all entry hosts.
 *
 * A host may always use its equal share. Once per borrowing interval it may also grow by its part
 * of what peers leave unused; a peer without a recent report is taken to use its whole share.
 */
class SharedLimit
{
public:
    /** The time between two steps of borrowing, in milliseconds. */
    static constexpr Milliseconds borrowInterval{5000};

    /**
     * Sets the limit over all hosts. An unchanged limit keeps what was borrowed.
     *
     * @param newLimit must be above 0.
     * @param hosts live entry hosts, at least 1.
     */
    void setLimit(double newLimit, std::size_t hosts);
    /** Returns whether update() is due. */
    bool isDue(Milliseconds now) const;
    /** Computes what this host may use until the next update. */
    void update(const SharedUse &use, Milliseconds now);
    /** Returns what this host may use. */
    double allowance() const;

private:
    double limit = 0.0;
    std::size_t hostCount = 0;
    double allowedUse = 0.0;
    bool isUpdated = false;
    Milliseconds updatedAt{0};
};

} // namespace sassafrasyard
