#pragma once

#include "policy/placement/placementpolicy.h"

#include <set>

namespace sassafrasyard {

/** Which servers a placement should keep away from. */
struct PlacementAvoidance
{
    /** The servers to avoid. */
    std::set<BackendServerName> servers;
    /** Whether an avoided server may be chosen if there is no other. */
    bool mayFallBack = true;
    /** Whether a server without any work is preferred. */
    bool prefersIdle = false;
};

/**
 * Asks a policy to choose among the candidates that are not to be avoided.
 *
 * @return an index into candidates, or nothing if none should take the request now.
 */
std::optional<std::size_t> chooseAvoiding(const PlacementPolicy &policy, const WorkRequest &request,
                                          std::span<const PlacementCandidate> candidates,
                                          const PlacementAvoidance &avoidance);

} // namespace sassafrasyard
