#pragma once

#include "policy/load/loadtracker.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Settings of a PaceMonitor. */
struct PaceMonitorOptions
{
    /**
     * A server is slow if its time per token is at least this multiple of the median of its peers.
     */
    double slowRatio = 2.0;
    /** A slow server counts as normal again at or below this multiple. */
    double normalRatio = 1.4;
    /** Number of consecutive checks that must find a server slow before it is ejected. */
    std::uint32_t checksToChange = 2;
    /** Time between checks, in milliseconds. */
    Milliseconds checkInterval{250};
    /** The maximum share of a model's servers that may be ejected at a time. */
    double maximumEjectedShare = 0.34;
    /** The duration of the first ejection, in milliseconds; it doubles with each further one. */
    Milliseconds firstEjection{2000};
    /** The maximum duration of an ejection before jitter, in milliseconds. */
    Milliseconds longestEjection{30000};
    /** The time for which a measurement is used, in milliseconds. */
    Milliseconds sampleLifetime{5000};
    /** Seed of the jitter that keeps hosts from probing a server at the same time. */
    std::uint64_t seed = 1;
};

/** The state of a server in a PaceMonitor. */
enum class PaceState : std::uint8_t {
    /** The server gets requests like any other. */
    Normal,
    /** The server gets no new requests. */
    Ejected,
    /** The server gets a few requests, to check whether it is still slow. */
    Probing,
};

/** Returns the state's name for logs and metrics. */
std::string_view toString(PaceState state);

/**
 * Detects servers that are slow compared with their peers, and ejects them for a time.
 *
 * Pace is the time per token of one stream, so a server with long requests does not count as slow.
 * A server's peers are the servers with the same first model. The host's own measurement of streams
 * takes precedence over the server's report, which is delayed. If the maximum ejected share
 * prevents an ejection, placement can still use the ratio.
 */
class PaceMonitor
{
public:
    /** The value that allowance() returns for a server without a limit. */
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /** A server and the numbers of the models that it serves. */
    struct Member
    {
        /** The server's index. */
        ServerIndex serverIndex = 0;
        /** Its models; the first one determines its peers. */
        std::vector<std::uint32_t> models;
    };

    /** Creates a monitor without servers. */
    explicit PaceMonitor(PaceMonitorOptions options = {});
    PaceMonitor(const PaceMonitor &) = delete;
    PaceMonitor &operator=(const PaceMonitor &) = delete;

    /**
     * Returns the time per token corrected for the load of the batch.
     *
     * A full batch takes up to twice as long per token as an empty one; this must not count as
     * slow.
     *
     * @param milliseconds measured or reported time per token, in milliseconds.
     * @param running number of requests running at that time.
     * @param slots maximum number of requests running at a time.
     */
    static double unloadedInterval(double milliseconds, double running, std::uint32_t slots);

    /** Replaces the servers. Data of servers that remain is kept. */
    void setServers(std::span<const Member> members);
    /** Discards the data of an index, for example when another server gets it. */
    void resetServer(ServerIndex serverIndex);
    /** Records the unloaded time per token of an own stream on a server, in milliseconds. */
    void recordInterval(ServerIndex serverIndex, double milliseconds, Milliseconds now);
    /**
     * Records the number of own streams in decode on a server, to detect when all of them stall.
     */
    void recordDecoding(ServerIndex serverIndex, std::uint32_t streams);
    /** Records the unloaded time per token that a server reported, in milliseconds. */
    void recordReport(ServerIndex serverIndex, double milliseconds, Milliseconds takenAt);
    /** Checks all servers if checkInterval has passed since the last check. */
    void advance(Milliseconds now);

    /** Returns the time per token divided by the median of the peers; 1 if unknown. */
    double ratio(ServerIndex serverIndex) const { return this->assessments[serverIndex].ratio; }
    /** Returns the server's state. */
    PaceState state(ServerIndex serverIndex) const;
    /** Returns the maximum number of own requests outstanding on the server; see unlimited. */
    std::uint32_t allowance(ServerIndex serverIndex) const
    {
        return this->assessments[serverIndex].allowance;
    }
    /** Returns the servers that are ejected or being probed, ordered by index. */
    std::vector<ServerIndex> slowServers() const;

private:
    /** The data that placement reads for every server, kept separate for locality. */
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
