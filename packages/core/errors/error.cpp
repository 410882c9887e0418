#include "core/errors/error.h"

#include <array>

namespace sassafrasyard {

namespace {

struct ErrorCodeEntry
{
    ErrorCode code;
    std::string_view name;
    int status;
};

constexpr std::array errorCodes = {
        ErrorCodeEntry{ErrorCode::InvalidRequest, "invalid_request", 400},
        ErrorCodeEntry{ErrorCode::RequestTooLarge, "request_too_large", 413},
        ErrorCodeEntry{ErrorCode::HeaderTooLarge, "header_too_large", 431},
        ErrorCodeEntry{ErrorCode::RequestTimeout, "request_timeout", 408},
        ErrorCodeEntry{ErrorCode::UnknownKey, "unknown_key", 401},
        ErrorCodeEntry{ErrorCode::Forbidden, "forbidden", 403},
        ErrorCodeEntry{ErrorCode::NotFound, "not_found", 404},
        ErrorCodeEntry{ErrorCode::LimitExceeded, "limit_exceeded", 429},
        ErrorCodeEntry{ErrorCode::Overloaded, "overloaded", 503},
        ErrorCodeEntry{ErrorCode::NoBackendServer, "no_backend_server", 503},
        ErrorCodeEntry{ErrorCode::BackendServerRefused, "backend_server_refused", 503},
        ErrorCodeEntry{ErrorCode::BackendServerLost, "backend_server_lost", 502},
        ErrorCodeEntry{ErrorCode::GenerationLost, "generation_lost", 410},
        ErrorCodeEntry{ErrorCode::InvalidPosition, "invalid_position", 400},
        ErrorCodeEntry{ErrorCode::HostIncarnationUnknown, "host_incarnation_unknown", 409},
        ErrorCodeEntry{ErrorCode::IdempotencyKeyReused, "idempotency_key_reused", 422},
        ErrorCodeEntry{ErrorCode::CallInProgress, "call_in_progress", 409},
        ErrorCodeEntry{ErrorCode::LedgerFull, "ledger_full", 503},
        ErrorCodeEntry{ErrorCode::RequestQuarantined, "request_quarantined", 503},
        ErrorCodeEntry{ErrorCode::HostDraining, "host_draining", 503},
        ErrorCodeEntry{ErrorCode::Timeout, "timeout", 504},
        ErrorCodeEntry{ErrorCode::ConnectionFailed, "connection_failed", 502},
        ErrorCodeEntry{ErrorCode::ProtocolViolation, "protocol_violation", 502},
        ErrorCodeEntry{ErrorCode::PlatformUnavailable, "platform_unavailable", 503},
        ErrorCodeEntry{ErrorCode::PlatformOutcomeUnknown, "platform_outcome_unknown", 503},
        ErrorCodeEntry{ErrorCode::HistoryGone, "history_gone", 503},
        ErrorCodeEntry{ErrorCode::Conflict, "conflict", 409},
        ErrorCodeEntry{ErrorCode::ConfigurationInvalid, "configuration_invalid", 422},
        ErrorCodeEntry{ErrorCode::SettingInvalid, "setting_invalid", 400},
        ErrorCodeEntry{ErrorCode::LeaseLost, "lease_lost", 409},
        ErrorCodeEntry{ErrorCode::StaleFence, "stale_fence", 409},
        ErrorCodeEntry{ErrorCode::Internal, "internal", 500},
};

const ErrorCodeEntry &findEntry(ErrorCode code)
{
    for (const ErrorCodeEntry &entry : errorCodes) {
        if (entry.code == code)
            return entry;
    }
    return errorCodes.back();
}

} // namespace

std::string_view toString(ErrorCode code)
{
    return findEntry(code).name;
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Completed:
        return "completed";
    case RunState::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

int httpStatus(ErrorCode code)
{
    return findEntry(code).status;
}

} // namespace sassafrasyard
