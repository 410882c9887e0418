#include "gateway/runs/serviceversions.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sassafrasyard {

ServiceVersions::ServiceVersions(ServiceVersionsOptions options)
    : options(options)
{
    assert(this->options.maximumVersions >= 2);
}

void ServiceVersions::raiseRetention(Milliseconds retention)
{
    this->options.retention = std::max(this->options.retention, retention);
}

void ServiceVersions::setPresent(const VersionsByService &present, Milliseconds now)
{
    // At the limit, there may be services that were present and not kept.
    if (this->services.size() >= this->options.maximumServices)
        this->incompleteSince = now;
    for (auto &[service, known] : this->services) {
        if (!present.contains(service))
            this->replacePresent(known, {}, now);
    }
    for (const auto &[service, versions] : present) {
        if (KnownService *known = this->findOrAdd(service, now))
            this->replacePresent(*known, versions, now);
    }
}

void ServiceVersions::applyHistory(const VersionsByService &history,
                                   const std::set<std::string> &unreadable, Milliseconds now)
{
    this->isHistoryRead = true;
    if (!this->firstReadAt)
        this->firstReadAt = now;
    for (const auto &[service, versions] : history) {
        KnownService *known = this->findOrAdd(service, now);
        if (known == nullptr)
            continue;
        known->hasStoredHistory = true;
        for (const SoftwareVersion &version : versions) {
            if (!known->present.contains(version))
                known->absentSince[version] = now;
        }
        this->limitVersions(*known);
    }
    for (const std::string &service : unreadable) {
        if (KnownService *known = this->findOrAdd(service, now))
            known->unreadableSince = now;
    }
}

void ServiceVersions::forgetHistory()
{
    this->isHistoryRead = false;
}

std::optional<SoftwareVersion> ServiceVersions::soleVersion(std::string_view service,
                                                            Milliseconds now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !this->isComplete(found->second, now))
        return std::nullopt;
    const KnownService &known = found->second;
    const bool hasAbsent =
            std::any_of(known.absentSince.begin(), known.absentSince.end(),
                        [&](const auto &entry) { return this->isRecent(entry.second, now); });
    if (known.present.size() != 1 || hasAbsent)
        return std::nullopt;
    return *known.present.begin();
}

VersionsByService ServiceVersions::history(Milliseconds now) const
{
    VersionsByService result;
    for (const auto &[service, known] : this->services) {
        if (this->isRecent(known.unreadableSince, now))
            continue;
        std::set<SoftwareVersion> recent = known.present;
        for (const auto &[version, since] : known.absentSince) {
            if (this->isRecent(since, now))
                recent.insert(version);
        }
        if (!recent.empty())
            result.emplace(service, std::move(recent));
    }
    return result;
}

void ServiceVersions::advance(Milliseconds now)
{
    for (auto &[service, known] : this->services) {
        std::erase_if(known.absentSince,
                      [&](const auto &entry) { return !this->isRecent(entry.second, now); });
    }
    std::erase_if(this->services, [&](const auto &entry) {
        const KnownService &known = entry.second;
        return known.present.empty() && known.absentSince.empty()
                && !this->isRecent(known.unreadableSince, now)
                && !this->isRecent(known.incompleteSince, now);
    });
}

std::size_t ServiceVersions::serviceCount() const
{
    return this->services.size();
}

/** Returns a service; null if that would exceed the limit. */
ServiceVersions::KnownService *ServiceVersions::findOrAdd(const std::string &service,
                                                          Milliseconds now)
{
    const auto known = this->services.find(service);
    if (known != this->services.end())
        return &known->second;
    if (this->services.size() >= this->options.maximumServices) {
        this->incompleteSince = now;
        return nullptr;
    }
    return &this->services[service];
}

void ServiceVersions::replacePresent(KnownService &known, const std::set<SoftwareVersion> &present,
                                     Milliseconds now)
{
    const std::size_t limit = this->options.maximumVersions;
    // At the limit, some of the versions that were present may not have been kept.
    if (present.size() > limit || known.present.size() >= limit)
        known.incompleteSince = now;
    for (const SoftwareVersion &version : known.present) {
        if (!present.contains(version))
            known.absentSince[version] = now;
    }
    known.present.clear();
    for (const SoftwareVersion &version : present) {
        known.absentSince.erase(version);
        if (known.present.size() < limit)
            known.present.insert(version);
    }
    this->limitVersions(known);
}

/** Drops the versions that have been absent longest, which are recent for the shortest time. */
void ServiceVersions::limitVersions(KnownService &known) const
{
    while (!known.absentSince.empty()
           && known.present.size() + known.absentSince.size() > this->options.maximumVersions) {
        const auto oldest = std::min_element(
                known.absentSince.begin(), known.absentSince.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        known.absentSince.erase(oldest);
    }
}

bool ServiceVersions::isRecent(std::optional<Milliseconds> since, Milliseconds now) const
{
    return since && now - *since < this->options.retention;
}

/** Returns whether no versions but the kept ones can have served a recent stream of a service. */
bool ServiceVersions::isComplete(const KnownService &known, Milliseconds now) const
{
    if (!this->isHistoryRead || this->isRecent(this->incompleteSince, now))
        return false;
    // Without a stored history, this host knows only what it observed itself.
    if (!known.hasStoredHistory && this->isRecent(this->firstReadAt, now))
        return false;
    return !this->isRecent(known.unreadableSince, now)
            && !this->isRecent(known.incompleteSince, now);
}

} // namespace sassafrasyard
