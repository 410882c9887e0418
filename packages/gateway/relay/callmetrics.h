#pragma once

#include "core/core.h"
#include "gateway/calls/retryrule.h"
#include "gateway/routes/route.h"
#include "observability/observability.h"

#include <string_view>

namespace sassafrasyard {

/** Counts a call that ended and records its duration. @param outcome one of a bounded set. */
void recordCall(Metrics &metrics, CallKind kind, std::string_view outcome, Milliseconds elapsed);

/** Counts a call that this host refused or could not have answered. */
void recordRefusal(Metrics &metrics, ErrorCode reason, RunState runState);

/** Counts an attempt that brought no answer. */
void recordFailedAttempt(Metrics &metrics, CallKind kind, AttemptOutcome outcome);

/** Records how a stream that has begun came: its first event and its longest pause. */
void recordStreamPace(Metrics &metrics, Milliseconds firstEvent, Milliseconds longestPause);

/** Returns the class of a status for recordCall(), such as "2xx". */
std::string_view statusClass(int status);

} // namespace sassafrasyard
