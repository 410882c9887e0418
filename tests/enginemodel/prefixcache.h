#pragma once

#include "enginemodel/modeltime.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace sassafrasyard {

/** Reports that the cache stored or evicted a prefix. */
struct PrefixCacheEvent
{
    /** The event's number. It increases by 1 with each event, including lost events. */
    std::uint64_t sequence = 0;
    /** The digest of the prompt's leading characters. */
    std::uint64_t prefixDigest = 0;
    /** Whether the prefix was stored (true) or evicted (false). */
    bool isStored = true;
    /** When it happened. */
    ModelTime at{0};
};

/** A prompt prefix cache of limited size that evicts the least recently used prompt. */
class PrefixCache
{
public:
    /**
     * Creates an empty cache.
     *
     * @param capacityTokens its size in tokens.
     * @param lossShare the share of events that are never published, from 0 to 1.
     * @param seed determines which events are lost.
     */
    PrefixCache(std::uint32_t capacityTokens, double lossShare, std::uint64_t seed);

    /** Returns how many leading tokens of a prompt are cached, and marks them as recently used. */
    std::uint32_t lookUp(std::uint64_t digest, std::string_view prompt);

    /** Stores a prompt; a prompt that exceeds the capacity is ignored. */
    void store(std::uint64_t digest, std::string_view prompt, ModelTime now);

    /** Returns the published events after a sequence number and up to a time, in order. */
    std::vector<PrefixCacheEvent> events(std::uint64_t after, ModelTime until) const;

    /** Returns the size of the cached prompts in tokens. */
    std::uint32_t usedTokens() const;

private:
    struct Entry
    {
        std::uint64_t digest;
        std::string prompt;
    };

    void evict(std::list<Entry>::iterator entry, ModelTime now);
    void recordEvent(std::uint64_t digest, bool isStored, ModelTime now);

    std::uint32_t capacityTokens;
    double lossShare;
    RandomSource random;
    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byDigest;
    std::uint32_t cachedTokens = 0;
    std::uint64_t sequence = 0;
    std::deque<PrefixCacheEvent> publishedEvents;
};

} // namespace sassafrasyard
