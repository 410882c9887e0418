#pragma once

#include "policy/load/loadtracker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** Settings of a PrefixIndex. */
struct PrefixIndexOptions
{
    /** Maximum number of prefixes; the oldest is evicted. */
    std::size_t maximumPrefixes = 8192;
    /** Maximum number of holders of one prefix; the oldest is replaced. */
    std::size_t maximumHolders = 16;
    /** How long a prefix is assumed to stay cached, in milliseconds. */
    Milliseconds lifetime{60000};
    /**
     * How long a prefix stored before a lost event of its server is still assumed cached after the
     * loss, in milliseconds.
     */
    Milliseconds lifetimeAfterGap{5000};
};

/**
 * Tracks which servers probably hold a prompt prefix in their cache.
 *
 * Cache events can be late or lost, so an entry expires unless it is renewed, and sooner after an
 * event of its server was lost.
 */
class PrefixIndex
{
public:
    /** A server that probably holds a prefix. */
    struct Holder
    {
        /** The server's index. */
        ServerIndex serverIndex = 0;
        /** When the prefix was last stored or used there. */
        Milliseconds storedAt{0};
    };

    /** Creates an empty index. */
    explicit PrefixIndex(PrefixIndexOptions options = {});
    PrefixIndex(const PrefixIndex &) = delete;
    PrefixIndex &operator=(const PrefixIndex &) = delete;

    /**
     * Records that an engine stored or evicted a prefix. A sequence gap shortens the lifetime of
     * entries.
     */
    void recordEvent(ServerIndex serverIndex, const CacheEvent &event, Milliseconds now);
    /** Records that a request with this prefix was sent to a server; a prefix of 0 is ignored. */
    void recordUse(ServerIndex serverIndex, std::uint64_t prefix, Milliseconds now);
    /** Removes all entries of a server, for example after its cache was lost. */
    void removeServer(ServerIndex serverIndex);

    /**
     * Returns the recorded holders of a prefix, including expired ones; see isFresh(). Valid until
     * the next non-const call.
     */
    std::span<const Holder> holders(std::uint64_t prefix) const;
    /** Returns whether a holder's entry has not expired. */
    bool isFresh(const Holder &holder, Milliseconds now) const;
    /** Returns the number of recorded prefixes. */
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
