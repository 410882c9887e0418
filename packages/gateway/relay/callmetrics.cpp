#include "gateway/relay/callmetrics.h"

#include <array>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace {

std::string toLabel(CallKind kind)
{
    switch (kind) {
    case CallKind::Idempotent:
        return "idempotent";
    case CallKind::NonIdempotent:
        return "non_idempotent";
    case CallKind::Stream:
        return "stream";
    }
    return "unknown";
}

double toNumber(Milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

void recordCall(Metrics &metrics, CallKind kind, std::string_view outcome, Milliseconds elapsed)
{
    metrics.count("sassafrasyard_routed_calls_total",
                  {{"kind", toLabel(kind)}, {"outcome", std::string(outcome)}});
    metrics.observe("sassafrasyard_routed_call_ms", {{"kind", toLabel(kind)}}, toNumber(elapsed));
}

void recordRefusal(Metrics &metrics, ErrorCode reason, RunState runState)
{
    metrics.count("sassafrasyard_routed_refusals_total",
                  {{"reason", std::string(toString(reason))},
                   {"run_state", std::string(toString(runState))}});
}

void recordFailedAttempt(Metrics &metrics, const RoutedCall &call, const BackendServerName &server,
                         AttemptOutcome outcome, const Error &failure)
{
    metrics.count(
            "sassafrasyard_failed_attempts_total",
            {{"kind", toLabel(call.route->kind)}, {"outcome", std::string(toString(outcome))}});
    logEvent(LogEvent::AttemptFailed, "request", call.metadata.requestId, "backend_server",
             server.toString(), "outcome", toString(outcome), "digest",
             digestText(call.work.requestDigest), "body_bytes",
             std::to_string(call.request.body.size()), "detail", failure.detail);
}

void recordRefusal(Metrics &metrics, const RoutedCall &call, const Error &error)
{
    recordRefusal(metrics, error.code, error.runState);
    logEvent(LogEvent::CallRefused, "request", call.metadata.requestId, "reason",
             toString(error.code), "run_state", toString(error.runState), "digest",
             digestText(call.work.requestDigest), "parts", digestListText(call.work.promptParts),
             "detail", error.detail);
}

void recordStreamTiming(Metrics &metrics, Milliseconds firstEvent, Milliseconds longestPause)
{
    metrics.observe("sassafrasyard_stream_first_event_ms", {}, toNumber(firstEvent));
    metrics.observe("sassafrasyard_stream_longest_pause_ms", {}, toNumber(longestPause));
}

void recordStreamEnd(Metrics &metrics, std::string framing, StopEffect effect)
{
    metrics.count("sassafrasyard_stream_ends_total",
                  {{"framing", std::move(framing)}, {"stop", std::string(toString(effect))}});
}

void recordBrokenEnd(Metrics &metrics, const RoutedCall &call, const BackendServerName &server,
                     StopEffect effect, ProcessState process, Milliseconds waited)
{
    const std::string stop(toString(effect));
    metrics.count("sassafrasyard_broken_ends_total", {{"stop", stop}});
    logEvent(LogEvent::BrokenEndFound, "request", call.metadata.requestId, "backend_server",
             server.toString(), "stop", stop, "process", std::string(toString(process)),
             "waited_ms", std::to_string(waited.count()));
}

std::string_view statusClass(int status)
{
    constexpr std::array<std::string_view, 6> classes = {"other", "1xx", "2xx",
                                                         "3xx",   "4xx", "5xx"};
    constexpr int classSize = 100;
    const int index = status / classSize;
    return index > 0 && index < static_cast<int>(classes.size())
            ? classes[static_cast<std::size_t>(index)]
            : classes[0];
}

} // namespace sassafrasyard
