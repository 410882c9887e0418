#include "enginemodel/prefixcache.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

constexpr std::size_t maximumPublishedEvents = 4096;

} // namespace

PrefixCache::PrefixCache(std::uint32_t capacityTokens, double lossShare, std::uint64_t seed)
    : capacityTokens(capacityTokens)
    , lossShare(lossShare)
    , random(seed)
{
}

std::uint32_t PrefixCache::lookUp(std::uint64_t digest, std::string_view prompt)
{
    const auto known = this->byDigest.find(digest);
    if (known == this->byDigest.end())
        return 0;
    this->entries.splice(this->entries.begin(), this->entries, known->second);
    const std::string &cached = known->second->prompt;
    const auto end = std::mismatch(prompt.begin(), prompt.end(), cached.begin(), cached.end());
    return estimateTokens(static_cast<std::size_t>(end.first - prompt.begin())) - 1;
}

void PrefixCache::store(std::uint64_t digest, std::string_view prompt, ModelTime now)
{
    const std::uint32_t tokens = estimateTokens(prompt.size());
    if (tokens > this->capacityTokens)
        return;
    const auto known = this->byDigest.find(digest);
    const bool isNew = known == this->byDigest.end();
    if (!isNew) {
        this->cachedTokens -= estimateTokens(known->second->prompt.size());
        this->entries.erase(known->second);
        this->byDigest.erase(known);
    }
    while (this->cachedTokens + tokens > this->capacityTokens)
        this->evict(std::prev(this->entries.end()), now);
    this->entries.push_front({digest, std::string(prompt)});
    this->byDigest.emplace(digest, this->entries.begin());
    this->cachedTokens += tokens;
    if (isNew)
        this->recordEvent(digest, true, now);
}

std::vector<PrefixCacheEvent> PrefixCache::events(std::uint64_t after, ModelTime until) const
{
    std::vector<PrefixCacheEvent> found;
    for (const PrefixCacheEvent &event : this->publishedEvents) {
        if (event.sequence > after && event.at <= until)
            found.push_back(event);
    }
    return found;
}

std::uint32_t PrefixCache::usedTokens() const
{
    return this->cachedTokens;
}

void PrefixCache::evict(std::list<Entry>::iterator entry, ModelTime now)
{
    this->cachedTokens -= estimateTokens(entry->prompt.size());
    this->recordEvent(entry->digest, false, now);
    this->byDigest.erase(entry->digest);
    this->entries.erase(entry);
}

void PrefixCache::recordEvent(std::uint64_t digest, bool isStored, ModelTime now)
{
    ++this->sequence;
    if (this->random.unit() < this->lossShare)
        return;
    this->publishedEvents.push_back({this->sequence, digest, isStored, now});
    if (this->publishedEvents.size() > maximumPublishedEvents)
        this->publishedEvents.pop_front();
}

} // namespace sassafrasyard
