#pragma once

#include "protocol/protocol.h"

#include <span>
#include <string>

namespace sassafrasyard {

/** How many hosts of a region watch the configuration head. */
inline constexpr std::size_t watchersPerRegion = 3;

/**
 * Returns whether a host watches the head for its region, by rendezvous hashing over the region's
 * live members.
 *
 * Every host computes this alone. While hosts see different members, some more or fewer watch.
 */
bool isWatcher(std::span<const MemberRecord> members, const HostIncarnation &self,
               const std::string &region);

/**
 * Returns whether a host competes for the lease for orders: a few of all live members, so that
 * most hosts need not ask the platform for rollouts.
 */
bool isOrderCandidate(std::span<const MemberRecord> members, const HostIncarnation &self);

} // namespace sassafrasyard
