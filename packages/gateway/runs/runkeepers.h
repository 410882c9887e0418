#pragma once

#include "gateway/runs/runkey.h"
#include "protocol/protocol.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The number of other hosts that keep the software version of a stream. */
inline constexpr std::size_t runKeeperCount = 3;

/**
 * Selects the hosts that keep the software version of a stream for this host, by rendezvous hashing
 * over the other live hosts. Different failure domains are preferred.
 *
 * @return pointers into the members, at most runKeeperCount.
 */
std::vector<const MemberRecord *> selectRunKeeperMembers(std::span<const MemberRecord> members,
                                                         const HostIncarnation &self,
                                                         const RunKey &run);

/** Returns the peer addresses of the hosts that selectRunKeeperMembers() selects. */
std::vector<std::string> selectRunKeepers(std::span<const MemberRecord> members,
                                          const HostIncarnation &self, const RunKey &run);

/**
 * Selects the hosts to ask for the software version of a stream.
 *
 * These are more than the hosts that keep it, because the members may have changed since it began:
 * hosts that died are taken into account as well as not.
 *
 * @return their peer addresses.
 */
std::vector<std::string> selectRunKeepersToAsk(std::span<const MemberRecord> members,
                                               const HostIncarnation &self, const RunKey &run);

} // namespace sassafrasyard
