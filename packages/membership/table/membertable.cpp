#include "membership/table/membertable.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace sassafrasyard {

namespace {

/** The transmission count of a record that must not be sent. */
constexpr std::uint32_t neverSent = std::numeric_limits<std::uint32_t>::max();

bool isNewer(const MemberRecord &update, const MemberRecord &current)
{
    if (update.version != current.version)
        return update.version > current.version;
    return update.state > current.state;
}

} // namespace

MemberTable::MemberTable(MemberRecord self, MemberTableOptions options)
    : ownRecord(std::move(self))
    , options(options)
    , random(options.seed)
{
}

const MemberRecord &MemberTable::self() const
{
    return this->ownRecord;
}

std::vector<MemberRecord> MemberTable::members() const
{
    std::vector<MemberRecord> all{this->ownRecord};
    for (const auto &[incarnation, entry] : this->entries)
        all.push_back(entry.record);
    return all;
}

std::optional<MemberRecord> MemberTable::find(const HostIncarnation &incarnation) const
{
    if (incarnation == this->ownRecord.incarnation)
        return this->ownRecord;
    const auto found = this->entries.find(incarnation);
    if (found == this->entries.end())
        return std::nullopt;
    return found->second.record;
}

std::size_t MemberTable::liveCount() const
{
    const auto live =
            std::count_if(this->entries.begin(), this->entries.end(), [](const auto &pair) {
                return pair.second.record.state <= MemberState::Suspect;
            });
    return static_cast<std::size_t>(live) + 1;
}

void MemberTable::setServing(bool isServing)
{
    if (this->ownRecord.isServing == isServing)
        return;
    this->ownRecord.isServing = isServing;
    ++this->ownRecord.version;
    this->ownTimesSent = 0;
    ++this->changes;
}

void MemberTable::leave()
{
    this->ownRecord.state = MemberState::Leaving;
    this->ownTimesSent = 0;
    ++this->changes;
}

void MemberTable::applyUpdates(std::span<const MemberRecord> updates, Milliseconds now)
{
    for (const MemberRecord &update : updates)
        this->apply(update, now, 0);
}

void MemberTable::applyRegisteredRecords(std::span<const MemberRecord> records, Milliseconds now)
{
    for (const MemberRecord &record : records)
        this->apply(record, now, neverSent);
}

std::optional<MemberRecord> MemberTable::nextProbe()
{
    const bool isDeadProbe = ++this->probeCount % this->options.deadProbeInterval == 0;
    if (this->probeOrder.empty())
        this->refillProbeOrder();
    if (isDeadProbe) {
        std::vector<const Entry *> dead;
        for (const auto &[incarnation, entry] : this->entries) {
            if (entry.record.state == MemberState::Dead)
                dead.push_back(&entry);
        }
        if (!dead.empty())
            return dead[this->random.below(dead.size())]->record;
    }
    while (!this->probeOrder.empty()) {
        const HostIncarnation incarnation = this->probeOrder.back();
        this->probeOrder.pop_back();
        const auto found = this->entries.find(incarnation);
        if (found != this->entries.end() && found->second.record.state != MemberState::Dead)
            return found->second.record;
    }
    return std::nullopt;
}

