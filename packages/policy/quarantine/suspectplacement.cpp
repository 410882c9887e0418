#include "policy/quarantine/suspectplacement.h"

#include <vector>

namespace sassafrasyard {

namespace {

/** A server with fewer estimated running requests than this counts as idle. */
constexpr double idleRunning = 0.5;

using Indices = std::vector<std::size_t>;

std::optional<std::size_t> chooseAmong(const PlacementPolicy &policy, const WorkRequest &request,
                                       std::span<const PlacementCandidate> candidates,
                                       const Indices &indices)
{
    std::vector<PlacementCandidate> subset;
    for (const std::size_t index : indices)
        subset.push_back(candidates[index]);
    const auto result = policy(request, subset);
    if (!result)
        return std::nullopt;
    return indices[*result];
}

} // namespace

std::optional<std::size_t> chooseAvoiding(const PlacementPolicy &policy, const WorkRequest &request,
                                          std::span<const PlacementCandidate> candidates,
                                          const PlacementAvoidance &avoidance)
{
    Indices allowed;
    Indices idle;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        if (avoidance.servers.contains(candidate.server->name))
            continue;
        allowed.push_back(index);
        if (candidate.ownRunning == 0 && candidate.runningEstimate < idleRunning)
            idle.push_back(index);
    }
    if (avoidance.prefersIdle && !idle.empty())
        return chooseAmong(policy, request, candidates, idle);
    if (!allowed.empty())
        return chooseAmong(policy, request, candidates, allowed);
    if (!avoidance.mayFallBack)
        return std::nullopt;
    return policy(request, candidates);
}

} // namespace sassafrasyard
