#pragma once

#include "policy/admission/admissionqueue.h"
#include "policy/admission/drainrate.h"
#include "policy/admission/waitprediction.h"

#include <array>

namespace sassafrasyard {

/**
 * Predicts waiting times in one group of an AdmissionQueue from the drain rates of the whole group
 * and of each level.
 */
class GroupLoad
{
public:
    /** The number of waiting requests in each level. */
    using LevelSizes = AdmissionQueue::LevelSizes;

    /** Creates a load without history. @param permittedWait the maximum wait, in milliseconds. */
    explicit GroupLoad(Milliseconds permittedWait);

    /** Records a placement from a level. @param waiting the waiting requests after it. */
    void recordPlaced(std::size_t level, const LevelSizes &waiting, Milliseconds now);
    /** Records the requests that still wait after placement was attempted. */
    void recordWaiting(const LevelSizes &waiting, Milliseconds now);
    /** Records the end of a request that held its slot for the given time, in milliseconds. */
    void recordFinished(Milliseconds holdTime);
    /** Returns whether a request would wait too long. @param running requests that hold a slot. */
    bool isWaitTooLong(std::size_t level, const QueuePosition &position, std::size_t running,
                       Milliseconds now);
    /** Returns whether the backlog of a level, or of the whole group, can't be served in time. */
    bool isBacklogTooLong(std::size_t level, const LevelSizes &waiting, std::size_t running,
                          Milliseconds now);
    /** Returns when a refused caller should retry; see WaitPrediction::retryAfter(). */
    Milliseconds retryAfter(const LevelSizes &waiting, std::size_t running,
                            std::uint64_t jitterSeed, Milliseconds now);

private:
    WaitPrediction predictGroup(std::size_t running, Milliseconds now);
    WaitPrediction predictLevel(std::size_t level, Milliseconds now);

    Milliseconds permittedWait;
    DrainRate group;
    std::array<DrainRate, AdmissionQueue::levelCount> levels;
};

} // namespace sassafrasyard
