#include "policy/limits/sharedcalllimits.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafrasyard {

namespace {

/** Returns a number from 0 to below 1 that differs between hosts. */
double hashFraction(const BackendServerName &run, const HostName &host)
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t hash =
            combineHashes(stableHash(run.toString()), stableHash(host.toString()));
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

} // namespace

SharedCallLimits::SharedCallLimits(HostName self, std::uint64_t seed)
    : limits(seed)
    , hosts(self)
    , self(std::move(self))
{
}

void SharedCallLimits::setHosts(std::span<const PermitHost> newHosts, Milliseconds now)
{
    this->hosts.setHosts(newHosts, now);
    if (!this->othersKnownSince && newHosts.size() > 1)
        this->othersKnownSince = now;
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

void SharedCallLimits::setTimedLimit(const BackendServerName &run, double callsPerSecond,
                                     Milliseconds until, Milliseconds now)
{
    const auto known = this->timedLimits.find(run);
    const bool wasKnown = known != this->timedLimits.end();
    if (until <= now) {
        if (wasKnown)
            this->timedLimits.erase(known);
    } else {
        this->timedLimits.insert_or_assign(run, std::pair(callsPerSecond, until));
    }
    if (wasKnown != (until > now))
        this->updateGrants(now);
    if (!wasKnown && until > now)
        this->beginTimedGrant(run, now);
}

void SharedCallLimits::removeExpired(Milliseconds now)
{
    this->limits.removeExpired(now);
    std::erase_if(this->timedLimits,
                  [now](const auto &entry) { return now >= entry.second.second; });
    std::erase_if(this->ownShares,
                  [this](const auto &entry) { return !this->timedLimits.contains(entry.first); });
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

std::optional<double> SharedCallLimits::limit(const BackendServerName &run, Milliseconds now) const
{
    const auto stated = this->limits.limit(run);
    const auto timed = this->timedLimit(run, now);
    if (!timed)
        return stated;
    return std::min(timed->first, stated.value_or(timed->first));
}

std::optional<std::pair<double, Milliseconds>> SharedCallLimits::timedLimit(
        const BackendServerName &run, Milliseconds now) const
{
    const auto timed = this->timedLimits.find(run);
    if (timed == this->timedLimits.end() || now >= timed->second.second)
        return std::nullopt;
    return timed->second;
}

HostName SharedCallLimits::granter(const BackendServerName &run) const
{
    return this->hosts.granter(run);
}

CallPermit SharedCallLimits::grant(const BackendServerName &run, bool isUrgent, Milliseconds now)
{
    const auto limit = this->limit(run, now);
    if (!limit)
        return {true, Milliseconds(0)};
    const auto own = this->grants.find(run);
    if (own == this->grants.end())
        return {false, wrongGranterPause};
    Grants &granted = own->second;
    const double visible = this->hosts.visibleShare();
    const bool isNew = !granted.isNewLimit && now - granted.since < takeoverTime;
    const double share = isNew ? std::min(visible, takeoverShare) : visible;
    const double rate = std::max(*limit, minimumRate) * share;
    granted.allowance.setRate(rate, reservedCalls * share, now);
    if (std::exchange(granted.isUnused, false) && granted.isNewLimit)
        granted.allowance.fill(1.0);
    if (granted.allowance.tryTake(isUrgent, now)) {
        granted.denials = 0;
        return {true, granted.allowance.timeUntilNext(now)};
    }
    ++granted.denials;
    return {false, granted.allowance.timeUntilNext(now) + this->contentionPause(granted, rate)};
}

CallPermit SharedCallLimits::grantOwnShare(const BackendServerName &run, Milliseconds now)
{
    const auto timed = this->timedLimit(run, now);
    if (!timed)
        return {true, Milliseconds(0)};
    const auto [known, isNew] = this->ownShares.try_emplace(run, now);
    CallAllowance &allowance = known->second;
    allowance.setRate(*this->limit(run, now) * this->hosts.ownShare(), 0.0, now);
    // The hosts may begin together, so their first calls are spread over the time between two.
    if (isNew)
        allowance.fill(hashFraction(run, this->self));
    const bool isGranted = allowance.tryTake(false, now);
    return {isGranted, allowance.timeUntilNext(now)};
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
    if (!this->limit(run, now))
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
    for (const CallLimitStatement &statement : this->limits.all())
        known.insert(statement.run);
    for (const auto &[run, timed] : this->timedLimits)
        known.insert(run);
    for (const BackendServerName &run : known)
        this->updateGrant(run, now);
    std::erase_if(this->grants, [&](const auto &entry) { return !known.contains(entry.first); });
}

void SharedCallLimits::updateGrant(const BackendServerName &run, Milliseconds now)
{
    if (this->hosts.isGranter(run))
        this->grants.try_emplace(run, Grants{now, CallAllowance(now)});
    else
        this->grants.erase(run);
}

/**
 * Begins this host's grants for a limit that all hosts learn of at the same time. Unlike those of a
 * host that takes over, they need not allow for calls that another host has permitted.
 */
void SharedCallLimits::beginTimedGrant(const BackendServerName &run, Milliseconds now)
{
    // A host that has just started may learn of a limit for which another one grants permits.
    const bool hasStarted = !this->othersKnownSince || now - *this->othersKnownSince < takeoverTime;
    if (this->limits.limit(run) || hasStarted)
        return;
    const auto granted = this->grants.find(run);
    if (granted == this->grants.end())
        return;
    granted->second = Grants{now, CallAllowance(now)};
    granted->second.isNewLimit = true;
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
