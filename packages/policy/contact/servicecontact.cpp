#include "policy/contact/servicecontact.h"

namespace sassafrasyard {

std::string_view toString(ContactState state)
{
    switch (state) {
    case ContactState::Assumed:
        return "assumed";
    case ContactState::Reached:
        return "reached";
    case ContactState::Unreached:
        return "unreached";
    }
    return "unknown";
}

ServiceContact::ServiceContact(ServiceContactOptions options)
    : options(options)
{
}

void ServiceContact::recordAccepted(std::string_view service, Milliseconds now)
{
    Record &record = this->recordOf(service);
    record.acceptedAt = now;
    record.waitingSince.reset();
}

void ServiceContact::recordFailedConnection(std::string_view service, Milliseconds now)
{
    this->recordOf(service).failedAt = now;
}

void ServiceContact::recordSent(std::string_view service, Milliseconds now)
{
    Record &record = this->recordOf(service);
    if (!record.waitingSince)
        record.waitingSince = now;
}

void ServiceContact::recordReceived(std::string_view service, Milliseconds)
{
    this->recordOf(service).waitingSince.reset();
}

bool ServiceContact::recordCheck(std::string_view service, bool isAccepted, Milliseconds now)
{
    Record &record = this->recordOf(service);
    const bool wasUnreached = record.unreachedSince.has_value();
    record.checkedAt = now;
    record.failedAt.reset();
    if (isAccepted) {
        record.acceptedAt = now;
        record.waitingSince.reset();
        record.unreachedSince.reset();
    } else if (!wasUnreached) {
        record.unreachedSince = now;
    }
    return wasUnreached == isAccepted;
}

void ServiceContact::forget(std::string_view service)
{
    const auto known = this->records.find(service);
    if (known != this->records.end())
        this->records.erase(known);
}

std::vector<std::string> ServiceContact::dueChecks(Milliseconds now) const
{
    std::vector<std::string> due;
    for (const auto &[service, record] : this->records) {
        if (this->isCheckDue(record, now))
            due.push_back(service);
    }
    return due;
}

ContactState ServiceContact::state(std::string_view service, Milliseconds now) const
{
    const Record *record = this->find(service);
    if (record == nullptr)
        return ContactState::Assumed;
    if (record->unreachedSince)
        return ContactState::Unreached;
    const bool isReached = record->acceptedAt && !record->failedAt
            && now - *record->acceptedAt < this->options.reachedLifetime;
    return isReached ? ContactState::Reached : ContactState::Assumed;
}

bool ServiceContact::isUnreached(std::string_view service) const
{
    return this->unreachedSince(service).has_value();
}

std::optional<Milliseconds> ServiceContact::unreachedSince(std::string_view service) const
{
    const Record *record = this->find(service);
    return record == nullptr ? std::nullopt : record->unreachedSince;
}

bool ServiceContact::isDoubtful(std::string_view service) const
{
    const Record *record = this->find(service);
    return record != nullptr && record->failedAt;
}

std::vector<std::string> ServiceContact::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, record] : this->records)
        names.push_back(service);
    return names;
}

ServiceContact::Record &ServiceContact::recordOf(std::string_view service)
{
    const auto known = this->records.find(service);
    if (known != this->records.end())
        return known->second;
    return this->records[std::string(service)];
}

const ServiceContact::Record *ServiceContact::find(std::string_view service) const
{
    const auto known = this->records.find(service);
    return known == this->records.end() ? nullptr : &known->second;
}

bool ServiceContact::isCheckDue(const Record &record, Milliseconds now) const
{
    const auto isPast = [&](Milliseconds interval) {
        return !record.checkedAt || now - *record.checkedAt >= interval;
    };
    if (record.unreachedSince)
        return isPast(this->options.unreachedCheckInterval);
    if (record.failedAt)
        return isPast(this->options.checkInterval);
    const bool isSilent =
            record.waitingSince && now - *record.waitingSince >= this->options.maximumSilence;
    return isSilent && isPast(this->options.silenceCheckInterval);
}

} // namespace sassafrasyard
