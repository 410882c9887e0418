#include "policy/pace/pacemonitor.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sassafrasyard {

namespace {

/** Weight of a new sample in the moving average; the first 16 are averaged equally. */
constexpr double sampleWeight = 1.0 / 16.0;
/** The minimum number of own samples for an interval. */
constexpr std::uint32_t minimumSamples = 8;
/** The minimum number of servers with a known interval for a ratio. */
constexpr std::size_t minimumPeers = 3;
constexpr double minimumInterval = 0.01; // milliseconds per token
/** If this many streams stall, the cause is the server and not one slow caller. */
constexpr std::uint32_t minimumStalledStreams = 2;
constexpr Milliseconds stallTimeout{1000};
/**
 * The probing allowance doubles per probeGrowthInterval of normal speed up to this value; then the
 * limit is removed.
 */
constexpr std::uint32_t maximumProbeAllowance = 8;
constexpr Milliseconds probeGrowthInterval{1000};
/** After this time in the normal state, the next ejection has the duration of a first one. */
constexpr Milliseconds ejectionResetTime{60000};

} // namespace

std::string_view toString(PaceState state)
{
    switch (state) {
    case PaceState::Normal:
        return "normal";
    case PaceState::Ejected:
        return "ejected";
    case PaceState::Probing:
        return "probing";
    }
    return "unknown";
}

PaceMonitor::PaceMonitor(PaceMonitorOptions options)
    : options(options)
{
    assert(options.normalRatio < options.slowRatio);
    assert(options.maximumEjectedShare >= 0.0 && options.maximumEjectedShare < 0.5);
}

double PaceMonitor::unloadedInterval(double milliseconds, double running, std::uint32_t slots)
{
    return milliseconds / (1.0 + std::min(1.0, running / std::max<std::uint32_t>(slots, 1)));
}

void PaceMonitor::setServers(std::span<const Member> members)
{
    for (Server &server : this->servers)
        server.isMember = false;
    std::uint32_t modelCount = 0;
    for (const Member &member : members) {
        this->growTo(member.serverIndex);
        this->servers[member.serverIndex].isMember = true;
        this->servers[member.serverIndex].models = member.models;
        for (const std::uint32_t model : member.models)
            modelCount = std::max(modelCount, model + 1);
    }
    this->groups.assign(modelCount, {});
    this->peers.assign(modelCount, {});
    for (ServerIndex serverIndex = 0; serverIndex < this->servers.size(); ++serverIndex) {
        Server &server = this->servers[serverIndex];
        if (!server.isMember) {
            server = Server{};
            this->assessments[serverIndex] = Assessment{};
            continue;
        }
        for (const std::uint32_t model : server.models)
            ++this->groups[model].servers;
        if (!server.models.empty())
            this->peers[server.models.front()].push_back(serverIndex);
        if (server.state == PaceState::Ejected)
            this->countEjected(server, 1);
    }
    this->enforceEjectedShare();
}

void PaceMonitor::resetServer(ServerIndex serverIndex)
{
    this->growTo(serverIndex);
    if (this->servers[serverIndex].state == PaceState::Ejected)
        this->countEjected(this->servers[serverIndex], -1);
    this->servers[serverIndex] = Server{};
    this->assessments[serverIndex] = Assessment{};
}

void PaceMonitor::recordInterval(ServerIndex serverIndex, double milliseconds, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    if (now - server.sampledAt >= this->options.sampleLifetime)
        server.samples = 0;
    // The logarithm reduces the influence of one caller that reads slowly.
    const double sample = std::log(std::max(milliseconds, minimumInterval));
    ++server.samples;
    const double weight = std::max(sampleWeight, 1.0 / server.samples);
    server.logInterval += weight * (sample - server.logInterval);
    server.sampledAt = now;
}

void PaceMonitor::recordDecoding(ServerIndex serverIndex, std::uint32_t streams)
{
    this->servers[serverIndex].decoding = streams;
}

void PaceMonitor::recordReport(ServerIndex serverIndex, double milliseconds, Milliseconds takenAt)
{
    Server &server = this->servers[serverIndex];
    if (milliseconds <= 0.0)
        return;
    server.reportedInterval = milliseconds;
    server.reportedAt = takenAt;
}

