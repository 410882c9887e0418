#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/stoprecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** The decision by which this host ends a stream before its last event. */
enum class StreamCutDecision {
    /** The caller does not take the events. */
    CallerUnwritable,
    /** The deadline of the caller or the time-out of the route has passed. */
    DeadlineReached,
    /** The process exits. */
    HostStopped,
    /** The stream has been on too many engines. */
    PartLimitReached,
    /** The request has crashed several backend servers. */
    RequestQuarantined,
    /** The former engine may still work on the run. */
    RunNotEnded,
    /** There is no copy, or no engine took the run from one, and the call may not run again. */
    NoContinuation,
    /** The call may run again, but no backend server takes it. */
    NoPlacement,
};

/** Returns the name of a decision in logs and metrics. */
std::string_view toString(StreamCutDecision decision);

/** What was known when a run lost its connection, before a continuation was tried. */
struct RunLoss
{
    /** The engine of the run. */
    BackendServerName server;
    /** When the connection ended, on the clock that counts suspension. */
    Milliseconds lostAt{0};
    /** Whether this host closed it; otherwise a read failed. */
    bool isClosedByHost = false;
    /** Why it ended. */
    std::string detail;
    /** The state of the engine's entry: "usable", "paused", "leaving" or "gone". */
    std::string engineState;
    /** The state of the request to stop the run: "none", "pending" or "ended". */
    std::string stopState = "none";
    /** How that request ended, as in its log line; empty before that or without one. */
    std::string stopOutcome;
    /** What the requests to stop the run may have done to it. */
    StopEffect stopEffect = StopEffect::None;
    /** What ends the body of the engine's response; nothing before its header. */
    std::optional<BodyFraming> framing;
    /** The state of the backup: "none", "usable" or "unusable". */
    std::string backupState = "none";
    /** The state of the copy made by moves: "none", "pending", "ready" or "failed". */
    std::string copyState = "none";
};

/** A stream that ends before its last event. */
struct StreamEnding
{
    /** What ends it. */
    StreamCutDecision decision = StreamCutDecision::NoContinuation;
    /** The loss of the last run that produced events, if one was lost. */
    std::optional<RunLoss> loss;
    /** When the last event was forwarded; nothing before the first one. */
    std::optional<Milliseconds> lastEventAt;
    /** The number of events forwarded. */
    std::uint32_t eventCount = 0;
    /** The number of engines that the stream was sent to. */
    std::uint32_t partCount = 0;
    /** The backend server that was asked last. */
    BackendServerName server;
    /** The last failure. */
    Error failure;
};

/** Returns the name of a framing in logs and metrics, or "none". */
std::string framingName(std::optional<BodyFraming> framing);

/** Returns the state of a server's entry for RunLoss::engineState. */
std::string describeServer(const GatewayDependencies &dependencies,
                           const BackendServerName &server);

/** Counts and logs a stream that this host ends before its last event. */
void recordStreamCut(const GatewayDependencies &dependencies, const RoutedCall &call,
                     const StreamEnding &ending);

/**
 * Logs and counts a pause of a stream inside an engine that is longer than the route's target, with
 * its likely cause as far as hosts know.
 */
void recordEnginePause(const GatewayDependencies &dependencies, const std::string &requestId,
                       const BackendServerName &server, Milliseconds pause);

} // namespace sassafrasyard
