#include "policy/limits/sharedconcurrency.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

SharedConcurrency::SharedConcurrency(HostName self, HostIncarnation incarnation)
    : incarnation(std::move(incarnation))
    , hosts(std::move(self))
{
}

void SharedConcurrency::setHosts(std::span<const PermitHost> newHosts, Milliseconds now)
{
    this->hosts.setHosts(newHosts, now);
    // At the start of this host nobody has asked it yet, which is no takeover.
    if (std::exchange(this->hasPeers, true))
        this->hostsChangedAt = now;
    std::erase_if(this->places,
                  [this](const auto &entry) { return !this->hosts.isGranter(entry.first); });
}

void SharedConcurrency::leave()
{
    this->hosts.leave();
}

HostName SharedConcurrency::granter(const BackendServerName &run) const
{
    return this->hosts.granter(run);
}

void SharedConcurrency::recordSent(const BackendServerName &run)
{
    ++this->uses[run].outstanding;
}

void SharedConcurrency::recordEnded(const BackendServerName &run)
{
    if (const auto use = this->uses.find(run); use != this->uses.end())
        use->second.outstanding -= std::min(use->second.outstanding, 1U);
}

void SharedConcurrency::recordRejection(const BackendServerName &run)
{
    ++this->uses[run].rejections;
}

std::vector<BackendServerName> SharedConcurrency::usedRuns() const
{
    std::vector<BackendServerName> runs;
    for (const auto &[run, use] : this->uses) {
        if (use.outstanding > 0)
            runs.push_back(run);
    }
    return runs;
}

PlaceRequest SharedConcurrency::makeAsk(const BackendServerName &run, std::uint32_t slots,
                                        double rejectionLimit)
{
    PlaceRequest request = this->makeRequest(run, rejectionLimit);
    request.isAsk = true;
    request.slots = slots;
    this->uses[run].pending.insert(request.sequence);
    return request;
}

PlaceRequest SharedConcurrency::makeReport(const BackendServerName &run, double rejectionLimit)
{
    return this->makeRequest(run, rejectionLimit);
}

PlaceRequest SharedConcurrency::makeRequest(const BackendServerName &run, double rejectionLimit)
{
    Use &use = this->uses[run];
    PlaceRequest request;
    request.host = this->incarnation;
    request.sequence = ++this->sequence;
    request.run = run;
    request.outstanding = use.outstanding;
    request.firstPending = use.pending.empty() ? request.sequence : *use.pending.begin();
    request.rejectionLimit = rejectionLimit;
    request.rejections = std::exchange(use.rejections, 0);
    return request;
}

void SharedConcurrency::recordPermit(const PlaceRequest &ask,
                                     const std::optional<CallPermit> &permit, Milliseconds now)
{
    Use &use = this->uses[ask.run];
    use.pending.erase(ask.sequence);
    if (!permit)
        use.pausedUntil = now + SharedCallLimits::silentGranterPause;
    else if (!permit->isGranted)
        use.pausedUntil = now + permit->pause;
}

std::optional<Milliseconds> SharedConcurrency::pauseLeft(const BackendServerName &run,
                                                         Milliseconds now) const
{
    const auto use = this->uses.find(run);
    if (use == this->uses.end() || use->second.pausedUntil <= now)
        return std::nullopt;
    return use->second.pausedUntil - now;
}

CallPermit SharedConcurrency::decide(const PlaceRequest &request, Milliseconds now)
{
    if (!this->hosts.isGranter(request.run))
        return {false, SharedCallLimits::wrongGranterPause};
    const auto [known, isNew] = this->places.try_emplace(request.run);
    Places &places = known->second;
    // Other hosts may have calls there that the previous granter permitted.
    if (isNew && this->hostsChangedAt > Milliseconds(0))
        places.closedUntil = this->hostsChangedAt + takeoverTime;
    recordHolding(places, request, now);
    recordRejections(places, request, now);
    if (!request.isAsk)
        return {true, Milliseconds(0)};
    if (now < places.closedUntil)
        return {false, std::max(minimumPause, places.closedUntil - now)};
    places.slots = request.slots;
    const std::uint32_t permitted = this->permittedPlaces(places, now);
    if (heldPlaces(places) >= permitted)
        return deny(places);
    places.holdings[request.host].granted.insert(request.sequence);
    places.denials = 0;
    if (heldPlaces(places) >= permitted)
        places.fullSince = now;
    return {true, Milliseconds(0)};
}

