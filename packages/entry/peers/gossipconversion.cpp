#include "entry/peers/gossipconversion.h"

namespace sassafrasyard {

PeerLoadDigest toLoadDigest(const Gossip &gossip)
{
    PeerLoadDigest digest;
    digest.host = HostName(gossip.loadHost);
    digest.sequence = gossip.loadSequence;
    for (const LoadEntryMessage &entry : gossip.load)
        digest.entries.push_back({BackendServerName(entry.server), entry.running,
                                  entry.reservedTokens, entry.pendingPromptTokens});
    digest.hasAccounts = true;
    for (const AccountUseMessage &use : gossip.accounts)
        digest.accounts.push_back(
                {ClientAccountName(use.account), use.running, use.startsPerSecond});
    return digest;
}

std::vector<QuarantineRecord> toQuarantineRecords(const Gossip &gossip)
{
    std::vector<QuarantineRecord> records;
    for (const QuarantineMessage &message : gossip.quarantine) {
        QuarantineRecord record{message.requestDigest, message.deaths,
                                Milliseconds(message.remainingMilliseconds), message.incident};
        (message.incident == 0 ? record.crashFreeRun : record.serverDigest) = message.serverDigest;
        records.push_back(record);
    }
    return records;
}

void addLoadDigest(Gossip &gossip, const PeerLoadDigest &digest)
{
    gossip.loadHost = digest.host.toString();
    gossip.loadSequence = digest.sequence;
    for (const PeerLoadEntry &entry : digest.entries)
        gossip.load.push_back({entry.server.toString(), entry.running, entry.reservedTokens,
                               entry.pendingPromptTokens});
    for (const PeerAccountUse &use : digest.accounts)
        gossip.accounts.push_back({use.account.toString(), use.running, use.startsPerSecond});
}

void addQuarantineRecords(Gossip &gossip, const std::vector<QuarantineRecord> &records)
{
    for (const QuarantineRecord &record : records) {
        const std::uint64_t name = record.incident == 0 ? record.crashFreeRun : record.serverDigest;
        gossip.quarantine.push_back({record.requestDigest, record.deaths,
                                     static_cast<std::uint64_t>(record.remaining.count()),
                                     record.incident, name});
    }
}

} // namespace sassafrasyard
