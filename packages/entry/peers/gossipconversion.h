#pragma once

#include "policy/policy.h"
#include "protocol/protocol.h"

#include <vector>

namespace sassafrasyard {

/** Returns the load digest that a peer's gossip carries. */
PeerLoadDigest toDigest(const Gossip &gossip);

/** Returns the quarantine records that a peer's gossip carries. */
std::vector<QuarantineRecord> toQuarantine(const Gossip &gossip);

/** Puts a load digest into gossip. */
void addDigest(Gossip &gossip, const PeerLoadDigest &digest);

/** Puts quarantine records into gossip. */
void addQuarantine(Gossip &gossip, const std::vector<QuarantineRecord> &records);

} // namespace sassafrasyard
