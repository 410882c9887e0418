#include "control/configuration/watcherselection.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** FNV-1a with a final mixing step; must give the same result on every host. */
std::uint64_t rendezvousHash(const HostIncarnation &incarnation)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : incarnation.toString())
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

constexpr std::size_t orderCandidateCount = 3;

template <typename Condition>
std::size_t countHigherRanked(std::span<const MemberRecord> members, const HostIncarnation &self,
                              Condition isEligible)
{
    const auto higherRanked =
            std::count_if(members.begin(), members.end(), [&](const auto &record) {
                return record.state <= MemberState::Suspect && record.incarnation != self
                        && isEligible(record)
                        && rendezvousHash(record.incarnation) > rendezvousHash(self);
            });
    return static_cast<std::size_t>(higherRanked);
}

} // namespace

bool isWatcher(std::span<const MemberRecord> members, const HostIncarnation &self,
               const std::string &region)
{
    return countHigherRanked(members, self,
                             [&](const MemberRecord &record) { return record.region == region; })
            < watchersPerRegion;
}

bool isOrderCandidate(std::span<const MemberRecord> members, const HostIncarnation &self)
{
    return countHigherRanked(members, self, [](const MemberRecord &) { return true; })
            < orderCandidateCount;
}

} // namespace sassafrasyard
