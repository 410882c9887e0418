#pragma once

#include "core/core.h"

#include <cstdint>
#include <variant>

namespace sassafrasyard {

/** Instructs the caller of the Dispatcher to send a request to a backend server. */
struct Assignment
{
    /** The request to send. */
    RequestName request;
    /** The backend server to send it to. */
    BackendServerName server;
    /** The engine memory reserved for it, in tokens. */
    std::uint32_t reservedTokens = 0;
    /** The priority to send to the engine; higher values are served first. */
    int enginePriority = 0;
    /** See Placement::cachedTokens. */
    std::uint32_t cachedTokens = 0;
    /** See Placement::acceptedWaitTokens. */
    std::uint32_t acceptedWaitTokens = 0;
};

/** Informs the caller that a request is refused; it has not run. */
struct Refusal
{
    /** The refused request. */
    RequestName request;
    /** Why it is refused. */
    ErrorCode reason = ErrorCode::Overloaded;
    /** The time after which to retry, in milliseconds. */
    Milliseconds retryAfter{0};
};

/**
 * Instructs the caller to cancel a running stream on its engine; a Resumption follows unless it
 * ends.
 */
struct Suspension
{
    /** The request to suspend. */
    RequestName request;
};

/** Instructs the caller to resume a suspended stream on the engine that holds its generation. */
struct Resumption
{
    /** The request to resume. */
    RequestName request;
};

/** One decision of the dispatcher. */
using Decision = std::variant<Assignment, Refusal, Suspension, Resumption>;

} // namespace sassafrasyard
