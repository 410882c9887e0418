#include "control/configuration/watcherselection.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** FNV-1a with a final mix, the same on every host. */
std::uint64_t score(const HostIncarnation &incarnation)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : incarnation.toString())
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

bool isWatcher(std::span<const MemberRecord> members, const HostIncarnation &self,
               const std::string &region)
{
    const auto ahead = std::count_if(members.begin(), members.end(), [&](const auto &record) {
        return record.region == region && record.state <= MemberState::Suspect
                && record.incarnation != self && score(record.incarnation) > score(self);
    });
    return static_cast<std::size_t>(ahead) < watchersPerRegion;
}

} // namespace sassafrasyard
