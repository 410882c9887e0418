#pragma once

#include "core/core.h"
#include "gateway/calls/retryrule.h"
#include "gateway/relay/routedcall.h"
#include "gateway/routes/route.h"
#include "observability/observability.h"

#include <string_view>

namespace sassafrasyard {

/** Counts a call that ended and records its duration. @param outcome one of a bounded set. */
void recordCall(Metrics &metrics, CallKind kind, std::string_view outcome, Milliseconds elapsed);

/** Counts a call that this host refused or could not have answered. */
void recordRefusal(Metrics &metrics, ErrorCode reason, RunState runState);

/**
 * Counts and logs an attempt that brought no answer, or only a part of one.
 *
 * @param failure says what is known about it.
 */
void recordFailedAttempt(Metrics &metrics, const RoutedCall &call, const BackendServerName &server,
                         AttemptOutcome outcome, const Error &failure);

/** Counts and logs a refusal, or another answer of the system's own, to a routed call. */
void recordRefusal(Metrics &metrics, const RoutedCall &call, const Error &error);

/** Records how a stream that has begun came: its first event and its longest pause. */
void recordStreamTiming(Metrics &metrics, Milliseconds firstEvent, Milliseconds longestPause);

/** Returns the class of a status for recordCall(), such as "2xx". */
std::string_view statusClass(int status);

} // namespace sassafrasyard
