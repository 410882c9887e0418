#include "gateway/calls/retryrule.h"

namespace sassafrasyard {

namespace {

constexpr int minimumServerErrorStatus = 500;

bool mayRunTwice(const Route &route)
{
    return route.kind == CallKind::Idempotent
            || (route.kind == CallKind::Stream && route.isResumable);
}

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::RefusedBeforeRun:
        return "refused_before_run";
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

void AttemptHistory::record(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotSent)
        ++this->unsent;
    else if (outcome == AttemptOutcome::RefusedBeforeRun)
        ++this->refused;
    else
        ++this->mayHaveRun;
}

bool mayRetry(const Route &route, const AttemptHistory &history, AttemptOutcome last, int status)
{
    const bool hasNotRun =
            last == AttemptOutcome::NotSent || last == AttemptOutcome::RefusedBeforeRun;
    if (hasNotRun)
        return history.unsent + history.refused < maximumNotRunAttempts;
    if (!mayRunTwice(route) || history.mayHaveRun >= route.maximumAttempts)
        return false;
    return last == AttemptOutcome::Unknown || status >= minimumServerErrorStatus;
}

Error finalError(const AttemptHistory &history, Error failure)
{
    if (history.mayHaveRun > 0) {
        failure.runState = RunState::OutcomeUnknown;
        if (failure.code != ErrorCode::Timeout)
            failure.code = ErrorCode::BackendServerLost;
        failure.retryAfter.reset();
        return failure;
    }
    failure.runState = RunState::NotRun;
    if (history.unsent + history.refused > 0) {
        failure.code = ErrorCode::BackendServerRefused;
        failure.retryAfter = failure.retryAfter.value_or(refusedRetryAfter);
    }
    return failure;
}

} // namespace sassafrasyard
