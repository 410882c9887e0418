#pragma once

#include "core/time/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Every kind of failure that is reported to callers, operators or peers. */
enum class ErrorCode {
    InvalidRequest,
    RequestTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    UnknownKey,
    Forbidden,
    NotFound,
    LimitExceeded,
    Overloaded,
    NoBackendServer,
    BackendServerRefused,
    BackendServerLost,
    GenerationLost,
    InvalidPosition,
    HostIncarnationUnknown,
    IdempotencyKeyReused,
    CallInProgress,
    LedgerFull,
    RequestQuarantined,
    HostDraining,
    Timeout,
    ConnectionFailed,
    ProtocolViolation,
    PlatformUnavailable,
    PlatformOutcomeUnknown,
    HistoryGone,
    Conflict,
    ConfigurationInvalid,
    SettingInvalid,
    LeaseLost,
    StaleFence,
    Internal,
};

/** Whether the work of a failed request was executed. */
enum class RunState {
    NotRun,
    Completed,
    OutcomeUnknown,
};

/** A typed failure. */
struct Error
{
    /** The kind of failure. */
    ErrorCode code = ErrorCode::Internal;
    /** Whether the requested work was executed. */
    RunState runState = RunState::OutcomeUnknown;
    /** A human-readable message; programs use the code. */
    std::string detail;
    /** The suggested delay before a retry, in milliseconds; nothing if unknown. */
    std::optional<Milliseconds> retryAfter;
};

/** Returns the code's name in responses and logs, such as "not_found". */
std::string_view toString(ErrorCode code);

/** Returns the run state's name in responses: "not_run", "completed" or "outcome_unknown". */
std::string_view toString(RunState state);

/** Returns the HTTP status for a failure of this kind. */
int httpStatus(ErrorCode code);

} // namespace sassafrasyard
