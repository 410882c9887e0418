#pragma once

#include "policy/admission/admissionqueue.h"
#include "policy/admission/drainrate.h"
#include "policy/admission/waitprediction.h"

#include <array>

namespace sassafrasyard {

/**
 * Predicts waits in one group of an AdmissionQueue, from the rates at which the whole group and
 * each of its levels are served.
 */
class GroupLoad
{
public:
    /** The number of waiting requests in each level. */
    using LevelSizes = AdmissionQueue::LevelSizes;

    /** Creates a load without history. @param permittedWait in milliseconds. */
    explicit GroupLoad(Milliseconds permittedWait);

    /** Records a placement from a level. @param waiting what waits after it. */
    void recordPlaced(std::size_t level, const LevelSizes &waiting, Milliseconds now);
    /** Records what waits although a placement was tried. */
    void recordWaiting(const LevelSizes &waiting, Milliseconds now);
    /** Records the end of a request that held its place for the given time. */
    void recordFinished(Milliseconds holdTime);
    /** Returns whether a request would wait too long. @param running requests with a place. */
    bool isWaitTooLong(std::size_t level, const QueuePosition &position, std::size_t running,
                       Milliseconds now);
    /** Returns whether a level can't be served in time, alone or as part of the group. */
    bool isBacklogTooLong(std::size_t level, const LevelSizes &waiting, std::size_t running,
                          Milliseconds now);
    /** Returns when a refused caller should come back; see WaitPrediction::retryAfter(). */
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
