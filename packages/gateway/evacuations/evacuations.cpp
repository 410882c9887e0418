#include "gateway/evacuations/evacuations.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafrasyard {

Evacuations::Evacuations(Milliseconds applyTime)
    : applyTime(applyTime)
{
}

void Evacuations::setChangeHook(ChangeHook hook)
{
    this->changeHook = std::move(hook);
}

void Evacuations::setApplyTime(Milliseconds time)
{
    this->applyTime = time;
}

void Evacuations::applyList(std::span<const FailureDomainName> listedDomains,
                            Milliseconds requestedAt)
{
    const std::set<FailureDomainName> listed(listedDomains.begin(), listedDomains.end());
    const bool mayLackEntries = this->restoredUntil && requestedAt < *this->restoredUntil;
    bool hasChanged = false;
    for (const FailureDomainName &domain : listed) {
        this->unconfirmedUntil.erase(domain);
        hasChanged = this->add(domain) || hasChanged;
    }
    std::erase_if(this->domains, [&](const auto &known) {
        if (listed.contains(known.first))
            return false;
        if (mayLackEntries) {
            this->unconfirmedUntil.insert_or_assign(known.first, *this->restoredUntil);
            return false;
        }
        this->unconfirmedUntil.erase(known.first);
        hasChanged = true;
        return true;
    });
    this->confirm(requestedAt);
    if (hasChanged)
        this->notifyChange();
}

bool Evacuations::applyStart(const FailureDomainName &domain)
{
    this->unconfirmedUntil.erase(domain);
    if (this->domains.contains(domain))
        return true;
    if (!this->add(domain))
        return false;
    this->notifyChange();
    return true;
}

void Evacuations::applyEnd(const FailureDomainName &domain)
{
    this->unconfirmedUntil.erase(domain);
    if (this->domains.erase(domain) > 0)
        this->notifyChange();
}

void Evacuations::confirm(Milliseconds requestedAt)
{
    this->confirmedAt = std::max(requestedAt, this->confirmedAt.value_or(requestedAt));
}

void Evacuations::recordStoreRestored(Milliseconds now)
{
    this->restoredUntil = now + this->applyTime;
}

void Evacuations::advance(Milliseconds now)
{
    bool hasChanged = false;
    std::erase_if(this->unconfirmedUntil, [&](const auto &unconfirmed) {
        // Only a read after that time shows that the operators have not written it again.
        const bool isConfirmed = this->confirmedAt && *this->confirmedAt >= unconfirmed.second;
        if (now < unconfirmed.second || !isConfirmed)
            return false;
        hasChanged = this->domains.erase(unconfirmed.first) > 0 || hasChanged;
        return true;
    });
    if (hasChanged)
        this->notifyChange();
}

bool Evacuations::isKnown() const
{
    return this->confirmedAt.has_value();
}

bool Evacuations::contains(const FailureDomainName &domain) const
{
    return this->domains.contains(domain);
}

const std::map<FailureDomainName, Milliseconds> &Evacuations::returnLimits() const
{
    return this->domains;
}

std::optional<Milliseconds> Evacuations::age(Milliseconds now) const
{
    if (!this->confirmedAt)
        return std::nullopt;
    return now - *this->confirmedAt;
}

/** Adds a domain. @return whether the set has changed. */
bool Evacuations::add(const FailureDomainName &domain)
{
    if (this->domains.size() >= maximumDomains || this->domains.contains(domain))
        return false;
    const auto returnTime = static_cast<double>(this->applyTime.count()) * returnShareOfApply;
    // A host that has just started does not know since when the evacuation is in force.
    const Milliseconds limit = this->confirmedAt
            ? *this->confirmedAt + Milliseconds(static_cast<std::int64_t>(returnTime))
            : Milliseconds(0);
    this->domains.emplace(domain, limit);
    return true;
}

void Evacuations::notifyChange() const
{
    if (this->changeHook)
        this->changeHook();
}

} // namespace sassafrasyard
