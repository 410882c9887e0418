#include "control/rollouts/rolloutplanner.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

const RolloutServerView &viewOf(const RolloutServer &server, const RolloutView &view)
{
    static const RolloutServerView unknown;
    const auto found = view.servers.find(server.name);
    return found == view.servers.end() ? unknown : found->second;
}

RecordStep recordPhase(const Rollout &rollout, std::size_t index, ServerPhase phase,
                       Milliseconds now)
{
    RecordStep step{rollout};
    step.next.servers[index].phase = phase;
    step.next.servers[index].since = now;
    return step;
}

std::string formatInterval(double interval)
{
    const std::string text = std::to_string(std::round(interval * 10.0) / 10.0);
    return text.substr(0, text.find('.') + 2) + " ms";
}

/** Returns why the rollout has to stop; empty if it may go on. */
std::string findStopReason(const Rollout &rollout, const RolloutServer &server,
                           const RolloutServerView &seen, Milliseconds now)
{
    const std::string name = server.name.toString();
    if (server.phase == ServerPhase::Loading && now - server.since > rollout.loadTimeout)
        return name + " has not loaded " + rollout.version + " within "
                + std::to_string(rollout.loadTimeout.count() / 1000) + " s";
    const bool isObserved =
            server.phase == ServerPhase::Serving || server.phase == ServerPhase::Loading;
    if (isObserved && seen.isConfigured && seen.isLost)
        return name + " stopped answering while it took over " + rollout.version;
    if (server.phase == ServerPhase::Serving && server.baselineInterval > 0.0
        && seen.tokenInterval > server.baselineInterval * rollout.maximumSlowdown) {
        return "time per token on " + name + " rose from " + formatInterval(server.baselineInterval)
                + " to " + formatInterval(seen.tokenInterval) + " with " + rollout.version;
    }
    return {};
}

/** Gives new work back to the old version where the new one is under observation. */
std::optional<RolloutStep> planRevert(const Rollout &rollout, std::size_t index,
                                      const RolloutServerView &seen, Milliseconds now)
{
    const RolloutServer &server = rollout.servers[index];
    const bool isUnfinished =
            server.phase == ServerPhase::Serving || server.phase == ServerPhase::Loading;
    const bool hasOld = !server.oldVersion.empty() && server.oldVersion != rollout.version;
    if (!isUnfinished && server.phase != ServerPhase::Reverted)
        return std::nullopt;
    if (hasOld && seen.isConfigured) {
        const bool isLoaded = seen.loaded.contains(server.oldVersion);
        // The order also shows this holder's token to the engine, which from then on refuses a
        // former holder's order to unload the version that gets new work again.
        if (!isLoaded || (isUnfinished && !seen.hasSeenToken)) {
            if (!seen.isReachable || seen.wasOrderedRecently)
                return std::nullopt;
            return SendOrderStep{server.name, "load", server.oldVersion};
        }
        if (isUnfinished && seen.servedVersion == rollout.version)
            return MoveNewWorkStep{server.name, server.oldVersion};
    }
    if (!isUnfinished)
        return std::nullopt;
    return recordPhase(rollout, index, ServerPhase::Reverted, now);
}

std::optional<RolloutStep> planLoading(const Rollout &rollout, std::size_t index,
                                       const RolloutServerView &seen, Milliseconds now)
{
    const RolloutServer &server = rollout.servers[index];
    if (!seen.isReachable)
        return std::nullopt;
    if (!seen.loaded.contains(rollout.version)) {
        if (seen.wasOrderedRecently)
            return std::nullopt;
        return SendOrderStep{server.name, "load", rollout.version};
    }
    if (seen.servedVersion != rollout.version)
        return MoveNewWorkStep{server.name, rollout.version};
    return recordPhase(rollout, index, ServerPhase::Serving, now);
}