std::vector<MemberRecord> MemberTable::indirectProbers(const HostIncarnation &target,
                                                       std::size_t count)
{
    std::vector<MemberRecord> candidates;
    for (const auto &[incarnation, entry] : this->entries) {
        if (incarnation != target && entry.record.state == MemberState::Alive)
            candidates.push_back(entry.record);
    }
    for (std::size_t index = candidates.size(); index > 1; --index)
        std::swap(candidates[index - 1], candidates[this->random.below(index)]);
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

void MemberTable::recordProbeFailure(const HostIncarnation &incarnation, Milliseconds now)
{
    const auto found = this->entries.find(incarnation);
    if (found == this->entries.end())
        return;
    MemberRecord update = found->second.record;
    // A leaving member that no longer answers has stopped, so no refutation can follow.
    update.state = update.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
    this->apply(update, now, 0);
}

void MemberTable::advance(Milliseconds now)
{
    for (auto &[incarnation, entry] : this->entries) {
        if (entry.record.state == MemberState::Suspect
            && now - entry.changedAt >= this->options.suspicionTimeout) {
            entry.record.state = MemberState::Dead;
            entry.changedAt = now;
            entry.timesSent = 0;
            ++this->changes;
        }
    }
    const std::size_t erased = std::erase_if(this->entries, [&](const auto &pair) {
        return pair.second.record.state == MemberState::Dead
                && now - pair.second.changedAt >= this->options.deadRetention;
    });
    this->changes += erased;
}

std::vector<MemberRecord> MemberTable::takeUpdates(std::size_t limit)
{
    std::vector<std::pair<std::uint32_t *, const MemberRecord *>> pending;
    const std::uint32_t retransmissions = this->retransmissionLimit();
    if (this->ownTimesSent < retransmissions)
        pending.emplace_back(&this->ownTimesSent, &this->ownRecord);
    for (auto &[incarnation, entry] : this->entries) {
        if (entry.timesSent < retransmissions)
            pending.emplace_back(&entry.timesSent, &entry.record);
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto &left, const auto &right) {
        return *left.first < *right.first;
    });
    pending.resize(std::min(limit, pending.size()));
    std::vector<MemberRecord> updates;
    for (const auto &[timesSent, record] : pending) {
        ++*timesSent;
        updates.push_back(*record);
    }
    return updates;
}

std::uint64_t MemberTable::changeCount() const
{
    return this->changes;
}

void MemberTable::apply(const MemberRecord &update, Milliseconds now, std::uint32_t timesSent)
{
    if (update.incarnation == this->ownRecord.incarnation) {
        this->applyToSelf(update);
        return;
    }
    if (update.peerAddress == this->ownRecord.peerAddress && update.state == MemberState::Alive)
        return; // an earlier incarnation of this host's daemon
    const auto found = this->entries.find(update.incarnation);
    if (found == this->entries.end()) {
        this->entries.emplace(update.incarnation, Entry{update, now, timesSent});
        ++this->changes;
        this->replaceEarlierRuns(update, now);
        return;
    }
    Entry &entry = found->second;
    // The member still announces itself as live: its Dead record is sent again so that it can
    // refute it.
    if (entry.record.state == MemberState::Dead && update.state != MemberState::Dead
        && !isNewer(update, entry.record)) {
        entry.timesSent = 0;
    }
    if (!isNewer(update, entry.record))
        return;
    entry = Entry{update, now, timesSent};
    ++this->changes;
}

void MemberTable::applyToSelf(const MemberRecord &update)
{
    const bool isWrong = update.state == MemberState::Dead || update.state == MemberState::Suspect
            || (update.state == MemberState::Leaving
                && this->ownRecord.state != MemberState::Leaving);
    if (!isWrong || update.version < this->ownRecord.version)
        return;
    this->ownRecord.version = update.version + 1;
    this->ownTimesSent = 0;
    ++this->changes;
}

void MemberTable::replaceEarlierRuns(const MemberRecord &update, Milliseconds now)
{
    if (update.state == MemberState::Dead)
        return;
    for (auto &[incarnation, entry] : this->entries) {
        if (incarnation == update.incarnation || entry.record.peerAddress != update.peerAddress
            || entry.record.state == MemberState::Dead) {
            continue;
        }
        entry.record.state = MemberState::Dead;
        entry.changedAt = now;
        entry.timesSent = 0;
        ++this->changes;
    }
}

void MemberTable::refillProbeOrder()
{
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.record.state != MemberState::Dead)
            this->probeOrder.push_back(incarnation);
    }
    for (std::size_t index = this->probeOrder.size(); index > 1; --index)
        std::swap(this->probeOrder[index - 1], this->probeOrder[this->random.below(index)]);
}

std::uint32_t MemberTable::retransmissionLimit() const
{
    const auto members = static_cast<std::uint32_t>(this->entries.size() + 1);
    return this->options.retransmissionFactor * static_cast<std::uint32_t>(std::bit_width(members));
}

} // namespace sassafrasyard
