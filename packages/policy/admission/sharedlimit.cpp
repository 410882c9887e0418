#include "policy/admission/sharedlimit.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

void SharedLimit::setLimit(double newLimit, std::size_t hosts)
{
    assert(newLimit > 0.0);
    assert(hosts > 0);
    if (newLimit == this->limit && hosts == this->hostCount)
        return;
    this->limit = newLimit;
    this->hostCount = hosts;
    this->allowedUse = newLimit / static_cast<double>(hosts);
    this->isUpdated = false;
}

bool SharedLimit::isDue(Milliseconds now) const
{
    return !this->isUpdated || now - this->updatedAt >= borrowInterval;
}

void SharedLimit::update(const SharedUse &use, Milliseconds now)
{
    const auto hosts = static_cast<double>(use.hosts);
    const double share = this->limit / hosts;
    const double silentPeers = std::max(0.0, hosts - 1.0 - static_cast<double>(use.reported));
    const double unused = this->limit - use.ownUse - use.reportedUse - silentPeers * share;
    this->allowedUse = std::clamp(use.ownUse + unused / hosts, share, this->limit);
    this->isUpdated = true;
    this->updatedAt = now;
}

double SharedLimit::allowance() const
{
    return this->allowedUse;
}

} // namespace sassafrasyard