std::optional<RolloutStep> planServing(const Rollout &rollout, std::size_t index,
                                       const RolloutServerView &seen, const RolloutView &view)
{
    const RolloutServer &server = rollout.servers[index];
    if (!seen.isReachable)
        return std::nullopt;
    // The engine lost the version, as after a restart or a stale order of a former lease holder.
    if (!seen.loaded.contains(rollout.version))
        return recordPhase(rollout, index, ServerPhase::Loading, view.now);
    if (view.now - server.since < rollout.observation)
        return std::nullopt;
    const auto old = seen.loaded.find(server.oldVersion);
    const auto pin = view.pinnedVersions.find(server.oldVersion);
    const bool isPinned = pin != view.pinnedVersions.end() && pin->second;
    const bool isOldKept = server.oldVersion == rollout.version || isPinned;
    // An engine that does not say how many streams run on a version decides itself when it goes.
    if (isOldKept || old == seen.loaded.end() || !old->second)
        return recordPhase(rollout, index, ServerPhase::Done, view.now);
    if (*old->second > 0 || seen.wasOrderedRecently)
        return std::nullopt;
    return SendOrderStep{server.name, "unload", server.oldVersion};
}

bool mayStartAnother(const Rollout &rollout, const RolloutView &view)
{
    const auto count = static_cast<double>(rollout.servers.size());
    const auto allowed = std::max<std::size_t>(
            1, static_cast<std::size_t>(std::floor(rollout.parallelShare * count)));
    const std::size_t loading = countLoads(rollout);
    std::size_t observed = 0;
    for (const RolloutServer &server : rollout.servers) {
        observed += server.phase == ServerPhase::Serving
                        && view.now - server.since < rollout.observation
                ? 1
                : 0;
    }
    return loading + observed < allowed && loading + view.otherLoads < rollout.maximumLoads;
}

RolloutStep planStart(const Rollout &rollout, std::size_t index, const RolloutServerView &seen,
                      Milliseconds now)
{
    RecordStep step = recordPhase(rollout, index, ServerPhase::Loading, now);
    RolloutServer &server = step.next.servers[index];
    server.oldVersion = seen.servedVersion;
    if (server.oldVersion.empty() && !seen.loaded.empty())
        server.oldVersion = seen.loaded.begin()->first;
    server.baselineInterval = seen.tokenInterval;
    return step;
}

RolloutStep planReverts(const Rollout &rollout, const RolloutView &view)
{
    for (std::size_t index = 0; index < rollout.servers.size(); ++index) {
        const auto step =
                planRevert(rollout, index, viewOf(rollout.servers[index], view), view.now);
        if (step)
            return *step;
    }
    return WaitStep();
}

} // namespace

RolloutStep planRollout(const Rollout &rollout, const RolloutView &view)
{
    if (rollout.state == RolloutState::Completed)
        return WaitStep();
    if (rollout.state == RolloutState::Stopped)
        return planReverts(rollout, view);
    for (const RolloutServer &server : rollout.servers) {
        std::string reason = findStopReason(rollout, server, viewOf(server, view), view.now);
        if (!reason.empty()) {
            RecordStep step{rollout};
            step.next.state = RolloutState::Stopped;
            step.next.reason = std::move(reason);
            return step;
        }
    }
    bool isComplete = true;
    for (std::size_t index = 0; index < rollout.servers.size(); ++index) {
        const RolloutServer &server = rollout.servers[index];
        const RolloutServerView &seen = viewOf(server, view);
        if (server.phase >= ServerPhase::Done)
            continue;
        if (!seen.isConfigured)
            return recordPhase(rollout, index, ServerPhase::Skipped, view.now);
        isComplete = false;
        std::optional<RolloutStep> step;
        if (server.phase == ServerPhase::Loading)
            step = planLoading(rollout, index, seen, view.now);
        else if (server.phase == ServerPhase::Serving)
            step = planServing(rollout, index, seen, view);
        else if (seen.isReachable && mayStartAnother(rollout, view))
            step = planStart(rollout, index, seen, view.now);
        if (step)
            return *step;
    }
    if (!isComplete)
        return WaitStep();
    RecordStep step{rollout};
    step.next.state = RolloutState::Completed;
    return step;
}

} // namespace sassafrasyard
