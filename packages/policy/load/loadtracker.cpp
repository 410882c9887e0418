#include "policy/load/loadtracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sassafrasyard {

namespace {

/** Changes closer together than this share one sample. */
constexpr Milliseconds sampleSpacing{50};
constexpr std::size_t maximumSamples = 64;

/** Drops every second element of the older half, so that old times are kept more coarsely. */
template <typename Sample>
void thinOut(std::vector<Sample> &samples)
{
    std::size_t kept = 1;
    const std::size_t half = samples.size() / 2;
    for (std::size_t index = 2; index < samples.size(); index += index < half ? 2 : 1)
        samples[kept++] = samples[index];
    samples.resize(kept);
}

} // namespace

LoadTracker::LoadTracker(LoadTrackerOptions options)
    : options(options)
    , shortWork{ShortWorkState{ShortWork::Requests, options.shortWorkBelieved, {}},
                ShortWorkState{ShortWork::Prompts, options.shortWorkBelieved, {}}}
{
    assert(options.reportTrusted < options.reportWorthless);
}

void LoadTracker::addServer(ServerSlot slot)
{
    if (slot >= this->servers.size()) {
        this->servers.resize(slot + 1);
        this->histories.resize(slot + 1);
    }
    this->servers[slot] = Server{};
    this->histories[slot] = History{};
}

void LoadTracker::removeServer(ServerSlot slot)
{
    for (auto &[name, peer] : this->peers)
        std::erase_if(peer.loads, [&](const PeerSlotLoad &load) { return load.slot == slot; });
    this->servers[slot] = Server{};
    this->histories[slot] = History{};
}

void LoadTracker::forgetReport(ServerSlot slot)
{
    this->servers[slot].hasReport = false;
}

void LoadTracker::recordOwn(ServerSlot slot, std::uint32_t running, std::uint64_t usedTokens,
                            Milliseconds now)
{
    this->servers[slot].ownRunning = running;
    this->histories[slot].ownUsed = usedTokens;
    this->addSample(slot, now);
}

void LoadTracker::recordReport(ServerSlot slot, const LoadReport &report, Milliseconds now)
{
    Server &server = this->servers[slot];
    const Milliseconds takenAt = now - std::max(report.age, Milliseconds(0));
    if (server.hasReport && takenAt < server.takenAt)
        return;
    const Sample &then = this->sampleAt(slot, takenAt);
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
    for (ShortWorkState &work : this->shortWork)
        work.digests.push_back({peer, sequence, now});
}

void LoadTracker::setBelieved(ShortWork kind, Milliseconds time)
{
    for (ShortWorkState &work : this->shortWork) {
        if (work.kind == kind)
            work.believed = time;
    }
}

void LoadTracker::advance(Milliseconds now)
{
    for (ShortWorkState &work : this->shortWork) {
        while (!work.digests.empty() && now - work.digests.front().receivedAt >= work.believed) {
            const FreshDigest digest = std::move(work.digests.front());
            work.digests.pop_front();
            const auto peer = this->peers.find(digest.peer);
            if (peer != this->peers.end() && peer->second.sequence == digest.sequence)
                this->dropShortWork(peer->second, work.kind, now);
        }
    }
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
    return this->estimate(slot, now).running;
}

double LoadTracker::othersMemory(ServerSlot slot, Milliseconds now) const
{
    return this->estimate(slot, now).othersMemory;
}

std::uint32_t LoadTracker::reportedMemory(ServerSlot slot) const
{
    return this->servers[slot].memoryTotal;
}

std::size_t LoadTracker::peerCount() const
{
    return this->peers.size();
}

const LoadTracker::Sample &LoadTracker::sampleAt(ServerSlot slot, Milliseconds time) const
{
    const std::vector<Sample> &samples = this->histories[slot].samples;
    const auto later = std::upper_bound(
            samples.begin(), samples.end(), time,
            [](Milliseconds left, const Sample &right) { return left < right.time; });
    return later == samples.begin() ? samples.front() : *std::prev(later);
}

void LoadTracker::addSample(ServerSlot slot, Milliseconds now)
{
    History &history = this->histories[slot];
    std::vector<Sample> &samples = history.samples;
    const bool sharesLast = samples.size() > 1 && now - samples.back().time < sampleSpacing;
    if (!sharesLast) {
        if (samples.size() >= maximumSamples)
            thinOut(samples);
        samples.push_back({now, 0, 0});
    }
    samples.back().known = known(this->servers[slot]);
    samples.back().usedTokens = history.ownUsed;
}

void LoadTracker::shiftBaseline(ServerSlot slot, std::int64_t amount)
{
    for (Sample &sample : this->histories[slot].samples)
        sample.known += amount;
    this->servers[slot].knownAtReport += amount;
}

void LoadTracker::dropShortWork(Peer &peer, ShortWork kind, Milliseconds now)
{
    this->applyPeer(peer, -1, false, now);
    for (PeerSlotLoad &load : peer.loads) {
        if (kind == ShortWork::Prompts)
            load.pendingPromptTokens = 0;
        else if (load.isShortWork)
            load.running = 0;
    }
    this->applyPeer(peer, 1, false, now);
}

void LoadTracker::applyPeer(const Peer &peer, std::int64_t sign, bool isBaseline, Milliseconds now)
{
    for (const PeerSlotLoad &load : peer.loads) {
        Server &server = this->servers[load.slot];
        server.peersRunning += sign * load.running;
        server.peersReserved += sign * load.reservedTokens;
        server.peersPending += sign * load.pendingPromptTokens;
        if (isBaseline)
            this->shiftBaseline(load.slot, sign * load.running);
        else
            this->addSample(load.slot, now);
    }
}

} // namespace sassafrasyard
