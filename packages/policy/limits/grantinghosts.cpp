#include "policy/limits/grantinghosts.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafrasyard {

GrantingHosts::GrantingHosts(HostName self)
    : self(std::move(self))
    , liveHosts{{this->self, stableHash(this->self.toString())}}
{
}

void GrantingHosts::setHosts(std::span<const PermitHost> hosts, Milliseconds now)
{
    std::map<HostName, std::uint64_t> live{{this->self, stableHash(this->self.toString())}};
    std::set<HostName> listed{this->self};
    for (const PermitHost &host : hosts) {
        listed.insert(host.name);
        if (host.isLive)
            live.emplace(host.name, stableHash(host.name.toString()));
    }
    for (const auto &[host, hash] : this->liveHosts) {
        if (listed.contains(host) && !live.contains(host))
            this->lostHosts.emplace(host, now);
    }
    if (this->isLeaving && live.size() > 1)
        live.erase(this->self);
    this->liveHosts = std::move(live);
    std::erase_if(this->lostHosts, [&](const auto &lost) {
        return !listed.contains(lost.first) || this->liveHosts.contains(lost.first)
                || now - lost.second >= lostHostRetention;
    });
}

void GrantingHosts::leave()
{
    this->isLeaving = true;
}

HostName GrantingHosts::granter(const BackendServerName &run) const
{
    const std::uint64_t runHash = stableHash(run.toString());
    const auto highest = std::max_element(this->liveHosts.begin(), this->liveHosts.end(),
                                          [runHash](const auto &left, const auto &right) {
                                              return combineHashes(runHash, left.second)
                                                      < combineHashes(runHash, right.second);
                                          });
    return highest->first;
}

bool GrantingHosts::isGranter(const BackendServerName &run) const
{
    return this->granter(run) == this->self;
}

double GrantingHosts::ownShare() const
{
    return 1.0 / static_cast<double>(this->liveHosts.size() + this->lostHosts.size());
}

double GrantingHosts::visibleShare() const
{
    const auto live = static_cast<double>(this->liveHosts.size());
    return live / (live + static_cast<double>(this->lostHosts.size()));
}

} // namespace sassafrasyard
