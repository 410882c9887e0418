#pragma once

#include "policy/load/loadtracker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** Bounds and times of a PrefixIndex. */
struct PrefixIndexOptions
{
    /** How many prefixes are remembered. */
    std::size_t maximumPrefixes = 8192;
    /** How many holders of one prefix are remembered. */
    std::size_t maximumHolders = 16;
    /** How long a stored prefix is believed to stay, in milliseconds. */
    Milliseconds lifetime{60000};
    /** How long a prefix is still believed after events of its server were lost. */
    Milliseconds lifetimeAfterGap{5000};
};

/**
 * Which servers are believed to hold a prompt prefix in their cache.
 *
 * Cache events come late and with gaps, so a belief ends after a while unless renewed, and sooner
 * when an event of the server was lost.
 */
class PrefixIndex
{
public:
    /** A server that is believed to hold a prefix. */
    struct Holder
    {
        /** The server. */
        ServerIndex serverIndex = 0;
        /** When the prefix was last known to be stored. */
        Milliseconds storedAt{0};
    };

    /** Creates an empty index. */
    explicit PrefixIndex(PrefixIndexOptions options = {});
    PrefixIndex(const PrefixIndex &) = delete;
    PrefixIndex &operator=(const PrefixIndex &) = delete;

    /** Records an engine's cache event. */
    void recordEvent(ServerIndex serverIndex, const CacheEvent &event, Milliseconds now);
    /** Records that a request with this prefix was sent to a server. */
    void recordUse(ServerIndex serverIndex, std::uint64_t prefix, Milliseconds now);
    /** Forgets everything about a server, as when its cache is gone. */
    void removeServer(ServerIndex serverIndex);

    /** Returns the remembered holders of a prefix; see isFresh(). Valid until the next call. */
    std::span<const Holder> holders(std::uint64_t prefix) const;
    /** Returns whether a remembered holder is still believed to hold its prefix. */
    bool isFresh(const Holder &holder, Milliseconds now) const;
    /** Returns the number of prefixes remembered. */
    std::size_t prefixCount() const;

private:
    struct EventState
    {
        std::uint64_t lastSequence = 0;
        bool hasGap = false;
        Milliseconds gapAt{0};
    };

    EventState &eventsFor(ServerIndex serverIndex);
    void store(ServerIndex serverIndex, std::uint64_t prefix, Milliseconds now);
    void drop(ServerIndex serverIndex, std::uint64_t prefix);
    void evictOldest();

    PrefixIndexOptions options;
    std::unordered_map<std::uint64_t, std::vector<Holder>> prefixes;
    std::deque<std::uint64_t> insertionOrder;
    std::vector<EventState> servers;
};

} // namespace sassafrasyard