void PaceMonitor::advance(Milliseconds now)
{
    if (this->hasChecked && now - this->checkedAt < this->options.checkInterval)
        return;
    this->hasChecked = true;
    this->checkedAt = now;
    this->updateRatios(now);
    for (ServerIndex serverIndex = 0; serverIndex < this->servers.size(); ++serverIndex) {
        if (this->servers[serverIndex].isMember)
            this->check(serverIndex, now);
    }
}

PaceState PaceMonitor::state(ServerIndex serverIndex) const
{
    return this->servers[serverIndex].state;
}

std::vector<ServerIndex> PaceMonitor::slowServers() const
{
    std::vector<ServerIndex> slow;
    for (ServerIndex serverIndex = 0; serverIndex < this->servers.size(); ++serverIndex) {
        if (this->servers[serverIndex].state != PaceState::Normal)
            slow.push_back(serverIndex);
    }
    return slow;
}

double PaceMonitor::intervalOf(const Server &server, Milliseconds now) const
{
    if (server.samples >= minimumSamples && now - server.sampledAt < this->options.sampleLifetime)
        return std::exp(server.logInterval);
    // A report from before the probe reflects the time of the ejection, not the current state.
    const bool isBeforeProbe =
            server.state == PaceState::Probing && server.reportedAt < server.probingSince;
    const bool isFresh = now - server.reportedAt < this->options.sampleLifetime;
    return server.reportedInterval > 0.0 && isFresh && !isBeforeProbe ? server.reportedInterval
                                                                      : 0.0;
}

void PaceMonitor::addStallSample(Server &server, Milliseconds now) const
{
    const Milliseconds idleTime = now - server.sampledAt;
    if (server.decoding < minimumStalledStreams || server.samples < minimumSamples
        || idleTime < stallTimeout || idleTime >= this->options.sampleLifetime)
        return;
    const double sample = std::log(static_cast<double>(idleTime.count()));
    server.logInterval += sampleWeight * (sample - server.logInterval);
}

void PaceMonitor::updateRatios(Milliseconds now)
{
    for (ServerIndex serverIndex = 0; serverIndex < this->servers.size(); ++serverIndex) {
        this->assessments[serverIndex].ratio = 1.0;
        this->servers[serverIndex].isRatioKnown = false;
        this->addStallSample(this->servers[serverIndex], now);
    }
    for (const std::vector<ServerIndex> &group : this->peers) {
        this->intervals.clear();
        for (const ServerIndex serverIndex : group) {
            if (const double interval = this->intervalOf(this->servers[serverIndex], now);
                interval > 0.0)
                this->intervals.push_back(interval);
        }
        if (this->intervals.size() < minimumPeers)
            continue;
        const auto middle = this->intervals.begin()
                + static_cast<std::ptrdiff_t>((this->intervals.size() - 1) / 2);
        std::nth_element(this->intervals.begin(), middle, this->intervals.end());
        const double median = *middle;
        for (const ServerIndex serverIndex : group) {
            Server &server = this->servers[serverIndex];
            const double interval = this->intervalOf(server, now);
            server.isRatioKnown = interval > 0.0;
            this->assessments[serverIndex].ratio = server.isRatioKnown ? interval / median : 1.0;
        }
    }
}

void PaceMonitor::check(ServerIndex serverIndex, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    switch (server.state) {
    case PaceState::Normal:
        this->checkNormal(serverIndex, now);
        return;
    case PaceState::Ejected:
        this->checkEjected(serverIndex, now);
        return;
    case PaceState::Probing:
        this->checkProbing(serverIndex, now);
        return;
    }
}

void PaceMonitor::checkNormal(ServerIndex serverIndex, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    if (server.ejections > 0 && now - server.changedAt >= ejectionResetTime)
        server.ejections = 0;
    if (!server.isRatioKnown || this->assessments[serverIndex].ratio < this->options.slowRatio) {
        server.consecutiveChecks = 0;
        return;
    }
    if (++server.consecutiveChecks >= this->options.checksToChange && this->mayEject(server))
        this->eject(serverIndex, now);
}

