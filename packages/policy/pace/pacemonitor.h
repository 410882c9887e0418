#pragma once

#include "policy/load/loadtracker.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Thresholds and times of a PaceMonitor. */
struct PaceMonitorOptions
{
    /** A server is slow when its time per token is this many times the median of its peers. */
    double slowRatio = 2.0;
    /** A slow server is normal again below this ratio. */
    double normalRatio = 1.4;
    /** How many checks in a row must agree before a server counts as slow or as normal. */
    std::uint32_t checksToChange = 2;
    /** Time between checks, in milliseconds. */
    Milliseconds checkInterval{250};
    /** The largest share of a model's servers that may be ejected at a time. */
    double maximumEjectedShare = 0.34;
    /** How long an ejected server gets no work before the first probe, in milliseconds. */
    Milliseconds firstEjection{2000};
    /** How long at most, after repeated ejections, in milliseconds. */
    Milliseconds longestEjection{30000};
    /** How long a measurement counts, in milliseconds. */
    Milliseconds sampleLifetime{5000};
    /** Seed of the jitter that keeps hosts from probing at the same time. */
    std::uint64_t seed = 1;
};

/** How a PaceMonitor sees a server. */
enum class PaceState : std::uint8_t {
    /** It may get work like any other. */
    Normal,
    /** It gets no new work. */
    Ejected,
    /** It gets a little work, to see whether it is still slow. */
    Probing,
};

/** Returns the state's name for logs and metrics. */
std::string_view toString(PaceState state);

/**
 * Finds the servers that are slow compared with their peers.
 *
 * It looks at the time per token only, so a server with long jobs is not taken for slow. A server's
 * peers are the servers with the same first model. The own measurement of streams goes before the
 * server's report, which comes late. Where the ejected share forbids an ejection, the ratio is
 * still known and the placement can weigh it.
 */
class PaceMonitor
{
public:
    /** What allowance() returns for a server without a limit. */
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /** A server and the models that it serves, by number. */
    struct Member
    {
        /** The server. */
        ServerIndex serverIndex = 0;
        /** Its models; the first one decides who its peers are. */
        std::vector<std::uint32_t> models;
    };

    /** Creates a monitor without servers. */
    explicit PaceMonitor(PaceMonitorOptions options = {});
    PaceMonitor(const PaceMonitor &) = delete;
    PaceMonitor &operator=(const PaceMonitor &) = delete;

    /**
     * Returns a time per token without the share that comes from a full batch.
     *
     * A full batch takes up to twice as long per token as an empty one, which is not slowness.
     *
     * @param milliseconds measured or reported time per token.
     * @param running requests running at that time.
     * @param slots how many can run.
     */
    static double unloadedInterval(double milliseconds, double running, std::uint32_t slots);

    /** Replaces the servers; what is known of the slots that stay is kept. */
    void setServers(std::span<const Member> members);
    /** Forgets what is known of a slot, as when another server takes it. */
    void resetServer(ServerIndex serverIndex);
    /** Records an own stream's unloaded time per token on a server, in milliseconds. */
    void recordInterval(ServerIndex serverIndex, double milliseconds, Milliseconds now);
    /** Records how many own streams are in decode on a server, to notice when all stand still. */
    void recordDecoding(ServerIndex serverIndex, std::uint32_t streams);
    /** Records the unloaded time per token that a server reported, in milliseconds. */
    void recordReport(ServerIndex serverIndex, double milliseconds, Milliseconds takenAt);
    /** Checks all servers when it is time. */
    void advance(Milliseconds now);

    /** Returns the time per token relative to the median of the peers; 1 if unknown. */
    double ratio(ServerIndex serverIndex) const { return this->assessments[serverIndex].ratio; }
    /** Returns the server's state. */
    PaceState state(ServerIndex serverIndex) const;
    /** Returns how many own requests may be outstanding on the server at a time. */
    std::uint32_t allowance(ServerIndex serverIndex) const
    {
        return this->assessments[serverIndex].allowance;
    }
    /** Returns the servers that are ejected or probed, in the order of their slots. */
    std::vector<ServerIndex> slowServers() const;

private:
    /** What placement reads for every server. */
    struct Assessment
    {
        double ratio = 1.0;
        std::uint32_t allowance = unlimited;
    };

    struct Server
    {
        bool isMember = false;
        std::vector<std::uint32_t> models;
        double logInterval = 0.0;
        std::uint32_t samples = 0;
        Milliseconds sampledAt{0};
        std::uint32_t decoding = 0;
        double reportedInterval = 0.0;
        Milliseconds reportedAt{0};
        bool isRatioKnown = false;
        PaceState state = PaceState::Normal;
        std::uint32_t consecutiveChecks = 0;
        std::uint32_t ejections = 0;
        Milliseconds changedAt{0};
        Milliseconds ejectedUntil{0};
        Milliseconds probingSince{0};
    };

    struct ModelGroup
    {
        std::uint32_t servers = 0;
        std::uint32_t ejected = 0;
    };

    double intervalOf(const Server &server, Milliseconds now) const;
    void addStallSample(Server &server, Milliseconds now) const;
    void updateRatios(Milliseconds now);
    void check(ServerIndex serverIndex, Milliseconds now);
    void checkNormal(ServerIndex serverIndex, Milliseconds now);
    void checkEjected(ServerIndex serverIndex, Milliseconds now);
    void checkProbing(ServerIndex serverIndex, Milliseconds now);
    bool mayEject(const Server &server) const;
    void eject(ServerIndex serverIndex, Milliseconds now);
    void readmit(ServerIndex serverIndex, PaceState state, Milliseconds now);
    void growTo(ServerIndex serverIndex);
    void countEjected(const Server &server, int change);
    void enforceEjectedShare();

    PaceMonitorOptions options;
    std::vector<Server> servers;
    std::vector<Assessment> assessments;
    std::vector<ModelGroup> groups;
    std::vector<std::vector<ServerIndex>> peers;
    std::vector<double> intervals;
    Milliseconds checkedAt{0};
    bool hasChecked = false;
};

} // namespace sassafrasyard
