#pragma once

#include "policy/placement/placementpolicy.h"

#include <set>

namespace sassafrasyard {

/** The servers that a placement should avoid. */
struct PlacementAvoidance
{
    /** The servers to avoid. */
    std::set<BackendServerName> servers;
    /** Whether an avoided server may be chosen if no other is available. */
    bool mayFallBack = true;
    /** Whether a server without running requests is preferred. */
    bool prefersIdle = false;
};

/**
 * Applies a policy to the candidates that need not be avoided.
 *
 * @return an index into candidates, or nothing if none should take the request now.
 */
std::optional<std::size_t> chooseAvoiding(const PlacementPolicy &policy, const WorkRequest &request,
                                          std::span<const PlacementCandidate> candidates,
                                          const PlacementAvoidance &avoidance);

} // namespace sassafrasyard