void PaceMonitor::checkEjected(ServerIndex serverIndex, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    if (now < server.ejectedUntil)
        return;
    // While streams that still run there are slow, a probe would only slow down one more request.
    // After longestEjection a probe is sent anyway, in case the reports are wrong.
    const bool isStillSlow =
            server.isRatioKnown && this->assessments[serverIndex].ratio >= this->options.slowRatio;
    if (isStillSlow && now - server.changedAt < this->options.longestEjection)
        return;
    // Measurements from before the ejection must not affect the result of the probe.
    server.samples = 0;
    this->readmit(serverIndex, PaceState::Probing, now);
}

void PaceMonitor::checkProbing(ServerIndex serverIndex, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    if (!server.isRatioKnown)
        return;
    if (this->assessments[serverIndex].ratio >= this->options.slowRatio) {
        server.changedAt = now;
        if (++server.consecutiveChecks >= this->options.checksToChange && this->mayEject(server))
            this->eject(serverIndex, now);
        return;
    }
    server.consecutiveChecks = 0;
    if (this->assessments[serverIndex].ratio > this->options.normalRatio
        || now - server.changedAt < probeGrowthInterval)
        return;
    server.changedAt = now;
    if (this->assessments[serverIndex].allowance < maximumProbeAllowance)
        this->assessments[serverIndex].allowance *= 2;
    else
        this->readmit(serverIndex, PaceState::Normal, now);
}

bool PaceMonitor::mayEject(const Server &server) const
{
    return std::all_of(server.models.begin(), server.models.end(), [&](std::uint32_t model) {
        const ModelGroup &group = this->groups[model];
        return group.ejected + 1 <= this->options.maximumEjectedShare * group.servers;
    });
}

void PaceMonitor::eject(ServerIndex serverIndex, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    const std::uint32_t doublings = std::min<std::uint32_t>(server.ejections, 8);
    const Milliseconds duration = std::min(this->options.firstEjection * (1U << doublings),
                                           this->options.longestEjection);
    const std::uint64_t jitter = combineHashes(combineHashes(this->options.seed, serverIndex),
                                               static_cast<std::uint64_t>(now.count()));
    server.ejectedUntil = now + duration
            + Milliseconds(static_cast<std::int64_t>(
                    jitter % static_cast<std::uint64_t>(duration.count() / 2 + 1)));
    server.state = PaceState::Ejected;
    this->assessments[serverIndex].allowance = 0;
    server.consecutiveChecks = 0;
    server.changedAt = now;
    ++server.ejections;
    this->countEjected(server, 1);
}

void PaceMonitor::readmit(ServerIndex serverIndex, PaceState state, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    if (server.state == PaceState::Ejected)
        this->countEjected(server, -1);
    server.state = state;
    this->assessments[serverIndex].allowance = state == PaceState::Probing ? 1 : unlimited;
    server.consecutiveChecks = 0;
    server.changedAt = now;
    if (state == PaceState::Probing)
        server.probingSince = now;
}

void PaceMonitor::growTo(ServerIndex serverIndex)
{
    if (serverIndex < this->servers.size())
        return;
    this->servers.resize(serverIndex + 1);
    this->assessments.resize(serverIndex + 1);
}

void PaceMonitor::countEjected(const Server &server, int change)
{
    for (const std::uint32_t model : server.models)
        this->groups[model].ejected += static_cast<std::uint32_t>(change);
}

void PaceMonitor::enforceEjectedShare()
{
    for (std::uint32_t model = 0; model < this->groups.size(); ++model) {
        for (ServerIndex serverIndex = 0; serverIndex < this->servers.size(); ++serverIndex) {
            const Server &server = this->servers[serverIndex];
            const ModelGroup &group = this->groups[model];
            if (group.ejected <= this->options.maximumEjectedShare * group.servers)
                break;
            const auto &models = server.models;
            if (server.state == PaceState::Ejected
                && std::find(models.begin(), models.end(), model) != models.end())
                this->readmit(serverIndex, PaceState::Probing, this->checkedAt);
        }
    }
}

} // namespace sassafrasyard
