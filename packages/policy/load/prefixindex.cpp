#include "policy/load/prefixindex.h"

#include <algorithm>

namespace sassafrasyard {

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : options(options)
{
}

void PrefixIndex::recordEvent(ServerIndex serverIndex, const CacheEvent &event, Milliseconds now)
{
    EventState &events = this->eventsFor(serverIndex);
    if (event.sequence == events.lastSequence)
        return;
    // A lower number than the last means that the engine restarted or that events were reordered.
    if (events.lastSequence != 0 && event.sequence != events.lastSequence + 1) {
        events.hasGap = true;
        events.gapAt = now;
    }
    events.lastSequence = event.sequence;
    if (event.isStored)
        this->store(serverIndex, event.prefixDigest, now);
    else
        this->drop(serverIndex, event.prefixDigest);
}

void PrefixIndex::recordUse(ServerIndex serverIndex, std::uint64_t prefix, Milliseconds now)
{
    if (prefix != 0)
        this->store(serverIndex, prefix, now);
}

void PrefixIndex::removeServer(ServerIndex serverIndex)
{
    this->eventsFor(serverIndex) = EventState{};
    for (auto &[prefix, holders] : this->prefixes)
        std::erase_if(holders,
                      [&](const Holder &holder) { return holder.serverIndex == serverIndex; });
}

std::span<const PrefixIndex::Holder> PrefixIndex::holders(std::uint64_t prefix) const
{
    const auto known = this->prefixes.find(prefix);
    if (prefix == 0 || known == this->prefixes.end())
        return {};
    return known->second;
}

bool PrefixIndex::isFresh(const Holder &holder, Milliseconds now) const
{
    if (now - holder.storedAt >= this->options.lifetime)
        return false;
    const EventState &events = this->servers[holder.serverIndex];
    if (!events.hasGap || holder.storedAt >= events.gapAt)
        return true;
    return now - events.gapAt < this->options.lifetimeAfterGap;
}

std::size_t PrefixIndex::prefixCount() const
{
    return this->prefixes.size();
}

PrefixIndex::EventState &PrefixIndex::eventsFor(ServerIndex serverIndex)
{
    if (serverIndex >= this->servers.size())
        this->servers.resize(serverIndex + 1);
    return this->servers[serverIndex];
}

void PrefixIndex::store(ServerIndex serverIndex, std::uint64_t prefix, Milliseconds now)
{
    this->eventsFor(serverIndex);
    if (!this->prefixes.contains(prefix)) {
        this->evictOldest();
        this->insertionOrder.push_back(prefix);
    }
    std::vector<Holder> &holders = this->prefixes[prefix];
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder &holder) {
        return holder.serverIndex == serverIndex;
    });
    if (known != holders.end()) {
        known->storedAt = now;
        return;
    }
    if (holders.size() < this->options.maximumHolders) {
        holders.push_back({serverIndex, now});
        return;
    }
    *std::min_element(holders.begin(), holders.end(), [](const Holder &left, const Holder &right) {
        return left.storedAt < right.storedAt;
    }) = {serverIndex, now};
}

void PrefixIndex::drop(ServerIndex serverIndex, std::uint64_t prefix)
{
    if (const auto known = this->prefixes.find(prefix); known != this->prefixes.end())
        std::erase_if(known->second,
                      [&](const Holder &holder) { return holder.serverIndex == serverIndex; });
}

void PrefixIndex::evictOldest()
{
    while (this->insertionOrder.size() >= this->options.maximumPrefixes) {
        this->prefixes.erase(this->insertionOrder.front());
        this->insertionOrder.pop_front();
    }
}

} // namespace sassafrasyard
