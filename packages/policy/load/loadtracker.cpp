#include "policy/load/loadtracker.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

namespace {

/** Changes closer together than this share one sample. */
constexpr Milliseconds sampleSpacing{50};
constexpr std::size_t maximumSamples = 64;

} // namespace

LoadTracker::LoadTracker(LoadTrackerOptions options)
    : options(options)
{
    assert(options.reportTrusted < options.reportWorthless);
}

void LoadTracker::addServer(ServerSlot slot)
{
    if (slot >= this->servers.size())
        this->servers.resize(slot + 1);
    this->servers[slot] = Server{};
}

void LoadTracker::removeServer(ServerSlot slot)
{
    for (auto &[name, peer] : this->peers)
        std::erase_if(peer.loads, [&](const PeerSlotLoad &load) { return load.slot == slot; });
    this->servers[slot] = Server{};
}

void LoadTracker::forgetReport(ServerSlot slot)
{
    this->servers[slot].hasReport = false;
}

void LoadTracker::recordOwn(ServerSlot slot, std::uint32_t running, std::uint64_t usedTokens,
                            Milliseconds now)
{
    Server &server = this->servers[slot];
    server.ownRunning = running;
    server.ownUsed = usedTokens;
    addSample(server, now);
}

void LoadTracker::recordReport(ServerSlot slot, const LoadReport &report, Milliseconds now)
{
    Server &server = this->servers[slot];
    const Milliseconds takenAt = now - std::max(report.age, Milliseconds(0));
    if (server.hasReport && takenAt < server.takenAt)
        return;
    const Sample then = sampleAt(server, takenAt);
    server.hasReport = true;
    server.takenAt = takenAt;
    server.reportedRunning = static_cast<double>(report.running) + report.waiting;
    server.knownAtReport = then.known;
    server.reportedOthersMemory = std::max(0.0,
                                           static_cast<double>(report.memoryUsedTokens)
                                                   - static_cast<double>(then.usedTokens));
    if (report.memoryTotalTokens > 0)
        server.memoryTotal = report.memoryTotalTokens;
}

void LoadTracker::recordPeer(const HostName &peer, std::uint64_t sequence,
                             std::span<const PeerSlotLoad> loads, Milliseconds now)
{
    const auto [entry, isNew] = this->peers.try_emplace(peer);
    Peer &known = entry->second;
    if (!isNew && sequence <= known.sequence)
        return;
    // The work of a peer not heard before is older than the reports and part of them.
    this->applyPeer(known, -1, false, now);
    known.sequence = sequence;
    known.receivedAt = now;
    known.loads.assign(loads.begin(), loads.end());
    this->applyPeer(known, 1, isNew, now);
}

void LoadTracker::advance(Milliseconds now)
{
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        if (now - peer->second.receivedAt < this->options.peerSilence) {
            ++peer;
            continue;
        }
        // Its work did not end with its digests, so the reports' baseline moves along.
        this->applyPeer(peer->second, -1, true, now);
        peer = this->peers.erase(peer);
    }
}

double LoadTracker::running(ServerSlot slot, Milliseconds now) const
{
    const Server &server = this->servers[slot];
    const auto knownNow = static_cast<double>(known(server));
    const double weight = this->reportWeight(server, now);
    if (weight <= 0.0)
        return knownNow;
    const double changed = knownNow - static_cast<double>(server.knownAtReport);
    const double reported = std::max(0.0, server.reportedRunning + changed);
    const double blended = weight * reported + (1.0 - weight) * knownNow;
    return std::max(blended, static_cast<double>(server.ownRunning));
}

double LoadTracker::othersMemory(ServerSlot slot, Milliseconds now) const
{
    const Server &server = this->servers[slot];
    const double seen = this->reportWeight(server, now) * server.reportedOthersMemory;
    return std::max(seen, static_cast<double>(server.peersReserved));
}

std::uint32_t LoadTracker::reportedMemory(ServerSlot slot) const
{
    return this->servers[slot].memoryTotal;
}

std::size_t LoadTracker::peerCount() const
{
    return this->peers.size();
}

std::int64_t LoadTracker::known(const Server &server)
{
    return static_cast<std::int64_t>(server.ownRunning) + server.peersRunning;
}

LoadTracker::Sample LoadTracker::sampleAt(const Server &server, Milliseconds time)
{
    const auto later = std::upper_bound(
            server.history.begin(), server.history.end(), time,
            [](Milliseconds left, const Sample &right) { return left < right.time; });
    if (later != server.history.begin())
        return *std::prev(later);
    return server.history.front();
}

void LoadTracker::addSample(Server &server, Milliseconds now)
{
    auto &history = server.history;
    const bool sharesLast = history.size() > 1 && now - history.back().time < sampleSpacing;
    if (!sharesLast) {
        if (history.size() >= maximumSamples)
            history.erase(history.begin(), history.begin() + maximumSamples / 2);
        history.push_back({now, 0, 0});
    }
    history.back().known = known(server);
    history.back().usedTokens = server.ownUsed;
}

void LoadTracker::shiftBaseline(Server &server, std::int64_t amount)
{
    for (Sample &sample : server.history)
        sample.known += amount;
    server.knownAtReport += amount;
}

void LoadTracker::applyPeer(const Peer &peer, std::int64_t sign, bool isBaseline, Milliseconds now)
{
    for (const PeerSlotLoad &load : peer.loads) {
        Server &server = this->servers[load.slot];
        server.peersRunning += sign * load.running;
        server.peersReserved += sign * load.reservedTokens;
        if (isBaseline)
            shiftBaseline(server, sign * load.running);
        else
            addSample(server, now);
    }
}

double LoadTracker::reportWeight(const Server &server, Milliseconds now) const
{
    if (!server.hasReport)
        return 0.0;
    const Milliseconds age = now - server.takenAt;
    if (age <= this->options.reportTrusted)
        return 1.0;
    if (age >= this->options.reportWorthless)
        return 0.0;
    return static_cast<double>((this->options.reportWorthless - age).count())
            / static_cast<double>(
                    (this->options.reportWorthless - this->options.reportTrusted).count());
}

} // namespace sassafrasyard
