#pragma once

#include "core/core.h"
#include "protocol/protocol.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Who reads the platform's store for a host. */
struct StoreReaders
{
    /** Whether the host itself reads the store, for itself and others. */
    bool isReader = false;
    /** The peer addresses of other readers, the one to ask first at the front. */
    std::vector<std::string> addresses;
};

/** Hosts that one reader serves; more would take a noticeable part of a small host's processor. */
inline constexpr std::size_t hostsPerReader = 24;

/**
 * Chooses the hosts that read the platform's store for the others, by rendezvous hashing.
 *
 * Each failure domain has one for every hostsPerReader of its hosts, at least one. Hosts that take
 * callers are preferred, since those have read the store lately. Readers of the own failure domain
 * come first, each host in an order of its own, then those of other domains of the region.
 */
StoreReaders selectStoreReaders(std::span<const MemberRecord> members, const MemberRecord &self);

} // namespace sassafrasyard
