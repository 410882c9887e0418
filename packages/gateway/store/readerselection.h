#pragma once

#include "core/core.h"
#include "protocol/protocol.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The hosts that read the platform's store, as seen by one host. */
struct StoreReaders
{
    /** Whether this host reads the store itself and serves other hosts. */
    bool isReader = false;
    /** The peer addresses of the other readers in the order in which to query them. */
    std::vector<std::string> addresses;
};

/**
 * The number of hosts that one reader serves; more would use a noticeable share of the processor of
 * a small host.
 */
inline constexpr std::size_t hostsPerReader = 24;

/**
 * Selects the hosts that read the platform's store on behalf of the others, by rendezvous hashing.
 *
 * Each failure domain has one reader per hostsPerReader hosts, at least one. Hosts that accept
 * callers are preferred, because they have read the store recently. Readers of the host's own
 * failure domain come first, in an order that differs between hosts, then those of other domains of
 * the region.
 */
StoreReaders selectStoreReaders(std::span<const MemberRecord> members, const MemberRecord &self);

} // namespace sassafrasyard
