#pragma once

#include "core/time/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Every kind of failure that the system reports. */
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

/** What is known about the work that a failed request asked for. */
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
    /** Whether the work ran. */
    RunState runState = RunState::OutcomeUnknown;
    /** A sentence for people; programs read the code. */
    std::string detail;
    /** When a new try is worthwhile, in milliseconds from now. */
    std::optional<Milliseconds> retryAfter;
};

/** Returns the code's name on the wire, such as "not_found". */
std::string_view toString(ErrorCode code);

/** Returns the run state's name on the wire: "not_run", "completed" or "outcome_unknown". */
std::string_view toString(RunState state);

/** Returns the HTTP status for a failure of this kind. */
int httpStatus(ErrorCode code);

} // namespace sassafrasyard
