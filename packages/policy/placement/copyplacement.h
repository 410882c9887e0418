#pragma once

#include "policy/placement/placementpolicy.h"

#include <optional>
#include <span>

namespace sassafrasyard {

/**
 * The share of an engine's memory that may be in use including a new copy. Copies can't be
 * preempted, so above this limit they would make the engine preempt runs.
 */
constexpr double copyMemoryLimit = 0.75;

/**
 * The share of an engine's memory that may be in use including a run that moves there. A run that
 * moves needs the memory at once, so it may use all of it.
 */
constexpr double movedRunMemoryLimit = 1.0;

/**
 * Chooses the engine with the most free memory for a copy of a run, never one that the request
 * avoids.
 *
 * @param memoryLimit the share of the engine's memory that may be in use afterwards, 0 to 1.
 * @return an index into candidates, or nothing if none has enough free memory.
 */
std::optional<std::size_t> chooseForCopy(const WorkRequest &request,
                                         std::span<const PlacementCandidate> candidates,
                                         double memoryLimit);

} // namespace sassafrasyard
