#pragma once

#include "protocol/protocol.h"

#include <span>
#include <string>

namespace sassafrasyard {

/** How many hosts of a region watch the configuration head. */
inline constexpr std::size_t watchersPerRegion = 3;

/**
 * Returns whether a host watches the configuration head for its region, chosen by rendezvous
 * hashing over the region's live members.
 *
 * Every host computes this independently. While hosts have different member lists, the number of
 * watchers may differ from watchersPerRegion.
 */
bool isWatcher(std::span<const MemberRecord> members, const HostIncarnation &self,
               const std::string &region);

/**
 * Returns whether a host competes for the lease for orders. Only a few of all live members do, so
 * that most hosts need not read the rollouts from the platform.
 */
bool isOrderCandidate(std::span<const MemberRecord> members, const HostIncarnation &self);

} // namespace sassafrasyard
