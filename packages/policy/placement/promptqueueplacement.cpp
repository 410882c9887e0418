#include "policy/placement/placementpolicy.h"

#include <algorithm>
#include <limits>

namespace sassafrasyard {

namespace {

// All costs are in units of one prompt of the request's own size that is read before it.

/** A full batch makes a step, and so the reading, about as much longer as half a prompt takes. */
constexpr double fullBatchCost = 0.5;
/** Below this share of memory in use an engine has room for its runs to grow. */
constexpr double uncongestedMemoryShare = 0.6;
/** A full memory preempts a run, which costs it its memory and a pause. */
constexpr double fullMemoryCost = 2.0;
/** Traffic between failure domains costs more, but less than waiting. */
constexpr double otherDomainCost = 0.05;
/** A part of the prompt need not be read. */
constexpr double prefixSaving = 0.1;
/** More than the differences that stale figures make, less than one prompt. */
constexpr double maximumJitter = 0.1;

double costOf(const PlacementCandidate &candidate, double promptTokens)
{
    const double slots = std::max<std::uint32_t>(candidate.server->slots, 1);
    double cost = candidate.pendingPromptTokens / promptTokens;
    cost += fullBatchCost * candidate.runningEstimate / slots;
    if (candidate.memoryTotal > 0.0) {
        const double share =
                (candidate.memoryEstimate + candidate.memoryNeeded) / candidate.memoryTotal;
        cost += fullMemoryCost * std::max(0.0, share - uncongestedMemoryShare)
                / (1.0 - uncongestedMemoryShare);
    }
    cost += candidate.isSameDomain ? 0.0 : otherDomainCost;
    cost -= candidate.hasPrefix ? prefixSaving : 0.0;
    return cost * std::max(candidate.paceRatio, 1.0);
}

} // namespace

PlacementPolicy promptQueuePlacement(std::uint64_t seed)
{
    return [random = RandomSource(seed), fallback = estimatedLoadPlacement(seed)](
                   const WorkRequest &request,
                   std::span<const PlacementCandidate> candidates) mutable {
        if (request.promptTokens == 0)
            return fallback(request, candidates);
        std::optional<std::size_t> best;
        double leastCost = std::numeric_limits<double>::infinity();
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const double cost =
                    costOf(candidates[index], request.promptTokens) + maximumJitter * random.unit();
            if (cost < leastCost) {
                best = index;
                leastCost = cost;
            }
        }
        return best;
    };
}

} // namespace sassafrasyard
