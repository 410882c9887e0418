#include "policy/placement/trackedsubset.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <iterator>
#include <map>
#include <numeric>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace {

/** The planned share of the limit; the rest absorbs the uneven distribution of hashing. */
constexpr double plannedShare = 0.85;
/** The minimum number of hosts that track a server. */
constexpr std::size_t minimumTrackers = 2;
/**
 * The minimum number of servers of a model that a host tracks, if the model has as many, multiplied
 * by the number of its servers per host. With fewer choices, a few busy servers make a host refuse
 * calls that others could run, and with fewer than the servers per host, some are not used at all.
 */
constexpr std::size_t minimumChoices = 4;

struct HashedHost
{
    std::uint64_t hash;
    std::uint64_t domain;
    bool isSelf;
};

struct Score
{
    std::uint64_t score;
    bool isSameDomain;
    bool isSelf;
};

/** A server, and this host's rank among the hosts that may track it. */
struct RankedServer
{
    std::size_t server;
    std::size_t rank;
    std::uint64_t score;
    /** Whether this host is one of those that track it. */
    bool isAssigned;
};

bool isHigher(const Score &left, const Score &right)
{
    return left.score > right.score;
}

std::vector<HashedHost> hashHosts(std::span<const TrackingHost> liveHosts, const TrackingHost &self)
{
    std::vector<HashedHost> hosts{
            {stableHash(self.name.toString()), stableHash(self.failureDomain.toString()), true}};
    for (const TrackingHost &host : liveHosts) {
        if (host.name != self.name)
            hosts.push_back({stableHash(host.name.toString()),
                             stableHash(host.failureDomain.toString()), false});
    }
    return hosts;
}

/** Returns how many servers of a model a host tracks at least, whatever the limit. */
std::size_t minimumShare(std::size_t serverCount, std::size_t hostCount)
{
    const std::size_t serversPerHost = (serverCount + hostCount - 1) / hostCount;
    return std::min(serverCount, minimumChoices * serversPerHost);
}

/**
 * Divides the limit among models so that models with few servers are tracked completely. Each model
 * gets its minimum share, also if the limit is too small for all of them.
 */
std::vector<std::size_t> shareLimit(std::span<const std::size_t> groupSizes, std::size_t hostCount,
                                    std::size_t limit)
{
    std::vector<std::size_t> order(groupSizes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return groupSizes[left] < groupSizes[right];
    });
    std::vector<std::size_t> shares(groupSizes.size());
    std::size_t remaining = limit;
    for (std::size_t assigned = 0; assigned < order.size(); ++assigned) {
        const std::size_t size = groupSizes[order[assigned]];
        const std::size_t share = std::max(std::min(size, remaining / (order.size() - assigned)),
                                           minimumShare(size, hostCount));
        shares[order[assigned]] = share;
        remaining -= std::min(remaining, share);
    }
    return shares;
}

/**
 * Returns how many of a server's hosts are of its failure domain: half of them, and those that the
 * other domains lack.
 */
std::size_t sameDomainShare(std::size_t trackerCount, std::size_t sameDomainHosts,
                            std::size_t otherDomainHosts)
{
    const std::size_t half = (trackerCount + 1) / 2;
    const std::size_t missing = trackerCount - std::min(trackerCount, otherDomainHosts);
    return std::min(sameDomainHosts, std::max(half, missing));
}

/** Ranks this host among the hosts by their hash for a server. */
class ServerRanking
{
public:
    explicit ServerRanking(std::span<const HashedHost> hosts)
        : hosts(hosts)
    {
    }

    RankedServer rankSelf(std::size_t index, const BackendServer &ranked, std::size_t trackerCount)
    {
        const std::uint64_t server = stableHash(ranked.name.toString());
        const std::uint64_t domain = stableHash(ranked.failureDomain.toString());
        this->scores.clear();
        std::size_t sameDomainHosts = 0;
        for (const HashedHost &host : this->hosts) {
            this->scores.push_back(
                    {combineHashes(server, host.hash), host.domain == domain, host.isSelf});
            sameDomainHosts += host.domain == domain ? 1 : 0;
        }
        const std::size_t sameDomainTrackers = sameDomainShare(
                trackerCount, sameDomainHosts, this->hosts.size() - sameDomainHosts);
        const bool isSameDomain = this->scores.front().isSameDomain;
        const std::size_t higher = this->countHigher();
        const std::size_t count =
                isSameDomain ? sameDomainTrackers : trackerCount - sameDomainTrackers;
        const std::size_t firstRank = isSameDomain ? 0 : sameDomainTrackers;
        return {index, firstRank + higher, this->scores.front().score, higher < count};
    }

private:
    /** Returns how many hosts on this host's side of the failure domain have a higher score. */
    std::size_t countHigher() const
    {
        const Score &self = this->scores.front();
        return static_cast<std::size_t>(
                std::count_if(this->scores.begin(), this->scores.end(), [&](const Score &score) {
                    return score.isSameDomain == self.isSameDomain && isHigher(score, self);
                }));
    }

    std::span<const HashedHost> hosts;
    std::vector<Score> scores;
};

