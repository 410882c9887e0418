#include "gateway/relay/streamending.h"

#include "observability/observability.h"

#include <cmath>
#include <string>

namespace sassafrasyard {

namespace {

/** Returns the time since an instant in milliseconds, or "none". */
std::string ageText(const std::optional<Milliseconds> &since, Milliseconds now)
{
    return since ? std::to_string((now - *since).count()) : std::string("none");
}

bool isChunked(const HttpRequest &request)
{
    return findHeader(request.headers, "Transfer-Encoding").has_value();
}

} // namespace

std::string_view toString(StreamCutDecision decision)
{
    switch (decision) {
    case StreamCutDecision::CallerUnwritable:
        return "caller_unwritable";
    case StreamCutDecision::DeadlineReached:
        return "deadline";
    case StreamCutDecision::HostStopped:
        return "host_stopped";
    case StreamCutDecision::PartLimitReached:
        return "part_limit";
    case StreamCutDecision::RequestQuarantined:
        return "quarantined";
    case StreamCutDecision::RunNotEnded:
        return "run_not_ended";
    case StreamCutDecision::NoContinuation:
        return "no_continuation";
    case StreamCutDecision::NoPlacement:
        return "no_placement";
    }
    return "unknown";
}

std::string framingName(std::optional<BodyFraming> framing)
{
    return framing ? std::string(toString(*framing)) : std::string("none");
}

std::string describeServer(const GatewayDependencies &dependencies, const BackendServerName &server)
{
    if (dependencies.servers.find(server) == nullptr)
        return "gone";
    if (!dependencies.servers.isUsable(server))
        return "leaving";
    return dependencies.reachability.pauseLeft(server) ? "paused" : "usable";
}

void recordStreamCut(const GatewayDependencies &dependencies, const RoutedCall &call,
                     const StreamEnding &ending)
{
    const Milliseconds now = dependencies.clock.now();
    RunLoss unknown;
    unknown.server = ending.server;
    unknown.engineState = describeServer(dependencies, ending.server);
    const RunLoss loss = ending.loss.value_or(unknown);
    const std::string closedBy = loss.isClosedByHost ? "host" : "connection";
    const auto current = dependencies.serving.current();
    const HostChanges &changes = dependencies.changes;
    dependencies.entry.metrics.count("sassafrasyard_streams_cut_total",
                                     {{"decision", std::string(toString(ending.decision))}});
    logEvent(LogEvent::StreamCut, "request", call.metadata.requestId, "decision",
             std::string(toString(ending.decision)), "backend_server", ending.server.toString(),
             "events", std::to_string(ending.eventCount), "parts", std::to_string(ending.partCount),
             "detail", ending.failure.detail, "age_ms",
             std::to_string((now - call.receivedAt).count()), "left_ms",
             std::to_string(call.timeLeft(now).count()), "event_age_ms",
             ageText(ending.lastEventAt, now), "lost_server", loss.server.toString(), "lost_ago_ms",
             ending.loss ? std::to_string((now - loss.lostAt).count()) : std::string("none"),
             "closed_by", ending.loss ? closedBy : std::string("none"), "loss", loss.detail,
             "engine", loss.engineState, "stop", loss.stopState, "stop_outcome",
             loss.stopOutcome.empty() ? std::string("none") : loss.stopOutcome, "stop_effect",
             std::string(toString(loss.stopEffect)), "framing", framingName(loss.framing), "backup",
             loss.backupState, "copy", loss.copyState, "version",
             std::to_string(call.configuration->version), "version_in_force",
             current ? std::to_string(current->version) : std::string("none"), "version_age_ms",
             ageText(changes.configurationAppliedAt, now), "reload_age_ms",
             ageText(changes.reloadedAt, now), "stop_age_ms", ageText(changes.stopStartedAt, now),
             "late_age_ms", ageText(changes.lateAt, now), "late_by_ms",
             std::to_string(changes.lateBy.count()), "chunked",
             std::string(isChunked(call.request) ? "1" : "0"));
}

void recordEnginePause(const GatewayDependencies &dependencies, const std::string &requestId,
                       const BackendServerName &server, Milliseconds pause)
{
    Metrics &metrics = dependencies.entry.metrics;
    dependencies.dispatch.post([requestId, server, pause, &metrics](Dispatcher &dispatcher,
                                                                    Milliseconds now) {
        const EngineCondition condition = dispatcher.engineCondition(server, now);
        const std::string cause(toString(likelyPauseCause(condition)));
        metrics.count("sassafrasyard_engine_pauses_total", {{"cause", cause}});
        logEvent(LogEvent::StreamPaused, "request", requestId, "backend_server", server.toString(),
                 "pause_ms", std::to_string(pause.count()), "cause", cause, "speed_ratio",
                 std::to_string(condition.speedRatio), "pending_prompt_tokens",
                 std::to_string(std::llround(condition.pendingPromptTokens)), "memory_share",
                 std::to_string(condition.memoryShare));
    });
}

} // namespace sassafrasyard
