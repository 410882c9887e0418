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

/** Settings of a CrashQuarantine. */
struct CrashQuarantineOptions
{
    /** Seed that makes the identifiers of incidents unique among hosts and process starts. */
    std::uint64_t seed = 1;
    /** Maximum number of request digests that are kept. */
    std::size_t digestLimit = 4096;
    /** Maximum number of records sent to a peer at once; a record takes up to 34 bytes. */
    std::size_t reportLimit = 64;
};

/**
 * Refuses requests that were running on several backend servers when these died.
 *
 * Deaths form a set of (request, incident), so repeated records change nothing, and hosts that have
 * received the same records in any order agree. Deaths of the same server within 5 s count once,
 * even if different hosts recorded them. After two deaths within 10 min the request is refused for
 * 10 min after the second.
 *
 * A shared digest (isSharedDigest()) may identify many different requests. It is refused after
 * three deaths, for one minute that doubles with each further death, and a run that did not crash
 * its server cancels all deaths before it.
 */
class CrashQuarantine
{
public:
    /** Number of deaths after which a request is refused. */
    static constexpr std::uint32_t deathLimit = 2;
    /** How long a request is refused, and the maximum time between its deaths, in milliseconds. */
    static constexpr Milliseconds duration{600'000};
    /** A run that has produced output for this long counts as crash-free, in milliseconds. */
    static constexpr Milliseconds crashFreeRunTime{1000};
    /** Number of deaths after which a shared digest is refused. */
    static constexpr std::uint32_t sharedDeathLimit = 3;
    /**
     * How long a shared digest is refused at first, in milliseconds. One attempt in this time costs
     * few servers if the request does crash them.
     */
    static constexpr Milliseconds sharedDuration{60'000};

    /** Creates a quarantine without records. */
    explicit CrashQuarantine(CrashQuarantineOptions options = {});

    /** Describes a request that becomes refused. */
    struct RefusalNotice
    {
        /** The request's digest. */
        std::uint64_t requestDigest = 0;
        /** Number of deaths that currently count. */
        std::uint32_t deaths = 0;
        /** Whether this host recorded one of the deaths itself. */
        bool isOwn = false;
    };

    /** Called when a request becomes refused. */
    using RefusalHook = std::function<void(const RefusalNotice &)>;

    /** Sets the hook. It must not call this object. */
    void setRefusalHook(RefusalHook hook);

    /** Records that a server died while it ran a request; a digest of 0 is ignored. */
    void recordDeath(std::uint64_t requestDigest, const BackendServerName &server,
                     Milliseconds now);
    /**
     * Records a run that did not crash its server; ignored unless the digest is shared and has
     * deaths.
     */
    void recordCrashFreeRun(std::uint64_t requestDigest, Milliseconds now);
    /** Merges a peer's records; expired ones and those of parts of prompts are ignored. */
    void merge(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Returns the time for which a request is still refused, or nothing if it may run. */
    std::optional<Milliseconds> refusedFor(std::uint64_t requestDigest, Milliseconds now) const;
    /** Returns whether a request has a death that still counts. */
    bool isSuspect(std::uint64_t requestDigest, Milliseconds now) const;
    /**
     * Returns the records to send to peers, those of refused requests first, then the latest; at
     * most reportLimit.
     */
    std::vector<QuarantineRecord> records(Milliseconds now) const;
    /** Removes expired records. Call it regularly. */
    void advance(Milliseconds now);
    /** Returns the number of request digests that are kept. */
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

    /** The deaths and crash-free runs of one request. */
    struct History
    {
        /** The deaths by incident. */
        Deaths deaths;
        /** The latest run that did not crash its server. */
        std::optional<Incident> crashFreeRun;
        /** Whether this host recorded one of the deaths itself. */
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
