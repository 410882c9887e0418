#pragma once

#include "policy/placement/placementpolicy.h"

#include <optional>
#include <span>

namespace sassafrasyard {

/**
 * The largest share of an engine's memory, with the copy, up to which it takes copies. Copies don't
 * yield, so beyond it they would make the engine preempt runs.
 */
constexpr double copyMemoryLimit = 0.75;

/** The same for a run that moves there: it needs the memory anyway. */
constexpr double movedRunMemoryLimit = 1.0;

/**
 * Chooses a server for a copy of a run's memory: the one with the most room, never one that the
 * request avoids.
 *
 * @param memoryLimit the largest share of its memory that is in use afterwards.
 * @return an index into candidates, or nothing if none has room.
 */
std::optional<std::size_t> chooseForCopy(const WorkRequest &request,
                                         std::span<const PlacementCandidate> candidates,
                                         double memoryLimit);

} // namespace sassafrasyard
