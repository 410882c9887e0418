#include "policy/placement/placementpolicy.h"

#include <algorithm>
#include <limits>

namespace sassafrasyard {

namespace {

// Costs are in units of one pending prompt of the request's own size.

/** A full batch slows prompt processing by about half a prompt. */
constexpr double fullBatchCost = 0.5;
/** Below this share of memory in use, running requests can grow without preemption. */
constexpr double uncongestedMemoryShare = 0.6;
/** When memory is full, the engine preempts a run, which loses its cached state and pauses. */
constexpr double fullMemoryCost = 2.0;
/** Traffic between failure domains costs more than inside one, but less than waiting. */
constexpr double otherDomainCost = 0.05;
/** The saving of a cached prefix of unknown size. */
constexpr double prefixSaving = 0.1;
/**
 * How much a slower engine costs a stream beyond its prompt, for each multiple of the time per
 * token: it holds its memory for longer and pauses more.
 */
constexpr double slowDecodeCost = 0.5;
/** Larger than the error of outdated load data, smaller than one prompt. */
constexpr double maximumJitter = 0.1;

/** Returns the expected time until the first output, in times that the own prompt takes. */
double readingTime(const PlacementCandidate &candidate, double promptTokens)
{
    const double tokens = candidate.pendingPromptTokens + promptTokens - candidate.cachedTokens;
    return candidate.speedRatio * tokens / promptTokens;
}

double costOf(const PlacementCandidate &candidate, double promptTokens)
{
    const double slots = std::max<std::uint32_t>(candidate.server->slots, 1);
    // The reading of the own prompt on an average engine is left out, since it is the same for all.
    double cost = readingTime(candidate, promptTokens) - 1.0;
    cost += slowDecodeCost * (candidate.speedRatio - 1.0);
    cost += fullBatchCost * candidate.runningEstimate / slots;
    if (candidate.memoryTotal > 0.0) {
        const double share =
                (candidate.memoryEstimate + candidate.memoryNeeded) / candidate.memoryTotal;
        cost += fullMemoryCost * std::max(0.0, share - uncongestedMemoryShare)
                / (1.0 - uncongestedMemoryShare);
    }
    cost += candidate.isSameDomain ? 0.0 : otherDomainCost;
    cost -= candidate.hasPrefix ? prefixSaving : 0.0;
    // A negative cost comes from a cached beginning or a fast engine, and a slow pace is no gain.
    const double slowdown = std::max(candidate.paceRatio / candidate.speedRatio, 1.0);
    return cost > 0.0 ? cost * slowdown : cost;
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
