#pragma once

#include "policy/servers/loadreport.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** Bounds of a CrashQuarantine. */
struct CrashQuarantineOptions
{
    /** Makes the names of this host's incidents differ from those of other hosts and runs. */
    std::uint64_t seed = 1;
    /** How many request digests are remembered. */
    std::size_t digestLimit = 4096;
    /** How many records go to a peer at once; a record takes up to 34 bytes. */
    std::size_t reportLimit = 64;
};

/**
 * Refuses requests that were running on several backend servers that died.
 *
 * A death is a set element (request, incident), so a record that comes back changes nothing, and
 * hosts that have seen the same records in any order agree. Deaths of the same server within 5 s
 * count once, whichever hosts saw them. Two deaths within 10 min refuse the request for 10 min
 * after the second.
 *
 * A shared digest (isSharedDigest()) may stand for many requests, so three deaths refuse it, for a
 * minute that doubles with each further death, and a run that did not crash its server takes back
 * all deaths before it.
 */
class CrashQuarantine
{
public:
    /** Deaths after which a request is refused. */
    static constexpr std::uint32_t deathLimit = 2;
    /** How long a request is refused, and how far apart its deaths may be, in milliseconds. */
    static constexpr Milliseconds duration{600'000};
    /** A run that has produced output for this long is sound: it did not crash its server. */
    static constexpr Milliseconds crashFreeRunTime{1000};
    /** Deaths after which a shared digest is refused. */
    static constexpr std::uint32_t sharedDeathLimit = 3;
    /** How long a shared digest is refused at first; one run in that time costs few servers. */
    static constexpr Milliseconds sharedDuration{60'000};

    /** Creates a quarantine without records. */
    explicit CrashQuarantine(CrashQuarantineOptions options = {});

    /** What is known of a request when it begins to be refused. */
    struct RefusalNotice
    {
        /** The request's digest. */
        std::uint64_t requestDigest = 0;
        /** The deaths that count. */
        std::uint32_t deaths = 0;
        /** Whether this host saw one of the deaths itself. */
        bool isOwn = false;
    };

    /** Is called when a request begins to be refused. */
    using RefusalHook = std::function<void(const RefusalNotice &)>;

    /** Sets the hook; it must not call back. */
    void setRefusalHook(RefusalHook hook);

    /** Records that a server was lost while it ran a request; a digest of 0 is ignored. */
    void recordDeath(std::uint64_t requestDigest, const BackendServerName &server,
                     Milliseconds now);
    /** Records a run that did not crash its server; counts for shared digests with deaths only. */
    void recordCrashFreeRun(std::uint64_t requestDigest, Milliseconds now);
    /** Merges a peer's records. */
    void merge(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Returns how long a request is still refused, or nothing if it may run. */
    std::optional<Milliseconds> refusedFor(std::uint64_t requestDigest, Milliseconds now) const;
    /** Returns whether a request was part of a death that still counts. */
    bool isSuspect(std::uint64_t requestDigest, Milliseconds now) const;
    /** Returns the records for peers, those of refused requests first, then the latest deaths. */
    std::vector<QuarantineRecord> records(Milliseconds now) const;
    /** Forgets what no longer counts. */
    void advance(Milliseconds now);
    /** Returns the number of remembered request digests. */
    std::size_t size() const;

private:
    struct Death
    {
        std::uint64_t serverDigest = 0;
        Milliseconds at{0};
    };

    struct Incident
    {
        std::uint64_t name = 0;
        Milliseconds at{0};
    };

    using Deaths = std::map<std::uint64_t, Death>;

    /** What is known of one request. */
    struct History
    {
        /** The deaths by incident. */
        Deaths deaths;
        /** The latest run that did not crash its server. */
        std::optional<Incident> crashFreeRun;
        /** Whether this host saw one of the deaths itself. */
        bool hasOwnDeath = false;
    };

    std::vector<Milliseconds> distinctDeaths(const History &history, Milliseconds now) const;
    void addCrashFreeRun(std::uint64_t requestDigest, const Incident &run);
    std::uint64_t nextIdentifier(std::uint64_t salt);
    void add(std::uint64_t requestDigest, std::uint64_t incident, const Death &death,
             Milliseconds now);
    void evict();

    CrashQuarantineOptions options;
    std::unordered_map<std::uint64_t, History> digests;
    std::unordered_map<std::uint64_t, Incident> incidents;
    std::uint64_t identifierCount = 0;
    RefusalHook refusalHook;
};

} // namespace sassafrasyard
