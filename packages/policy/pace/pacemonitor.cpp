#include "policy/pace/pacemonitor.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sassafrasyard {

namespace {

/** Weight of one sample once enough have been seen. */
constexpr double sampleWeight = 1.0 / 16.0;
/** Fewer own samples than this say nothing. */
constexpr std::uint32_t minimumSamples = 8;
/** A ratio against fewer servers with a known pace than this says nothing. */
constexpr std::size_t minimumPeers = 3;
constexpr double smallestInterval = 0.01; // milliseconds per token
/** With this many streams, silence is the server's fault and not one slow caller's. */
constexpr std::uint32_t streamsForStandstill = 2;
constexpr Milliseconds standstillAfter{1000};
/** Probing allowances double per healthy interval up to this one, then the limit goes. */
constexpr std::uint32_t largestProbe = 8;
constexpr Milliseconds probeStep{1000};
/** A server normal for so long starts again from the first ejection time. */
constexpr Milliseconds ejectionsForgotten{60000};

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
        this->makeRoom(member.slot);
        this->servers[member.slot].isMember = true;
        this->servers[member.slot].models = member.models;
        for (const std::uint32_t model : member.models)
            modelCount = std::max(modelCount, model + 1);
    }
    this->groups.assign(modelCount, {});
    this->peers.assign(modelCount, {});
    for (ServerSlot slot = 0; slot < this->servers.size(); ++slot) {
        Server &server = this->servers[slot];
        if (!server.isMember) {
            server = Server{};
            this->verdicts[slot] = Verdict{};
            continue;
        }
        for (const std::uint32_t model : server.models)
            ++this->groups[model].servers;
        if (!server.models.empty())
            this->peers[server.models.front()].push_back(slot);
        if (server.state == PaceState::Ejected)
            this->countEjected(server, 1);
    }
    this->enforceShare();
}

void PaceMonitor::resetServer(ServerSlot slot)
{
    this->makeRoom(slot);
    if (this->servers[slot].state == PaceState::Ejected)
        this->countEjected(this->servers[slot], -1);
    this->servers[slot] = Server{};
    this->verdicts[slot] = Verdict{};
}

void PaceMonitor::recordInterval(ServerSlot slot, double milliseconds, Milliseconds now)
{
    Server &server = this->servers[slot];
    if (now - server.sampledAt >= this->options.sampleLifetime)
        server.samples = 0;
    // The logarithm keeps one caller that reads slowly from deciding over the server.
    const double sample = std::log(std::max(milliseconds, smallestInterval));
    ++server.samples;
    const double weight = std::max(sampleWeight, 1.0 / server.samples);
    server.logInterval += weight * (sample - server.logInterval);
    server.sampledAt = now;
}

void PaceMonitor::recordDecoding(ServerSlot slot, std::uint32_t streams)
{
    this->servers[slot].decoding = streams;
}

void PaceMonitor::recordReport(ServerSlot slot, double milliseconds, Milliseconds takenAt)
{
    Server &server = this->servers[slot];
    if (milliseconds <= 0.0)
        return;
    server.reported = milliseconds;
    server.reportedAt = takenAt;
}

void PaceMonitor::advance(Milliseconds now)
{
    if (this->hasChecked && now - this->checkedAt < this->options.checkInterval)
        return;
    this->hasChecked = true;
    this->checkedAt = now;
    this->updateRatios(now);
    for (ServerSlot slot = 0; slot < this->servers.size(); ++slot) {
        if (this->servers[slot].isMember)
            this->check(slot, now);
    }
}

PaceState PaceMonitor::state(ServerSlot slot) const
{
    return this->servers[slot].state;
}

std::vector<ServerSlot> PaceMonitor::slowServers() const
{
    std::vector<ServerSlot> slow;
    for (ServerSlot slot = 0; slot < this->servers.size(); ++slot) {
        if (this->servers[slot].state != PaceState::Normal)
            slow.push_back(slot);
    }
    return slow;
}

double PaceMonitor::intervalOf(const Server &server, Milliseconds now) const
{
    if (server.samples >= minimumSamples && now - server.sampledAt < this->options.sampleLifetime)
        return std::exp(server.logInterval);
    // A report from before the probe began tells why the server was ejected, not how it is now.
    const bool isOutdated =
            server.state == PaceState::Probing && server.reportedAt < server.probingSince;
    const bool isFresh = now - server.reportedAt < this->options.sampleLifetime;
    return server.reported > 0.0 && isFresh && !isOutdated ? server.reported : 0.0;
}

void PaceMonitor::noticeStandstill(Server &server, Milliseconds now) const
{
    const Milliseconds silence = now - server.sampledAt;
    if (server.decoding < streamsForStandstill || server.samples < minimumSamples
        || silence < standstillAfter || silence >= this->options.sampleLifetime)
        return;
    const double sample = std::log(static_cast<double>(silence.count()));
    server.logInterval += sampleWeight * (sample - server.logInterval);
}

