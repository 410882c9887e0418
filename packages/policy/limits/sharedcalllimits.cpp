#include "policy/limits/sharedcalllimits.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

SharedCallLimits::SharedCallLimits(HostName self, std::uint64_t seed)
    : self(std::move(self))
    , limits(seed)
    , liveHosts{this->self}
{
}

void SharedCallLimits::setHosts(std::span<const PermitHost> hosts, Milliseconds now)
{
    std::set<HostName> live{this->self};
    std::set<HostName> listed{this->self};
    for (const PermitHost &host : hosts) {
        listed.insert(host.name);
        if (host.isLive)
            live.insert(host.name);
    }
    for (const HostName &host : this->liveHosts) {
        if (listed.contains(host) && !live.contains(host))
            this->lostHosts.emplace(host, now);
    }
    this->liveHosts = std::move(live);
    std::erase_if(this->lostHosts, [&](const auto &lost) {
        return !listed.contains(lost.first) || this->liveHosts.contains(lost.first)
                || now - lost.second >= lostHostRetention;
    });
    this->updateGrants(now);
}

bool SharedCallLimits::recordResponse(const BackendServerName &run,
                                      std::optional<double> callsPerSecond, Milliseconds sentAt,
                                      Milliseconds now)
{
    const bool hasChanged = this->limits.recordResponse(run, callsPerSecond, sentAt, now);
    if (hasChanged)
        this->updateGrants(now);
    return hasChanged;
}

bool SharedCallLimits::recordPeerStatement(const CallLimitStatement &statement, Milliseconds now)
{
    const bool hasChanged = this->limits.recordPeerStatement(statement, now);
    if (hasChanged)
        this->updateGrants(now);
    return hasChanged;
}

void SharedCallLimits::removeExpired(Milliseconds now)
{
    this->limits.removeExpired(now);
    this->updateGrants(now);
    const auto isOver = [now](const auto &entry) {
        return now >= entry.second;
    };
    std::erase_if(this->pausedUntil, isOver);
    std::erase_if(this->silentUntil, isOver);
}

const CallLimitStatements &SharedCallLimits::statements() const
{
    return this->limits;
}

HostName SharedCallLimits::granter(const BackendServerName &run) const
{
    const std::uint64_t runHash = stableHash(run.toString());
    const auto weight = [runHash](const HostName &host) {
        return combineHashes(runHash, stableHash(host.toString()));
    };
    return *std::max_element(this->liveHosts.begin(), this->liveHosts.end(),
                             [&](const HostName &left, const HostName &right) {
                                 return weight(left) < weight(right);
                             });
}

CallPermit SharedCallLimits::grant(const BackendServerName &run, bool isUrgent, Milliseconds now)
{
    const auto limit = this->limits.limit(run);
    if (!limit)
        return {true, Milliseconds(0)};
    const auto own = this->grants.find(run);
    if (own == this->grants.end())
        return {false, wrongGranterPause};
    Grants &granted = own->second;
    const double visible = this->visibleShare();
    const bool isNew = now - granted.since < takeoverTime;
    const double share = isNew ? std::min(visible, takeoverShare) : visible;
    const double rate = std::max(*limit, minimumRate) * share;
    granted.allowance.setRate(rate, reservedCalls * share, now);
    if (granted.allowance.tryTake(isUrgent, now)) {
        granted.denials = 0;
        return {true, granted.allowance.timeUntilNext(now)};
    }
    ++granted.denials;
    return {false, granted.allowance.timeUntilNext(now) + this->contentionPause(granted, rate)};
}

void SharedCallLimits::recordPermit(const BackendServerName &run, const CallPermit &permit,
                                    Milliseconds now)
{
    this->pausedUntil[run] = now + permit.pause;
}

void SharedCallLimits::recordSilence(const HostName &granter, Milliseconds now)
{
    this->silentUntil[granter] = now + silentGranterPause;
}

std::optional<Milliseconds> SharedCallLimits::pauseLeft(const BackendServerName &run,
                                                        Milliseconds now) const
{
    if (!this->limits.limit(run))
        return std::nullopt;
    Milliseconds until = now;
    if (const auto paused = this->pausedUntil.find(run); paused != this->pausedUntil.end())
        until = std::max(until, paused->second);
    if (!this->silentUntil.empty()) {
        const auto silent = this->silentUntil.find(this->granter(run));
        if (silent != this->silentUntil.end())
            until = std::max(until, silent->second);
    }
    return until > now ? std::optional(until - now) : std::nullopt;
}

/** Begins and ends this host's grants where it became the granter or ceased to be it. */
void SharedCallLimits::updateGrants(Milliseconds now)
{
    std::set<BackendServerName> known;
    for (const CallLimitStatement &statement : this->limits.all()) {
        known.insert(statement.run);
        if (this->granter(statement.run) == this->self)
            this->grants.try_emplace(statement.run, Grants{now, CallAllowance(now)});
        else
            this->grants.erase(statement.run);
    }
    std::erase_if(this->grants, [&](const auto &entry) { return !known.contains(entry.first); });
}

/** Returns the share of the hosts that this host sees, in (0, 1]. */
double SharedCallLimits::visibleShare() const
{
    const auto live = static_cast<double>(this->liveHosts.size());
    return live / (live + static_cast<double>(this->lostHosts.size()));
}

/** Returns how much longer than until the next call a host waits, because others wait for that. */
Milliseconds SharedCallLimits::contentionPause(const Grants &granted, double rate) const
{
    const std::uint32_t callsAhead = (granted.denials - 1) / asksPerCall;
    const std::chrono::duration<double> wait(callsAhead / rate);
    if (wait >= maximumContentionPause)
        return maximumContentionPause;
    return std::chrono::duration_cast<Milliseconds>(wait);
}

} // namespace sassafrasyard
