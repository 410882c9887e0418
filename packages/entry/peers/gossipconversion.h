#pragma once

#include "policy/policy.h"
#include "protocol/protocol.h"

#include <vector>

namespace sassafrasyard {

/** Returns the load digest contained in a peer's gossip. */
PeerLoadDigest toLoadDigest(const Gossip &gossip);

/** Returns the quarantine records contained in a peer's gossip. */
std::vector<QuarantineRecord> toQuarantineRecords(const Gossip &gossip);

/** Adds a load digest to a gossip message. */
void addLoadDigest(Gossip &gossip, const PeerLoadDigest &digest);

/** Adds quarantine records to a gossip message. */
void addQuarantineRecords(Gossip &gossip, const std::vector<QuarantineRecord> &records);

} // namespace sassafrasyard