void SharedConcurrency::recordHolding(Places &places, const PlaceRequest &request, Milliseconds now)
{
    Holding &holding = places.holdings[request.host];
    holding.reportedAt = now;
    if (request.sequence < holding.sequence)
        return;
    const std::uint32_t heldBefore = heldPlaces(places);
    holding.sequence = request.sequence;
    holding.outstanding = request.outstanding;
    holding.granted.erase(holding.granted.begin(),
                          holding.granted.lower_bound(request.firstPending));
    if (heldPlaces(places) < heldBefore)
        recordReturn(places, now);
}

/**
 * Closes the server before it has too many rejections. Takes a place back if the server rejected a
 * call although it had free slots by what is known here.
 */
void SharedConcurrency::recordRejections(Places &places, const PlaceRequest &request,
                                         Milliseconds now)
{
    constexpr Milliseconds second{1000};
    if (request.rejections == 0)
        return;
    places.rejections.insert(places.rejections.end(), request.rejections, now);
    while (now - places.rejections.front() >= second)
        places.rejections.pop_front();
    if (heldPlaces(places) < places.slots && now - places.withdrawnAt >= second) {
        ++places.withdrawn;
        places.withdrawnAt = now;
    }
    if (2.0 * static_cast<double>(places.rejections.size()) >= request.rejectionLimit)
        places.closedUntil = std::max(places.closedUntil, now + rejectionPause);
}

std::uint32_t SharedConcurrency::heldPlaces(const Places &places)
{
    std::size_t held = 0;
    for (const auto &[host, holding] : places.holdings)
        held += holding.outstanding + holding.granted.size();
    return static_cast<std::uint32_t>(held);
}

std::uint32_t SharedConcurrency::permittedPlaces(Places &places, Milliseconds now) const
{
    while (places.withdrawn > 0 && now - places.withdrawnAt >= restoreTime) {
        --places.withdrawn;
        places.withdrawnAt += restoreTime;
    }
    places.withdrawn = std::min(places.withdrawn, places.slots > 0 ? places.slots - 1 : 0);
    const double visible = this->hosts.visibleShare() * static_cast<double>(places.slots);
    const auto permitted = static_cast<std::uint32_t>(visible);
    // A server without any place would get no calls until a lost host is forgotten.
    return std::max(permitted - std::min(permitted, places.withdrawn), std::min(places.slots, 1U));
}

/** Measures only while all places are taken, because idle places say nothing about the wait. */
void SharedConcurrency::recordReturn(Places &places, Milliseconds now)
{
    constexpr double smoothing = 0.2;
    if (!places.fullSince)
        return;
    const auto interval = static_cast<double>((now - *places.fullSince).count());
    places.returnInterval += smoothing * (interval - places.returnInterval);
    places.fullSince.reset();
}

CallPermit SharedConcurrency::deny(Places &places)
{
    const std::uint32_t placesAhead = places.denials / asksPerPlace;
    ++places.denials;
    const double wait = std::min((placesAhead + 1.0) * places.returnInterval,
                                 static_cast<double>(maximumPause.count()));
    return {false, std::max(minimumPause, Milliseconds(static_cast<std::int64_t>(wait)))};
}

void SharedConcurrency::removeExpired(Milliseconds now)
{
    for (auto &[run, places] : this->places) {
        std::erase_if(places.holdings, [now](const auto &entry) {
            return now - entry.second.reportedAt >= reportRetention;
        });
    }
    std::erase_if(this->places, [now](const auto &entry) {
        return entry.second.holdings.empty() && now >= entry.second.closedUntil;
    });
    std::erase_if(this->uses, [now](const auto &entry) {
        return entry.second.outstanding == 0 && entry.second.pending.empty()
                && entry.second.rejections == 0 && entry.second.pausedUntil <= now;
    });
}

} // namespace sassafrasyard
