#include "policy/placement/placementpolicy.h"

#include <algorithm>

namespace sassafrasyard {

PlacementPolicy roundRobinPlacement()
{
    return [next = std::size_t{0}](const WorkRequest &,
                                   std::span<const PlacementCandidate> candidates) mutable
           -> std::optional<std::size_t> {
        if (candidates.empty())
            return std::nullopt;
        return next++ % candidates.size();
    };
}

PlacementPolicy leastOutstandingPlacement()
{
    return [](const WorkRequest &,
              std::span<const PlacementCandidate> candidates) -> std::optional<std::size_t> {
        if (candidates.empty())
            return std::nullopt;
        const auto least = std::min_element(
                candidates.begin(), candidates.end(),
                [](const PlacementCandidate &left, const PlacementCandidate &right) {
                    return left.ownRunning < right.ownRunning;
                });
        return static_cast<std::size_t>(least - candidates.begin());
    };
}

} // namespace sassafrasyard
