#include "control/rollouts/rolloutplanner.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

const RolloutServerView &findServerView(const RolloutServer &server, const RolloutView &view)
{
    static const RolloutServerView unknown;
    const auto found = view.servers.find(server.name);
    return found == view.servers.end() ? unknown : found->second;
}

WriteRolloutStep makePhaseStep(const Rollout &rollout, std::size_t index, ServerPhase phase,
                               Milliseconds now)
{
    WriteRolloutStep step{rollout};
    step.updatedRollout.servers[index].phase = phase;
    step.updatedRollout.servers[index].since = now;
    return step;
}

std::string formatInterval(double interval)
{
    const std::string text = std::to_string(std::round(interval * 10.0) / 10.0);
    return text.substr(0, text.find('.') + 2) + " ms";
}

/** Returns why the rollout must stop; empty if it may continue. */
std::string findStopReason(const Rollout &rollout, const RolloutServer &server,
                           const RolloutServerView &serverView, Milliseconds now)
{
    const std::string name = server.name.toString();
    if (server.phase == ServerPhase::Loading && now - server.since > rollout.loadTimeout)
        return name + " has not loaded " + rollout.version + " within "
                + std::to_string(rollout.loadTimeout.count() / 1000) + " s";
    const bool isObserved =
            server.phase == ServerPhase::Serving || server.phase == ServerPhase::Loading;
    if (isObserved && serverView.isConfigured && serverView.isUnresponsive)
        return name + " stopped responding during the change to " + rollout.version;
    if (server.phase == ServerPhase::Serving && server.baselineInterval > 0.0
        && serverView.tokenInterval > server.baselineInterval * rollout.maximumSlowdown) {
        return "time per token on " + name + " rose from " + formatInterval(server.baselineInterval)
                + " to " + formatInterval(serverView.tokenInterval) + " with " + rollout.version;
    }
    return {};
}

/** Returns the step that moves new requests on a server back to the old version, or nothing. */
std::optional<RolloutStep> planServerRevert(const Rollout &rollout, std::size_t index,
                                            const RolloutServerView &serverView, Milliseconds now)
{
    const RolloutServer &server = rollout.servers[index];
    const bool isUnfinished =
            server.phase == ServerPhase::Serving || server.phase == ServerPhase::Loading;
    const bool hasOldVersion = !server.oldVersion.empty() && server.oldVersion != rollout.version;
    if (!isUnfinished && server.phase != ServerPhase::Reverted)
        return std::nullopt;
    if (hasOldVersion && serverView.isConfigured) {
        const bool isLoaded = serverView.loaded.contains(server.oldVersion);
        // The order also makes the engine record this host's fencing token. From then on it refuses
        // a delayed order of an earlier lease holder to unload the version that is served again.
        if (!isLoaded || (isUnfinished && !serverView.hasAcceptedToken)) {
            if (!serverView.isReachable || serverView.wasOrderedRecently)
                return std::nullopt;
            return SendOrderStep{server.name, "load", server.oldVersion};
        }
        if (isUnfinished && serverView.servedVersion == rollout.version)
            return SetServedVersionStep{server.name, server.oldVersion};
    }
    if (!isUnfinished)
        return std::nullopt;
    return makePhaseStep(rollout, index, ServerPhase::Reverted, now);
}

std::optional<RolloutStep> planLoading(const Rollout &rollout, std::size_t index,
                                       const RolloutServerView &serverView, Milliseconds now)
{
    const RolloutServer &server = rollout.servers[index];
    if (!serverView.isReachable)
        return std::nullopt;
    if (!serverView.loaded.contains(rollout.version)) {
        if (serverView.wasOrderedRecently)
            return std::nullopt;
        return SendOrderStep{server.name, "load", rollout.version};
    }
    if (serverView.servedVersion != rollout.version)
        return SetServedVersionStep{server.name, rollout.version};
    return makePhaseStep(rollout, index, ServerPhase::Serving, now);
}

