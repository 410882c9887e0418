#include "policy/speed/enginespeeds.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace sassafrasyard {

namespace {

/** The least weight for which a mean counts as known, in measurements. */
constexpr double minimumWeight = 4.0;
/** The least number of servers with a known mean for a median. */
constexpr std::size_t minimumServers = 3;
constexpr double smallestInterval = 0.01; // milliseconds per token
/** Older measurements were sent before; sent again, they would count as new ones. */
constexpr Milliseconds sendTime{2000};

} // namespace

void EngineSpeeds::Mean::add(double value, double valueWeight, Milliseconds now)
{
    const double factor = this->weight > 0.0 ? this->weightAt(now) / this->weight : 0.0;
    this->weightedSum = this->weightedSum * factor + value * valueWeight;
    this->weight = this->weight * factor + valueWeight;
    this->updatedAt = std::max(now, this->updatedAt);
}

double EngineSpeeds::Mean::weightAt(Milliseconds now) const
{
    const auto age = static_cast<double>(std::max(Milliseconds(0), now - this->updatedAt).count());
    return this->weight * std::exp2(-age / static_cast<double>(halfLife.count()));
}

void EngineSpeeds::setServers(std::span<const PaceMonitor::Member> members)
{
    for (Server &server : this->servers)
        server.isMember = false;
    this->modelCount = 0;
    for (const PaceMonitor::Member &member : members) {
        if (member.models.empty())
            continue;
        Server &server = this->serverAt(member.serverIndex);
        server.isMember = true;
        server.model = member.models.front();
        this->modelCount = std::max(this->modelCount, server.model + 1);
    }
}

void EngineSpeeds::resetServer(ServerIndex serverIndex)
{
    Server &server = this->serverAt(serverIndex);
    server.own = {};
    server.all = {};
    server.ratio = 1.0;
}

void EngineSpeeds::recordOwn(ServerIndex serverIndex, double milliseconds, Milliseconds now)
{
    Server &server = this->serverAt(serverIndex);
    const double value = std::log(std::clamp(milliseconds, smallestInterval, largestInterval));
    server.own.add(value, 1.0, now);
    server.all.add(value, 1.0, now);
}

bool EngineSpeeds::recordPeer(ServerIndex serverIndex, double milliseconds, double samples,
                              Milliseconds now)
{
    const bool isBelieved = std::isfinite(milliseconds) && std::isfinite(samples)
            && milliseconds >= smallestInterval && milliseconds <= largestInterval && samples > 0.0;
    if (!isBelieved)
        return false;
    this->serverAt(serverIndex)
            .all.add(std::log(milliseconds), std::min(samples, largestPeerWeight), now);
    return true;
}

void EngineSpeeds::advance(Milliseconds now)
{
    std::vector<std::vector<double>> known(this->modelCount);
    for (const Server &server : this->servers) {
        if (server.isMember && server.all.weightAt(now) >= minimumWeight)
            known[server.model].push_back(server.all.weightedSum / server.all.weight);
    }
    std::vector<double> medians(this->modelCount, 0.0);
    for (std::size_t model = 0; model < known.size(); ++model) {
        std::vector<double> &values = known[model];
        if (values.size() < minimumServers)
            continue;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        medians[model] = *middle;
    }
    for (Server &server : this->servers) {
        server.ratio = 1.0;
        if (!server.isMember || known[server.model].size() < minimumServers
            || server.all.weightAt(now) < minimumWeight)
            continue;
        const double mean = server.all.weightedSum / server.all.weight;
        const double ratio = std::exp(mean - medians[server.model]);
        if (ratio > equalFactor || ratio < 1.0 / equalFactor)
            server.ratio = std::clamp(ratio, 1.0 / largestRatio, largestRatio);
    }
}

double EngineSpeeds::ratio(ServerIndex serverIndex) const
{
    return serverIndex < this->servers.size() ? this->servers[serverIndex].ratio : 1.0;
}

EngineSpeed EngineSpeeds::own(ServerIndex serverIndex, Milliseconds now) const
{
    if (serverIndex >= this->servers.size())
        return {};
    const Mean &mean = this->servers[serverIndex].own;
    const double weight = mean.weightAt(now);
    if (weight < 1.0 || now - mean.updatedAt >= sendTime)
        return {};
    return {{}, std::exp(mean.weightedSum / mean.weight), weight};
}

EngineSpeeds::Server &EngineSpeeds::serverAt(ServerIndex serverIndex)
{
    if (serverIndex >= this->servers.size())
        this->servers.resize(serverIndex + 1);
    return this->servers[serverIndex];
}

} // namespace sassafrasyard
