#include "entry/state/entrystate.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** Returns 0 for the same failure domain, 1 for the same region, 2 otherwise. */
int networkDistance(const MemberRecord &record, const Settings &settings)
{
    if (record.failureDomain == settings.failureDomain)
        return 0;
    return record.region == settings.region ? 1 : 2;
}

} // namespace

EntryState::EntryState(Settings settings, HostIncarnation incarnation)
    : settings(std::move(settings))
    , incarnation(std::move(incarnation))
    , steadyClock(Clock::steady())
    , systemClock(Clock::system())
    , positions(this->settings.positionSecret)
    , publishedMembers(std::make_shared<const std::vector<MemberRecord>>())
{
}

std::shared_ptr<const std::vector<MemberRecord>> EntryState::members() const
{
    const std::lock_guard lock(this->mutex);
    return this->publishedMembers;
}

void EntryState::publishMembers(std::vector<MemberRecord> records, std::uint64_t changeCount)
{
    auto published = std::make_shared<const std::vector<MemberRecord>>(std::move(records));
    const std::lock_guard lock(this->mutex);
    if (changeCount < this->membersChangeCount)
        return;
    this->membersChangeCount = changeCount;
    this->publishedMembers = std::move(published);
}

std::uint64_t EntryState::publishedChangeCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->membersChangeCount;
}

std::vector<std::string> EntryState::otherCallerAddresses() const
{
    const auto known = this->members();
    std::vector<const MemberRecord *> live;
    for (const MemberRecord &record : *known) {
        if (record.state == MemberState::Alive && record.incarnation != this->incarnation)
            live.push_back(&record);
    }
    std::stable_sort(live.begin(), live.end(),
                     [this](const MemberRecord *left, const MemberRecord *right) {
                         return networkDistance(*left, this->settings)
                                 < networkDistance(*right, this->settings);
                     });
    std::vector<std::string> addresses;
    for (const MemberRecord *record : live)
        addresses.push_back(record->callerAddress);
    return addresses;
}

ActiveRequest::ActiveRequest(EntryState &state)
    : state(state)
{
    ++this->state.activeRequests;
}

ActiveRequest::~ActiveRequest()
{
    --this->state.activeRequests;
}

} // namespace sassafrasyard