std::optional<RolloutStep> planServing(const Rollout &rollout, std::size_t index,
                                       const RolloutServerView &serverView, const RolloutView &view)
{
    const RolloutServer &server = rollout.servers[index];
    if (!serverView.isReachable)
        return std::nullopt;
    // The new version is no longer loaded, for example after an engine restart or a delayed unload
    // order of an earlier lease holder.
    if (!serverView.loaded.contains(rollout.version))
        return makePhaseStep(rollout, index, ServerPhase::Loading, view.now);
    if (view.now - server.since < rollout.observation)
        return std::nullopt;
    const auto loadedOldVersion = serverView.loaded.find(server.oldVersion);
    const auto pin = view.pinnedVersions.find(server.oldVersion);
    const bool isPinned = pin != view.pinnedVersions.end() && pin->second;
    const bool isOldVersionKept = server.oldVersion == rollout.version || isPinned;
    // An engine that does not report the streams per version unloads unused versions by itself.
    if (isOldVersionKept || loadedOldVersion == serverView.loaded.end()
        || !loadedOldVersion->second)
        return makePhaseStep(rollout, index, ServerPhase::Done, view.now);
    if (*loadedOldVersion->second > 0 || serverView.wasOrderedRecently)
        return std::nullopt;
    return SendOrderStep{server.name, "unload", server.oldVersion};
}

bool mayStartNextServer(const Rollout &rollout, const RolloutView &view)
{
    const auto count = static_cast<double>(rollout.servers.size());
    const auto maximumInProgress = std::max<std::size_t>(
            1, static_cast<std::size_t>(std::floor(rollout.parallelShare * count)));
    const std::size_t loading = countLoads(rollout);
    std::size_t observed = 0;
    for (const RolloutServer &server : rollout.servers) {
        observed += server.phase == ServerPhase::Serving
                        && view.now - server.since < rollout.observation
                ? 1
                : 0;
    }
    return loading + observed < maximumInProgress
            && loading + view.otherLoads < rollout.maximumLoads;
}

RolloutStep planStart(const Rollout &rollout, std::size_t index,
                      const RolloutServerView &serverView, Milliseconds now)
{
    WriteRolloutStep step = makePhaseStep(rollout, index, ServerPhase::Loading, now);
    RolloutServer &server = step.updatedRollout.servers[index];
    server.oldVersion = serverView.servedVersion;
    if (server.oldVersion.empty() && !serverView.loaded.empty())
        server.oldVersion = serverView.loaded.begin()->first;
    server.baselineInterval = serverView.tokenInterval;
    return step;
}

RolloutStep planRolloutRevert(const Rollout &rollout, const RolloutView &view)
{
    for (std::size_t index = 0; index < rollout.servers.size(); ++index) {
        const auto step = planServerRevert(rollout, index,
                                           findServerView(rollout.servers[index], view), view.now);
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
        return planRolloutRevert(rollout, view);
    for (const RolloutServer &server : rollout.servers) {
        std::string reason =
                findStopReason(rollout, server, findServerView(server, view), view.now);
        if (!reason.empty()) {
            WriteRolloutStep step{rollout};
            step.updatedRollout.state = RolloutState::Stopped;
            step.updatedRollout.reason = std::move(reason);
            return step;
        }
    }
    bool isComplete = true;
    for (std::size_t index = 0; index < rollout.servers.size(); ++index) {
        const RolloutServer &server = rollout.servers[index];
        const RolloutServerView &serverView = findServerView(server, view);
        if (server.phase >= ServerPhase::Done)
            continue;
        if (!serverView.isConfigured)
            return makePhaseStep(rollout, index, ServerPhase::Skipped, view.now);
        isComplete = false;
        std::optional<RolloutStep> step;
        if (server.phase == ServerPhase::Loading)
            step = planLoading(rollout, index, serverView, view.now);
        else if (server.phase == ServerPhase::Serving)
            step = planServing(rollout, index, serverView, view);
        else if (serverView.isReachable && mayStartNextServer(rollout, view))
            step = planStart(rollout, index, serverView, view.now);
        if (step)
            return *step;
    }
    if (!isComplete)
        return WaitStep();
    WriteRolloutStep step{rollout};
    step.updatedRollout.state = RolloutState::Completed;
    return step;
}

} // namespace sassafrasyard
