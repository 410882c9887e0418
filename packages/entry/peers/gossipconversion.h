#pragma once

#include "policy/policy.h"
#include "protocol/protocol.h"

#include <vector>

namespace sassafrasyard {

/** Returns the load digest that a peer's gossip carries. */
PeerLoadDigest toLoadDigest(const Gossip &gossip);

/** Returns the quarantine records that a peer's gossip carries. */
std::vector<QuarantineRecord> toQuarantineRecords(const Gossip &gossip);

/** Puts a load digest into gossip. */
void addLoadDigest(Gossip &gossip, const PeerLoadDigest &digest);

/** Puts quarantine records into gossip. */
void addQuarantineRecords(Gossip &gossip, const std::vector<QuarantineRecord> &records);

} // namespace sassafrasyard
