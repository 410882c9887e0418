#include "policy/placement/copyplacement.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/**
 * Copying to another failure domain takes twice as long, so an engine there must have this share of
 * its memory more free.
 */
constexpr double otherDomainPenalty = 0.1;

} // namespace

std::optional<std::size_t> chooseForCopy(const WorkRequest &request,
                                         std::span<const PlacementCandidate> candidates,
                                         double memoryLimit)
{
    std::optional<std::size_t> best;
    double leastCost = 0.0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        const auto &avoided = request.avoided;
        const bool isAvoided =
                std::find(avoided.begin(), avoided.end(), candidate.server->name) != avoided.end();
        if (isAvoided || candidate.memoryTotal <= 0.0)
            continue;
        const double share =
                (candidate.memoryEstimate + candidate.memoryNeeded) / candidate.memoryTotal;
        const double cost = share + (candidate.isSameDomain ? 0.0 : otherDomainPenalty);
        if (share <= memoryLimit && (!best || cost < leastCost)) {
            best = index;
            leastCost = cost;
        }
    }
    return best;
}

} // namespace sassafrasyard
