#pragma once

#include "policy/quarantine/crashquarantine.h"
#include "policy/quarantine/goodprompts.h"
#include "policy/servers/loadreport.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** Settings of a PromptPartQuarantine. */
struct PromptPartQuarantineOptions
{
    /** Seed that differs among hosts and process starts. */
    std::uint64_t seed = 1;
    /** Maximum number of parts with deaths that are kept. */
    std::size_t partLimit = 4096;
    /** Maximum number of parts whose last good run is remembered. */
    std::size_t goodPartLimit = 4096;
    /** Maximum number of records sent to a peer at once. */
    std::size_t reportLimit = 32;
};

/**
 * Refuses requests whose prompt has a part that crashes backend servers.
 *
 * Each death of a server is held against all parts of the requests that it had just begun, of all
 * hosts. A run that produces output without crashing its server clears its parts. What remains is
 * explained by as few parts as possible: the part with the most deaths is blamed first, and its
 * deaths no longer count for the others. Parts with the same deaths can't be told apart, so only
 * requests that have all of them are refused; the others show which one it is.
 *
 * Deaths form a set of (part, server process), so repeated records change nothing, and hosts that
 * have received the same records blame the same parts. The state of a host depends only on its
 * calls.
 */
class PromptPartQuarantine
{
public:
    /** Number of deaths for which a part is blamed that was not in a good run before. */
    static constexpr std::size_t deathLimit = 3;
    /**
     * Number of deaths for which such a part is blamed although several of them count as one; only
     * on a host that has seen good runs, which would have cleared a common part. Those that another
     * part explains count as well if deathLimit of them remain, because two parts that crash
     * servers may run side by side.
     */
    static constexpr std::size_t crowdedDeathLimit = 5;
    /** Number of deaths for which a part is blamed that was in a good run before; a fleet that
     * loses many servers is no proof. */
    static constexpr std::size_t goodPartDeathLimit = 8;
    /** Servers that die within this time have a cause in common, so they count as one death. */
    static constexpr Milliseconds deathSpacing{500};
    /**
     * How long a part is refused after its last death, in milliseconds. Each host adds a different
     * share of this time, so that one request tries it again and not one per host.
     */
    static constexpr Milliseconds duration = CrashQuarantine::duration;
    /** The same for a part that was in a good run; doubles with each further death. */
    static constexpr Milliseconds goodPartDuration{5000};

    /** Creates a quarantine without records. */
    explicit PromptPartQuarantine(PromptPartQuarantineOptions options = {});

    /** Sets the function that is called for each part that becomes blamed. */
    void setRefusalHook(CrashQuarantine::RefusalHook hook);

    /** Records that a server process died while it ran a request with these parts. */
    void recordDeath(std::span<const std::uint64_t> parts, const BackendServerName &run,
                     Milliseconds now);
    /** Records a run with these parts that produced output and did not crash its server. */
    void recordGoodRun(std::span<const std::uint64_t> parts, Milliseconds now);
    /** Merges a peer's records of parts; expired ones and those of requests are ignored. */
    void merge(std::span<const QuarantineRecord> records, Milliseconds now);
    /** Returns the time for which a request is still refused, or nothing if it may run. */
    std::optional<Milliseconds> refusedFor(std::span<const std::uint64_t> parts,
                                           Milliseconds now) const;
    /** Returns whether a request has a part that was refused and may be tried again. */
    bool isOnTrial(std::span<const std::uint64_t> parts, Milliseconds now) const;
    /** Returns the records to send to peers, those of blamed parts first, then the latest. */
    std::vector<QuarantineRecord> records(Milliseconds now) const;
    /** Removes expired records. Call it regularly. */
    void advance(Milliseconds now);
    /** Returns the number of parts with deaths that are kept. */
    std::size_t size() const;

private:
    struct Death
    {
        std::uint64_t serverDigest = 0;
        Milliseconds at{0};
    };

    using Deaths = std::vector<Death>;

    struct Part
    {
        Deaths deaths;
        /** Whether this host recorded one of the deaths itself. */
        bool hasOwnDeath = false;
    };

    /** The deaths that are not explained by a part that is blamed already. */
    struct Candidate
    {
        std::uint64_t part = 0;
        bool wasGood = false;
        Deaths deaths;
        /** The number of all deaths of the part, also those that another part explains. */
        std::size_t allDeaths = 0;
    };

    /** Parts with the same deaths, one of which crashes servers. */
    struct Blame
    {
        std::vector<std::uint64_t> parts;
        std::size_t deaths = 0;
        Milliseconds until{0};
    };

    static bool isSameDeath(const Death &left, const Death &right);
    static bool haveSameDeaths(const Deaths &left, const Deaths &right);
    static void removeDeaths(Deaths &deaths, const Deaths &explained);
    static std::size_t countSpaced(const Deaths &deaths);
    bool isBlamable(const Candidate &candidate) const;
    std::vector<Candidate>::const_iterator likeliest(
            const std::vector<Candidate> &candidates) const;

    bool addDeath(std::uint64_t part, const Death &death);
    bool removeClearedDeaths(std::uint64_t part, Milliseconds goodAt);
    std::vector<Candidate> candidates(Milliseconds now) const;
    Blame takeBlame(std::vector<Candidate> &candidates, const Candidate &first) const;
    Milliseconds refusalEnd(const Candidate &candidate) const;
    void updateBlames(Milliseconds now);
    void notify(const std::vector<Blame> &before) const;
    bool isBlamed(std::uint64_t part) const;
    void evict();

    PromptPartQuarantineOptions options;
    std::unordered_map<std::uint64_t, Part> parts;
    GoodPrompts goodRuns;
    std::vector<Blame> blames;
    CrashQuarantine::RefusalHook refusalHook;
};

} // namespace sassafrasyard
