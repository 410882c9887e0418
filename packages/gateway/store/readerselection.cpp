#include "gateway/store/readerselection.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sassafrasyard {

namespace {

/** Returns the readers of one failure domain. */
std::vector<const MemberRecord *> readersOf(std::vector<const MemberRecord *> hosts)
{
    const std::size_t count = (hosts.size() + hostsPerReader - 1) / hostsPerReader;
    const auto rank = [](const MemberRecord *record) {
        return std::pair(!record->isServing, stableHash(record->incarnation.toString()));
    };
    std::sort(hosts.begin(), hosts.end(), [&](const MemberRecord *left, const MemberRecord *right) {
        return rank(left) < rank(right);
    });
    hosts.resize(count);
    return hosts;
}

} // namespace

StoreReaders selectStoreReaders(std::span<const MemberRecord> members, const MemberRecord &self)
{
    std::map<FailureDomainName, std::vector<const MemberRecord *>> domains;
    for (const MemberRecord &record : members) {
        if (record.state == MemberState::Alive && record.region == self.region)
            domains[record.failureDomain].push_back(&record);
    }
    struct Choice
    {
        bool isOtherDomain = false;
        std::uint64_t order = 0;
        const MemberRecord *reader = nullptr;
    };
    std::vector<Choice> choices;
    StoreReaders result;
    const std::uint64_t ownHash = stableHash(self.incarnation.toString());
    for (const auto &[domain, hosts] : domains) {
        for (const MemberRecord *reader : readersOf(hosts)) {
            if (reader->incarnation == self.incarnation) {
                result.isReader = true;
                continue;
            }
            const std::uint64_t order =
                    combineHashes(ownHash, stableHash(reader->incarnation.toString()));
            choices.push_back({domain != self.failureDomain, order, reader});
        }
    }
    std::sort(choices.begin(), choices.end(), [](const Choice &left, const Choice &right) {
        return std::pair(left.isOtherDomain, left.order)
                < std::pair(right.isOtherDomain, right.order);
    });
    for (const Choice &choice : choices)
        result.addresses.push_back(choice.reader->peerAddress);
    return result;
}

} // namespace sassafrasyard
