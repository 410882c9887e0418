#pragma once

#include "policy/load/loadtracker.h"
#include "policy/pace/pacemonitor.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sassafrasyard {

/** How fast a host found an engine, to be told to other hosts. */
struct EngineSpeed
{
    /** The engine. */
    BackendServerName server;
    /** Time per token of one stream without the effect of the batch, in milliseconds. */
    double millisecondsPerToken = 0.0;
    /** How many recent measurements it is the mean of. */
    double samples = 0.0;
};

/**
 * Learns how fast each engine is compared with the others of its model.
 *
 * Answers the load of engines of unlike speed that would otherwise get equal shares of the work.
 * One host sees an engine too rarely, so hosts tell each other what they measured. Measurements are
 * averaged by logarithm and lose half of their weight in 10 s: a disturbance of some hundred
 * milliseconds weighs little, and an engine that turns slow is noticed within seconds.
 *
 * Uses no clock or other input.
 */
class EngineSpeeds
{
public:
    /** The time in which a measurement loses half of its weight. */
    static constexpr Milliseconds halfLife{10000};
    /** Engines within this factor of the median count as equally fast; noise is of that size. */
    static constexpr double equalFactor = 1.25;
    /** The bounds of a ratio, so that one wrong measurement does not decide alone. */
    static constexpr double largestRatio = 4.0;
    /** The largest weight of one message of a peer, in measurements. */
    static constexpr double largestPeerWeight = 8.0;
    /** A time per token beyond this is not believed, in milliseconds. */
    static constexpr double largestInterval = 10'000.0;

    /** Replaces the servers. Data of servers that remain is kept. */
    void setServers(std::span<const PaceMonitor::Member> members);
    /** Discards the data of an index, for example when its server has restarted. */
    void resetServer(ServerIndex serverIndex);
    /** Records the time per token of an own stream, in milliseconds. */
    void recordOwn(ServerIndex serverIndex, double milliseconds, Milliseconds now);
    /**
     * Records what a peer measured.
     *
     * @return false if it is not believed, because it is no number or out of bounds.
     */
    bool recordPeer(ServerIndex serverIndex, double milliseconds, double samples, Milliseconds now);
    /** Calculates the ratios from the measurements. Call it regularly. */
    void advance(Milliseconds now);

    /**
     * Returns the time per token of a server divided by the median of its model; above 1 is slower.
     * 1 if it is unknown or within equalFactor.
     */
    double ratio(ServerIndex serverIndex) const;
    /** Returns the own mean time per token and its weight; the weight is 0 if it is unknown. */
    EngineSpeed own(ServerIndex serverIndex, Milliseconds now) const;

private:
    /** A mean of logarithms whose measurements lose weight with time. */
    struct Mean
    {
        double weightedSum = 0.0;
        double weight = 0.0;
        Milliseconds updatedAt{0};

        void add(double value, double valueWeight, Milliseconds now);
        double weightAt(Milliseconds now) const;
    };

    struct Server
    {
        /** The number of its first model, if it is listed. */
        std::uint32_t model = 0;
        bool isMember = false;
        Mean own;
        Mean all;
        double ratio = 1.0;
    };

    Server &serverAt(ServerIndex serverIndex);

    std::vector<Server> servers;
    std::uint32_t modelCount = 0;
};

} // namespace sassafrasyard
