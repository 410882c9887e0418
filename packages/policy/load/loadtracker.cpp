#include "policy/load/loadtracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sassafrasyard {

namespace {

/** Changes within this time are merged into one sample. */
constexpr Milliseconds sampleSpacing{50};
constexpr std::size_t maximumSamples = 64;

/** Drops every second element of the older half, which reduces the resolution of old samples. */
template <typename Sample>
void downsampleOlderHalf(std::vector<Sample> &samples)
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
    , shortWork{ShortWorkState{ShortWork::Requests, options.initialShortWorkLifetime, {}},
                ShortWorkState{ShortWork::Prompts, options.initialShortWorkLifetime, {}}}
{
    assert(options.fullWeightAge < options.zeroWeightAge);
}

void LoadTracker::addServer(ServerIndex serverIndex)
{
    if (serverIndex >= this->servers.size()) {
        this->servers.resize(serverIndex + 1);
        this->histories.resize(serverIndex + 1);
    }
    this->servers[serverIndex] = Server{};
    this->histories[serverIndex] = History{};
}

void LoadTracker::removeServer(ServerIndex serverIndex)
{
    for (auto &[name, peer] : this->peers)
        std::erase_if(peer.loads,
                      [&](const PeerServerLoad &load) { return load.serverIndex == serverIndex; });
    this->servers[serverIndex] = Server{};
    this->histories[serverIndex] = History{};
}

void LoadTracker::discardReport(ServerIndex serverIndex)
{
    this->servers[serverIndex].hasReport = false;
}

void LoadTracker::recordOwnLoad(ServerIndex serverIndex, std::uint32_t running,
                                std::uint64_t usedTokens, Milliseconds now)
{
    this->servers[serverIndex].ownRunning = running;
    this->histories[serverIndex].ownUsed = usedTokens;
    this->addSample(serverIndex, now);
}

void LoadTracker::recordReport(ServerIndex serverIndex, const LoadReport &report, Milliseconds now)
{
    Server &server = this->servers[serverIndex];
    const Milliseconds reportTakenAt = now - std::max(report.age, Milliseconds(0));
    if (server.hasReport && reportTakenAt < server.reportTakenAt)
        return;
    const Sample &sampleAtReport = this->sampleAt(serverIndex, reportTakenAt);
    server.hasReport = true;
    server.reportTakenAt = reportTakenAt;
    server.reportedRunning = static_cast<double>(report.running) + report.waiting;
    server.knownAtReport = sampleAtReport.knownRunning;
    server.reportedOthersMemory =
            std::max(0.0,
                     static_cast<double>(report.memoryUsedTokens)
                             - static_cast<double>(sampleAtReport.usedTokens));
    if (report.memoryTotalTokens > 0)
        server.memoryTotal = report.memoryTotalTokens;
}

void LoadTracker::recordPeerLoad(const HostName &peer, std::uint64_t sequence,
                                 std::span<const PeerServerLoad> loads, Milliseconds now)
{
    const auto [entry, isNew] = this->peers.try_emplace(peer);
    Peer &known = entry->second;
    if (!isNew && sequence <= known.sequence)
        return;
    // The requests in a new peer's first digest are assumed to be part of the reports already.
    this->applyPeer(known, -1, false, now);
    known.sequence = sequence;
    known.receivedAt = now;
    known.loads.assign(loads.begin(), loads.end());
    this->applyPeer(known, 1, isNew, now);
    for (ShortWorkState &work : this->shortWork)
        work.digests.push_back({peer, sequence, now});
}

void LoadTracker::setShortWorkLifetime(ShortWork kind, Milliseconds time)
{
    for (ShortWorkState &work : this->shortWork) {
        if (work.kind == kind)
            work.lifetime = time;
    }
}

void LoadTracker::advance(Milliseconds now)
{
    for (ShortWorkState &work : this->shortWork) {
        while (!work.digests.empty() && now - work.digests.front().receivedAt >= work.lifetime) {
            const FreshDigest digest = std::move(work.digests.front());
            work.digests.pop_front();
            const auto peer = this->peers.find(digest.peer);
            if (peer != this->peers.end() && peer->second.sequence == digest.sequence)
                this->dropShortWork(peer->second, work.kind, now);
        }
    }
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        if (now - peer->second.receivedAt < this->options.peerTimeout) {
            ++peer;
            continue;
        }
        // The peer's requests did not end with its digest, so the reports' baseline is reduced as
        // well.
        this->applyPeer(peer->second, -1, true, now);
        peer = this->peers.erase(peer);
    }
}

double LoadTracker::running(ServerIndex serverIndex, Milliseconds now) const
{
    return this->estimate(serverIndex, now).running;
}

double LoadTracker::othersMemory(ServerIndex serverIndex, Milliseconds now) const
{
    return this->estimate(serverIndex, now).othersMemory;
}

std::uint32_t LoadTracker::reportedMemory(ServerIndex serverIndex) const
{
    return this->servers[serverIndex].memoryTotal;
}

std::size_t LoadTracker::peerCount() const
{
    return this->peers.size();
}

const LoadTracker::Sample &LoadTracker::sampleAt(ServerIndex serverIndex, Milliseconds time) const
{
    const std::vector<Sample> &samples = this->histories[serverIndex].samples;
    const auto later = std::upper_bound(
            samples.begin(), samples.end(), time,
            [](Milliseconds left, const Sample &right) { return left < right.time; });
    return later == samples.begin() ? samples.front() : *std::prev(later);
}

void LoadTracker::addSample(ServerIndex serverIndex, Milliseconds now)
{
    History &history = this->histories[serverIndex];
    std::vector<Sample> &samples = history.samples;
    const bool isMergedIntoLast = samples.size() > 1 && now - samples.back().time < sampleSpacing;
    if (!isMergedIntoLast) {
        if (samples.size() >= maximumSamples)
            downsampleOlderHalf(samples);
        samples.push_back({now, 0, 0});
    }
    samples.back().knownRunning = knownRunning(this->servers[serverIndex]);
    samples.back().usedTokens = history.ownUsed;
}

void LoadTracker::shiftBaseline(ServerIndex serverIndex, std::int64_t amount)
{
    for (Sample &sample : this->histories[serverIndex].samples)
        sample.knownRunning += amount;
    this->servers[serverIndex].knownAtReport += amount;
}

void LoadTracker::dropShortWork(Peer &peer, ShortWork kind, Milliseconds now)
{
    this->applyPeer(peer, -1, false, now);
    for (PeerServerLoad &load : peer.loads) {
        if (kind == ShortWork::Prompts)
            load.pendingPromptTokens = 0;
        else if (load.isShortWork)
            load.running = 0;
    }
    this->applyPeer(peer, 1, false, now);
}

void LoadTracker::applyPeer(const Peer &peer, std::int64_t sign, bool isBaseline, Milliseconds now)
{
    for (const PeerServerLoad &load : peer.loads) {
        Server &server = this->servers[load.serverIndex];
        server.peersRunning += sign * load.running;
        server.peersReserved += sign * load.reservedTokens;
        server.peersPendingPromptTokens += sign * load.pendingPromptTokens;
        if (isBaseline)
            this->shiftBaseline(load.serverIndex, sign * load.running);
        else
            this->addSample(load.serverIndex, now);
    }
}

} // namespace sassafrasyard
