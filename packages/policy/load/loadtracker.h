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

/**
 * The index of a backend server in a ServerPool and its parts; reused after the server is removed.
 */
using ServerIndex = std::uint32_t;

/** Settings of a LoadTracker. */
struct LoadTrackerOptions
{
    /** Up to this age a load report has full weight, in milliseconds. */
    Milliseconds fullWeightAge{2000};
    /**
     * From this age on a load report has no weight, in milliseconds. Must be above fullWeightAge.
     */
    Milliseconds zeroWeightAge{10000};
    /** The time after which a peer's digest that was not renewed is dropped, in milliseconds. */
    Milliseconds peerTimeout{15000};
    /**
     * How long short work in a peer's digest counts until setShortWorkLifetime() is called, in
     * milliseconds.
     */
    Milliseconds initialShortWorkLifetime{1000};
};

/** Kinds of work in a peer's digest that end soon after the digest was made. */
enum class ShortWork : std::uint8_t {
    /** Requests on a plain service. */
    Requests,
    /** Prompts that an engine has not processed yet. */
    Prompts,
};

/** One entry of a peer's digest, with the server's index. */
struct PeerServerLoad
{
    /** The backend server. */
    ServerIndex serverIndex = 0;
    /** Number of the peer's requests running there. */
    std::uint32_t running = 0;
    /** Engine memory that the peer has reserved there, in tokens. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of the peer's prompts that are not processed yet. */
    std::uint32_t pendingPromptTokens = 0;
    /** Whether running counts as ShortWork::Requests, which expires early. */
    bool isShortWork = false;
};

/** The estimated load of one server. */
struct LoadEstimate
{
    /** Number of requests running or waiting there. */
    double running = 0.0;
    /** Memory that other hosts use or have reserved there, in tokens. */
    double othersMemory = 0.0;
    /** The total memory that the server last reported, in tokens; 0 if unknown. */
    std::uint32_t reportedMemory = 0;
    /** Tokens of peers' prompts that are not processed yet. */
    double peersPendingPromptTokens = 0.0;
};

/**
 * Estimates the load of backend servers from their last reports, this host's own requests and
 * peers' digests.
 *
 * The estimate is the reported load plus the known changes since the report was taken. As the
 * report ages, the estimate shifts to the requests that this host and its peers are known to have
 * there, so that an old report does not make a server look full.
 */
class LoadTracker
{
public:
    /** Creates a tracker without servers. */
    explicit LoadTracker(LoadTrackerOptions options = {});
    LoadTracker(const LoadTracker &) = delete;
    LoadTracker &operator=(const LoadTracker &) = delete;

    /** Starts tracking a server as idle, and discards any earlier data of this index. */
    void addServer(ServerIndex serverIndex);
    /** Discards all data about a server, including its entries in peers' digests. */
    void removeServer(ServerIndex serverIndex);
    /** Discards a server's report, for example after the server restarted. */
    void discardReport(ServerIndex serverIndex);

    /** Records this host's running requests on a server and the memory they use, in tokens. */
    void recordOwnLoad(ServerIndex serverIndex, std::uint32_t running, std::uint64_t usedTokens,
                       Milliseconds now);
    /** Records a load report; ignored if it was taken before the last recorded one. */
    void recordReport(ServerIndex serverIndex, const LoadReport &report, Milliseconds now);
    /** Records a peer's digest; ignored unless its sequence is above the last recorded one. */
    void recordPeerLoad(const HostName &peer, std::uint64_t sequence,
                        std::span<const PeerServerLoad> loads, Milliseconds now);
    /**
     * Sets how long short work in a peer's digest counts.
     *
     * In a large fleet, a peer's digest is renewed only every few seconds, long after such work
     * ended; counting it until then would make idle servers look full.
     */
    void setShortWorkLifetime(ShortWork kind, Milliseconds time);
    /** Drops the digests of peers that timed out, and expired short work. Call it regularly. */
    void advance(Milliseconds now);

    /** Returns the estimated load of a server. */
    LoadEstimate estimate(ServerIndex serverIndex, Milliseconds now) const;
    /** Returns the estimated number of requests running or waiting on a server. */
    double running(ServerIndex serverIndex, Milliseconds now) const;
    /**
     * Returns the estimated memory that other hosts use or have reserved on a server, in tokens.
     */
    double othersMemory(ServerIndex serverIndex, Milliseconds now) const;
    /** Returns the total memory that a server last reported, in tokens; 0 if unknown. */
    std::uint32_t reportedMemory(ServerIndex serverIndex) const;
    /** Returns the number of peers whose digests are in use. */
    std::size_t peerCount() const;

private:
    /** The requests known to this host at one time, and the memory of its own, in tokens. */
    struct Sample
    {
        Milliseconds time{0};
        std::int64_t knownRunning = 0;
        std::uint64_t usedTokens = 0;
    };

    /**
     * The data that estimate() reads; one cache line, because placement reads it for every server.
     */
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

    /** The past known load of a server, to compare with late reports. */
    struct History
    {
        std::uint64_t ownUsed = 0;
        /** Oldest first; the first one applies to all earlier times. */
        std::vector<Sample> samples{{Milliseconds::min(), 0, 0}};
    };

    struct Peer
    {
        std::uint64_t sequence = 0;
        Milliseconds receivedAt{0};
        std::vector<PeerServerLoad> loads;
    };

    /** A digest whose short work has not expired. */
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
