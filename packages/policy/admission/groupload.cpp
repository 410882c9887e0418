#include "policy/admission/groupload.h"

#include <algorithm>
#include <numeric>

namespace sassafrasyard {

namespace {

std::size_t totalOf(const GroupLoad::LevelSizes &waiting)
{
    return std::accumulate(waiting.begin(), waiting.end(), std::size_t{0});
}

} // namespace

GroupLoad::GroupLoad(Milliseconds permittedWait)
    : permittedWait(permittedWait)
{
}

void GroupLoad::recordPlaced(std::size_t level, const LevelSizes &waiting, Milliseconds now)
{
    this->levels[level].recordPlaced(waiting[level] == 0, now);
    this->group.recordPlaced(totalOf(waiting) == 0, now);
}

void GroupLoad::recordWaiting(const LevelSizes &waiting, Milliseconds now)
{
    for (std::size_t level = 0; level < waiting.size(); ++level) {
        if (waiting[level] > 0)
            this->levels[level].recordBlocked(now);
        else
            this->levels[level].recordEmpty(now);
    }
    // An empty queue does not mean that the group has free slots; only a placement ends its
    // saturation.
    if (totalOf(waiting) > 0)
        this->group.recordBlocked(now);
}

void GroupLoad::recordFinished(Milliseconds holdTime)
{
    this->group.recordFinished(holdTime);
}

bool GroupLoad::isWaitTooLong(std::size_t level, const QueuePosition &position, std::size_t running,
                              Milliseconds now)
{
    // The placements reserved for each level limit the delay that higher levels can cause.
    const double roundRobinBound = AdmissionQueue::roundRobinCycle * (position.inLevel + 1.0) - 1.0;
    const double ahead = std::min(position.inHigherLevels + position.inLevel, roundRobinBound);
    if (this->predictGroup(running, now).isWaitTooLong(ahead))
        return true;
    // The first request of a level may always wait, so that an increase of the level's rate is
    // noticed.
    return position.inLevel > 0.0 && this->predictLevel(level, now).isWaitTooLong(position.inLevel);
}

bool GroupLoad::isBacklogTooLong(std::size_t level, const LevelSizes &waiting, std::size_t running,
                                 Milliseconds now)
{
    // One request of a level may remain to use the placements that the queue reserves for the
    // level.
    return (waiting[level] > 1
            && this->predictGroup(running, now).isBacklogTooLong(totalOf(waiting)))
            || this->predictLevel(level, now).isBacklogTooLong(waiting[level]);
}

Milliseconds GroupLoad::retryAfter(const LevelSizes &waiting, std::size_t running,
                                   std::uint64_t jitterSeed, Milliseconds now)
{
    return this->predictGroup(running, now).retryAfter(totalOf(waiting), jitterSeed);
}

WaitPrediction GroupLoad::predictGroup(std::size_t running, Milliseconds now)
{
    return {this->group.perSecond(running, now), this->permittedWait};
}

WaitPrediction GroupLoad::predictLevel(std::size_t level, Milliseconds now)
{
    return {this->levels[level].perSecond(0, now), this->permittedWait};
}

} // namespace sassafrasyard