std::size_t trackersPerServer(std::size_t share, std::size_t serverCount, std::size_t hostCount)
{
    if (share >= serverCount)
        return hostCount;
    const double planned = plannedShare * static_cast<double>(share)
            * static_cast<double>(hostCount) / static_cast<double>(serverCount);
    return std::clamp(static_cast<std::size_t>(planned), std::min(minimumTrackers, hostCount),
                      hostCount);
}

const ModelName &firstModel(const BackendServer &server)
{
    static const ModelName none;
    return server.models.empty() ? none : server.models.front();
}

std::map<ModelName, std::vector<std::size_t>> groupByModel(std::span<const BackendServer> servers)
{
    std::map<ModelName, std::vector<std::size_t>> groups;
    for (std::size_t index = 0; index < servers.size(); ++index)
        groups[firstModel(servers[index])].push_back(index);
    return groups;
}

/** Returns each group's share of the limit, in the order of the groups. */
std::vector<std::size_t> sharesOf(const std::map<ModelName, std::vector<std::size_t>> &groups,
                                  std::size_t hostCount, std::size_t limit)
{
    std::vector<std::size_t> sizes;
    for (const auto &[model, members] : groups)
        sizes.push_back(members.size());
    return shareLimit(sizes, hostCount, limit);
}

std::vector<HostName> namesOf(std::span<const TrackingHost> hosts)
{
    std::vector<HostName> names;
    for (const TrackingHost &host : hosts)
        names.push_back(host.name);
    return names;
}

} // namespace

std::vector<HostName> trackingHosts(std::span<const BackendServer> servers,
                                    std::span<const TrackingHost> liveHosts,
                                    const BackendServerName &server, std::size_t limit)
{
    const auto known = std::find_if(servers.begin(), servers.end(),
                                    [&](const auto &other) { return other.name == server; });
    if (known == servers.end())
        return {};
    if (servers.size() <= limit || liveHosts.empty())
        return namesOf(liveHosts);
    const auto groups = groupByModel(servers);
    const std::vector<std::size_t> shares = sharesOf(groups, liveHosts.size(), limit);
    const auto group = groups.find(firstModel(*known));
    const auto position = static_cast<std::size_t>(std::distance(groups.begin(), group));
    const std::size_t trackerCount =
            trackersPerServer(shares[position], group->second.size(), liveHosts.size());
    std::vector<std::pair<std::uint64_t, const TrackingHost *>> sameDomain;
    std::vector<std::pair<std::uint64_t, const TrackingHost *>> otherDomains;
    const std::uint64_t hash = stableHash(server.toString());
    for (const TrackingHost &host : liveHosts) {
        auto &domainHosts = host.failureDomain == known->failureDomain ? sameDomain : otherDomains;
        domainHosts.emplace_back(combineHashes(hash, stableHash(host.name.toString())), &host);
    }
    const std::size_t sameDomainTrackers =
            sameDomainShare(trackerCount, sameDomain.size(), otherDomains.size());
    std::vector<HostName> names;
    const auto appendHighest = [&names](auto &domainHosts, std::size_t count) {
        std::sort(domainHosts.rbegin(), domainHosts.rend());
        for (std::size_t index = 0; index < std::min(count, domainHosts.size()); ++index)
            names.push_back(domainHosts[index].second->name);
    };
    appendHighest(sameDomain, sameDomainTrackers);
    appendHighest(otherDomains, trackerCount - sameDomainTrackers);
    return names;
}

std::vector<std::size_t> trackedSubset(std::span<const BackendServer> servers,
                                       std::span<const TrackingHost> liveHosts,
                                       const TrackingHost &self, std::size_t limit)
{
    std::vector<std::size_t> tracked;
    if (servers.size() <= limit) {
        tracked.resize(servers.size());
        std::iota(tracked.begin(), tracked.end(), std::size_t{0});
        return tracked;
    }
    const auto groups = groupByModel(servers);
    const std::vector<HashedHost> hosts = hashHosts(liveHosts, self);
    const std::vector<std::size_t> shares = sharesOf(groups, hosts.size(), limit);
    ServerRanking ranking(hosts);
    std::size_t group = 0;
    for (const auto &[model, members] : groups) {
        const std::size_t share = shares[group++];
        const std::size_t trackerCount = trackersPerServer(share, members.size(), hosts.size());
        std::vector<RankedServer> entries;
        std::size_t assignedCount = 0;
        for (const std::size_t index : members) {
            entries.push_back(ranking.rankSelf(index, servers[index], trackerCount));
            assignedCount += entries.back().isAssigned ? 1 : 0;
        }
        // Above the share, drop the servers for which most other hosts rank higher; below the
        // minimum, add those of which this host is nearly one of the hosts.
        std::sort(entries.begin(), entries.end(),
                  [](const RankedServer &left, const RankedServer &right) {
                      if (left.isAssigned != right.isAssigned)
                          return left.isAssigned;
                      return left.rank != right.rank ? left.rank < right.rank
                                                     : left.score > right.score;
                  });
        const std::size_t minimum = std::min(share, minimumShare(members.size(), hosts.size()));
        entries.resize(std::clamp(assignedCount, minimum, share));
        for (const RankedServer &entry : entries)
            tracked.push_back(entry.server);
    }
    std::sort(tracked.begin(), tracked.end());
    return tracked;
}

} // namespace sassafrasyard
