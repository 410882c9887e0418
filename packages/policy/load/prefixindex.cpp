#include "policy/load/prefixindex.h"

#include <algorithm>

namespace sassafrasyard {

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : options(options)
{
}

void PrefixIndex::recordEvent(ServerSlot slot, const CacheEvent &event, Milliseconds now)
{
    ServerEvents &events = this->eventsOf(slot);
    if (event.sequence == events.lastSequence)
        return;
    // A lower number than the last is an engine that restarted or events that crossed.
    if (events.lastSequence != 0 && event.sequence != events.lastSequence + 1) {
        events.hasGap = true;
        events.gapAt = now;
    }
    events.lastSequence = event.sequence;
    if (event.isStored)
        this->store(slot, event.prefixDigest, now);
    else
        this->drop(slot, event.prefixDigest);
}

void PrefixIndex::recordUse(ServerSlot slot, std::uint64_t prefix, Milliseconds now)
{
    if (prefix != 0)
        this->store(slot, prefix, now);
}

void PrefixIndex::removeServer(ServerSlot slot)
{
    this->eventsOf(slot) = ServerEvents{};
    for (auto &[prefix, holders] : this->prefixes)
        std::erase_if(holders, [&](const Holder &holder) { return holder.slot == slot; });
}

std::span<const PrefixIndex::Holder> PrefixIndex::holders(std::uint64_t prefix) const
{
    const auto known = this->prefixes.find(prefix);
    if (prefix == 0 || known == this->prefixes.end())
        return {};
    return known->second;
}

bool PrefixIndex::isBelieved(const Holder &holder, Milliseconds now) const
{
    if (now - holder.storedAt >= this->options.believed)
        return false;
    const ServerEvents &events = this->servers[holder.slot];
    if (!events.hasGap || holder.storedAt >= events.gapAt)
        return true;
    return now - events.gapAt < this->options.believedAfterGap;
}

std::size_t PrefixIndex::prefixCount() const
{
    return this->prefixes.size();
}

PrefixIndex::ServerEvents &PrefixIndex::eventsOf(ServerSlot slot)
{
    if (slot >= this->servers.size())
        this->servers.resize(slot + 1);
    return this->servers[slot];
}

void PrefixIndex::store(ServerSlot slot, std::uint64_t prefix, Milliseconds now)
{
    this->eventsOf(slot);
    if (!this->prefixes.contains(prefix)) {
        this->makeRoom();
        this->order.push_back(prefix);
    }
    std::vector<Holder> &holders = this->prefixes[prefix];
    const auto known = std::find_if(holders.begin(), holders.end(),
                                    [&](const Holder &holder) { return holder.slot == slot; });
    if (known != holders.end()) {
        known->storedAt = now;
        return;
    }
    if (holders.size() < this->options.maximumHolders) {
        holders.push_back({slot, now});
        return;
    }
    *std::min_element(holders.begin(), holders.end(), [](const Holder &left, const Holder &right) {
        return left.storedAt < right.storedAt;
    }) = {slot, now};
}

void PrefixIndex::drop(ServerSlot slot, std::uint64_t prefix)
{
    if (const auto known = this->prefixes.find(prefix); known != this->prefixes.end())
        std::erase_if(known->second, [&](const Holder &holder) { return holder.slot == slot; });
}

void PrefixIndex::makeRoom()
{
    while (this->order.size() >= this->options.maximumPrefixes) {
        this->prefixes.erase(this->order.front());
        this->order.pop_front();
    }
}

} // namespace sassafrasyard
