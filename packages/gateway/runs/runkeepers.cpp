#include "gateway/runs/runkeepers.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace sassafrasyard {

namespace {

/**
 * The host at which a stream began is not among its keepers, and one host may have joined since.
 */
constexpr std::size_t askedCount = runKeeperCount + 2;

using Members = std::vector<const MemberRecord *>;

/** Returns the first members for a stream, those of different failure domains at the front. */
Members rank(const Members &members, const RunKey &run, std::size_t count)
{
    struct Candidate
    {
        std::size_t sameDomainBefore = 0;
        std::uint64_t hash = 0;
        const MemberRecord *member = nullptr;
    };
    const std::uint64_t runHash = combineHashes(run.high, run.low);
    std::vector<Candidate> candidates;
    for (const MemberRecord *member : members)
        candidates.push_back(
                {0, combineHashes(runHash, stableHash(member->host.toString())), member});
    const auto order = [](const Candidate &left, const Candidate &right) {
        return std::tie(left.sameDomainBefore, left.hash, left.member->incarnation)
                < std::tie(right.sameDomainBefore, right.hash, right.member->incarnation);
    };
    std::sort(candidates.begin(), candidates.end(), order);
    std::map<FailureDomainName, std::size_t> domains;
    for (Candidate &candidate : candidates)
        candidate.sameDomainBefore = domains[candidate.member->failureDomain]++;
    std::sort(candidates.begin(), candidates.end(), order);
    Members ranked;
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index)
        ranked.push_back(candidates[index].member);
    return ranked;
}

Members others(std::span<const MemberRecord> members, const HostIncarnation &self,
               MemberState highestState)
{
    Members result;
    for (const MemberRecord &member : members) {
        if (member.incarnation != self && member.state <= highestState
            && !member.peerAddress.empty())
            result.push_back(&member);
    }
    return result;
}

} // namespace

std::vector<const MemberRecord *> selectRunKeeperMembers(std::span<const MemberRecord> members,
                                                         const HostIncarnation &self,
                                                         const RunKey &run)
{
    return rank(others(members, self, MemberState::Alive), run, runKeeperCount);
}

std::vector<std::string> selectRunKeepers(std::span<const MemberRecord> members,
                                          const HostIncarnation &self, const RunKey &run)
{
    std::vector<std::string> addresses;
    for (const MemberRecord *member : selectRunKeeperMembers(members, self, run))
        addresses.push_back(member->peerAddress);
    return addresses;
}

std::vector<std::string> selectRunKeepersToAsk(std::span<const MemberRecord> members,
                                               const HostIncarnation &self, const RunKey &run)
{
    std::vector<std::string> addresses;
    for (const MemberState highestState : {MemberState::Alive, MemberState::Dead}) {
        for (const MemberRecord *member :
             rank(others(members, self, highestState), run, askedCount)) {
            const std::string &address = member->peerAddress;
            if (member->state != MemberState::Dead
                && std::find(addresses.begin(), addresses.end(), address) == addresses.end())
                addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace sassafrasyard
