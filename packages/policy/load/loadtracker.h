#pragma once

#include "policy/servers/loadreport.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace sassafrasyard {

/** The number by which a ServerPool and its parts know a backend server. */
using ServerIndex = std::uint32_t;

/** Times that a LoadTracker uses. */
struct LoadTrackerOptions
{
    /** Up to this age a load report counts in full, in milliseconds. */
    Milliseconds fullWeightAge{2000};
    /** From this age on a load report counts no more, in milliseconds. */
    Milliseconds zeroWeightAge{10000};
    /** A peer's digest is dropped when it was not renewed for so long, in milliseconds. */
    Milliseconds peerTimeout{15000};
    /**
     * How long each kind of short work in a peer's digest counts until its typical time is known,
     * in milliseconds.
     */
    Milliseconds initialShortWorkLifetime{1000};
};

/** Work in a peer's digest that ends soon after the digest was made. */
enum class ShortWork : std::uint8_t {
    /** Requests on a server that is no engine. */
    Requests,
    /** Prompts that an engine has not read yet. */
    Prompts,
};

/** One entry of a peer's digest with the server's slot. */
struct PeerServerLoad
{
    /** The backend server. */
    ServerIndex serverIndex = 0;
    /** Requests that the peer has running there. */
    std::uint32_t running = 0;
    /** Tokens of engine memory that the peer has reserved there. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of the peer's prompts that are still to be read there. */
    std::uint32_t pendingPromptTokens = 0;
    /** Whether the requests that run there are short, so that they count for a short time only. */
    bool isShortWork = false;
};

/** The estimated load of one server. */
struct LoadEstimate
{
    /** Requests running or waiting there. */
    double running = 0.0;
    /** Memory that others use or reserved there, in tokens. */
    double othersMemory = 0.0;
    /** The memory that the server last reported to have, in tokens; 0 if unknown. */
    std::uint32_t reportedMemory = 0;
    /** Tokens of peers' prompts that are still to be read there. */
    double peersPendingPromptTokens = 0.0;
};

/**
 * Estimates the load of backend servers from their last reports, this host's own work and peers'
 * digests.
 *
 * The estimate is the report's figure plus what is known to have changed since the report was
 * taken. As the report ages, the estimate moves to the work that this host and its peers are known
 * to have there, so a server whose report is old is not taken for full.
 */
class LoadTracker
{
public:
    /** Creates a tracker without servers. */
    explicit LoadTracker(LoadTrackerOptions options = {});
    LoadTracker(const LoadTracker &) = delete;
    LoadTracker &operator=(const LoadTracker &) = delete;

    /** Starts (or starts anew) to track a server, as idle. */
    void addServer(ServerIndex serverIndex);
    /** Forgets a server's report and what peers said about it. */
    void removeServer(ServerIndex serverIndex);
    /** Forgets a server's report, as when the server restarted. */
    void forgetReport(ServerIndex serverIndex);

    /** Records this host's requests on a server and the tokens of memory they use by now. */
    void recordOwn(ServerIndex serverIndex, std::uint32_t running, std::uint64_t usedTokens,
                   Milliseconds now);
    /** Records a load report; one taken before the last known one is ignored. */
    void recordReport(ServerIndex serverIndex, const LoadReport &report, Milliseconds now);
    /** Records a peer's digest; one that is not newer than the last known one is ignored. */
    void recordPeer(const HostName &peer, std::uint64_t sequence,
                    std::span<const PeerServerLoad> loads, Milliseconds now);
    /**
     * Sets how long short work of a peer's digest counts.
     *
     * In a large fleet each host hears of a peer only every few seconds, when such work has long
     * ended; counting it for that long makes idle servers look full.
     */
    void setShortWorkLifetime(ShortWork kind, Milliseconds time);
    /** Drops the digests of silent peers, and the short work of those that are not fresh. */
    void advance(Milliseconds now);