void PaceMonitor::updateRatios(Milliseconds now)
{
    for (ServerSlot slot = 0; slot < this->servers.size(); ++slot) {
        this->verdicts[slot].ratio = 1.0;
        this->servers[slot].isRatioKnown = false;
        this->noticeStandstill(this->servers[slot], now);
    }
    for (const std::vector<ServerSlot> &group : this->peers) {
        this->scratch.clear();
        for (const ServerSlot slot : group) {
            if (const double interval = this->intervalOf(this->servers[slot], now); interval > 0.0)
                this->scratch.push_back(interval);
        }
        if (this->scratch.size() < minimumPeers)
            continue;
        const auto middle =
                this->scratch.begin() + static_cast<std::ptrdiff_t>((this->scratch.size() - 1) / 2);
        std::nth_element(this->scratch.begin(), middle, this->scratch.end());
        const double median = *middle;
        for (const ServerSlot slot : group) {
            Server &server = this->servers[slot];
            const double interval = this->intervalOf(server, now);
            server.isRatioKnown = interval > 0.0;
            this->verdicts[slot].ratio = server.isRatioKnown ? interval / median : 1.0;
        }
    }
}

void PaceMonitor::check(ServerSlot slot, Milliseconds now)
{
    Server &server = this->servers[slot];
    switch (server.state) {
    case PaceState::Normal:
        this->checkNormal(slot, now);
        return;
    case PaceState::Ejected:
        this->checkEjected(slot, now);
        return;
    case PaceState::Probing:
        this->checkProbing(slot, now);
        return;
    }
}

void PaceMonitor::checkNormal(ServerSlot slot, Milliseconds now)
{
    Server &server = this->servers[slot];
    if (server.ejections > 0 && now - server.changedAt >= ejectionsForgotten)
        server.ejections = 0;
    if (!server.isRatioKnown || this->verdicts[slot].ratio < this->options.slowRatio) {
        server.agreeing = 0;
        return;
    }
    if (++server.agreeing >= this->options.checksToChange && this->mayEject(server))
        this->eject(slot, now);
}

void PaceMonitor::checkEjected(ServerSlot slot, Milliseconds now)
{
    Server &server = this->servers[slot];
    if (now < server.ejectedUntil)
        return;
    // While streams that still run there are slow, a probe would only slow down one more job. In
    // the end a probe is sent all the same, in case the reports are wrong.
    const bool isStillSlow =
            server.isRatioKnown && this->verdicts[slot].ratio >= this->options.slowRatio;
    if (isStillSlow && now - server.changedAt < this->options.longestEjection)
        return;
    // What was measured before the ejection must not decide over the probe.
    server.samples = 0;
    this->readmit(slot, PaceState::Probing, now);
}

void PaceMonitor::checkProbing(ServerSlot slot, Milliseconds now)
{
    Server &server = this->servers[slot];
    if (!server.isRatioKnown)
        return;
    if (this->verdicts[slot].ratio >= this->options.slowRatio) {
        server.changedAt = now;
        if (++server.agreeing >= this->options.checksToChange && this->mayEject(server))
            this->eject(slot, now);
        return;
    }
    server.agreeing = 0;
    if (this->verdicts[slot].ratio > this->options.normalRatio
        || now - server.changedAt < probeStep)
        return;
    server.changedAt = now;
    if (this->verdicts[slot].allowance < largestProbe)
        this->verdicts[slot].allowance *= 2;
    else
        this->readmit(slot, PaceState::Normal, now);
}

bool PaceMonitor::mayEject(const Server &server) const
{
    return std::all_of(server.models.begin(), server.models.end(), [&](std::uint32_t model) {
        const Group &group = this->groups[model];
        return group.ejected + 1 <= this->options.maximumEjectedShare * group.servers;
    });
}

void PaceMonitor::eject(ServerSlot slot, Milliseconds now)
{
    Server &server = this->servers[slot];
    const std::uint32_t doublings = std::min<std::uint32_t>(server.ejections, 8);
    const Milliseconds time = std::min(this->options.firstEjection * (1U << doublings),
                                       this->options.longestEjection);
    const std::uint64_t jitter = combineHashes(combineHashes(this->options.seed, slot),
                                               static_cast<std::uint64_t>(now.count()));
    server.ejectedUntil = now + time
            + Milliseconds(static_cast<std::int64_t>(
                    jitter % static_cast<std::uint64_t>(time.count() / 2 + 1)));
    server.state = PaceState::Ejected;
    this->verdicts[slot].allowance = 0;
    server.agreeing = 0;
    server.changedAt = now;
    ++server.ejections;
    this->countEjected(server, 1);
}

void PaceMonitor::readmit(ServerSlot slot, PaceState state, Milliseconds now)
{
    Server &server = this->servers[slot];
    if (server.state == PaceState::Ejected)
        this->countEjected(server, -1);
    server.state = state;
    this->verdicts[slot].allowance = state == PaceState::Probing ? 1 : unlimited;
    server.agreeing = 0;
    server.changedAt = now;
    if (state == PaceState::Probing)
        server.probingSince = now;
}

void PaceMonitor::makeRoom(ServerSlot slot)
{
    if (slot < this->servers.size())
        return;
    this->servers.resize(slot + 1);
    this->verdicts.resize(slot + 1);
}

void PaceMonitor::countEjected(const Server &server, int change)
{
    for (const std::uint32_t model : server.models)
        this->groups[model].ejected += static_cast<std::uint32_t>(change);
}

void PaceMonitor::enforceShare()
{
    for (std::uint32_t model = 0; model < this->groups.size(); ++model) {
        for (ServerSlot slot = 0; slot < this->servers.size(); ++slot) {
            const Server &server = this->servers[slot];
            const Group &group = this->groups[model];
            if (group.ejected <= this->options.maximumEjectedShare * group.servers)
                break;
            const auto &models = server.models;
            if (server.state == PaceState::Ejected
                && std::find(models.begin(), models.end(), model) != models.end())
                this->readmit(slot, PaceState::Probing, this->checkedAt);
        }
    }
}

} // namespace sassafrasyard