    /** Returns the estimated load of a server. */
    LoadEstimate estimate(ServerIndex serverIndex, Milliseconds now) const;
    /** Returns the estimated requests running or waiting on a server. */
    double running(ServerIndex serverIndex, Milliseconds now) const;
    /** Returns the estimated memory that others use or reserved on a server, in tokens. */
    double othersMemory(ServerIndex serverIndex, Milliseconds now) const;
    /** Returns the memory that the server last reported to have, in tokens; 0 if unknown. */
    std::uint32_t reportedMemory(ServerIndex serverIndex) const;
    /** Returns the number of peers whose digests count. */
    std::size_t peerCount() const;

private:
    /** Work that this host knows of at one time. */
    struct Sample
    {
        Milliseconds time{0};
        std::int64_t knownRunning = 0;
        std::uint64_t usedTokens = 0;
    };

    /** What estimate() reads; one cache line, because placement reads it for every server. */
    struct alignas(64) Server
    {
        Milliseconds reportTakenAt{0};
        std::int64_t ownRunning = 0;
        std::int64_t peersRunning = 0;
        std::int64_t peersReserved = 0;
        std::int64_t peersPendingPromptTokens = 0;
        std::int64_t knownAtReport = 0;
        double reportedRunning = 0.0;
        double reportedOthersMemory = 0.0;
        std::uint32_t memoryTotal = 0;
        bool hasReport = false;
    };

    /** What is known of a server's past. */
    struct History
    {
        std::uint64_t ownUsed = 0;
        /** Oldest first; the first one stands for all earlier times. */
        std::vector<Sample> samples{{Milliseconds::min(), 0, 0}};
    };

    struct Peer
    {
        std::uint64_t sequence = 0;
        Milliseconds receivedAt{0};
        std::vector<PeerServerLoad> loads;
    };

    /** A digest of which some short work still counts. */
    struct FreshDigest
    {
        HostName peer;
        std::uint64_t sequence = 0;
        Milliseconds receivedAt{0};
    };

    struct ShortWorkState
    {
        ShortWork kind = ShortWork::Requests;
        Milliseconds lifetime{0};
        /** Oldest first. */
        std::deque<FreshDigest> digests;
    };

    static std::int64_t knownRunning(const Server &server);
    const Sample &sampleAt(ServerIndex serverIndex, Milliseconds time) const;
    void addSample(ServerIndex serverIndex, Milliseconds now);
    void shiftBaseline(ServerIndex serverIndex, std::int64_t amount);
    void applyPeer(const Peer &peer, std::int64_t sign, bool isBaseline, Milliseconds now);
    void dropShortWork(Peer &peer, ShortWork kind, Milliseconds now);
    double reportWeight(const Server &server, Milliseconds now) const;

    LoadTrackerOptions options;
    std::vector<Server> servers;
    std::vector<History> histories;
    std::map<HostName, Peer> peers;
    std::array<ShortWorkState, 2> shortWork;
};

inline std::int64_t LoadTracker::knownRunning(const Server &server)
{
    return server.ownRunning + server.peersRunning;
}

inline double LoadTracker::reportWeight(const Server &server, Milliseconds now) const
{
    if (!server.hasReport)
        return 0.0;
    const Milliseconds age = now - server.reportTakenAt;
    if (age <= this->options.fullWeightAge)
        return 1.0;
    if (age >= this->options.zeroWeightAge)
        return 0.0;
    const Milliseconds span = this->options.zeroWeightAge - this->options.fullWeightAge;
    return static_cast<double>((this->options.zeroWeightAge - age).count())
            / static_cast<double>(span.count());
}

inline LoadEstimate LoadTracker::estimate(ServerIndex serverIndex, Milliseconds now) const
{
    const Server &server = this->servers[serverIndex];
    const double weight = this->reportWeight(server, now);
    const auto knownNow = static_cast<double>(knownRunning(server));
    const double changed = knownNow - static_cast<double>(server.knownAtReport);
    const double reported = std::max(0.0, server.reportedRunning + changed);
    const double blended = weight * reported + (1.0 - weight) * knownNow;
    return {std::max(blended, static_cast<double>(server.ownRunning)),
            std::max(weight * server.reportedOthersMemory,
                     static_cast<double>(server.peersReserved)),
            server.memoryTotal, static_cast<double>(server.peersPendingPromptTokens)};
}

} // namespace sassafrasyard
