#pragma once

#include "core/core.h"

#include <cstdint>
#include <variant>

namespace sassafrasyard {

/** Tells the driver to send a request to a backend server. */
struct Assignment
{
    /** The request to send. */
    RequestName request;
    /** Where to send it. */
    BackendServerName server;
    /** The engine memory reserved for it, in tokens. */
    std::uint32_t reservedTokens = 0;
    /** The priority to send to the engine; a higher value goes first. */
    int enginePriority = 0;
};

/** Tells the driver that a request is refused; it has not run. */
struct Refusal
{
    /** The refused request. */
    RequestName request;
    /** Why it is refused. */
    ErrorCode reason = ErrorCode::Overloaded;
    /** When a new try is worthwhile, in milliseconds from now. */
    Milliseconds retryAfter{0};
};

/** Tells the driver to cancel a running stream on its engine, to be resumed later. */
struct Suspension
{
    /** The request to suspend. */
    RequestName request;
};

/** Tells the driver to resume a suspended stream on the engine that holds its generation. */
struct Resumption
{
    /** The request to resume. */
    RequestName request;
};

/** One decision of the dispatcher. */
using Decision = std::variant<Assignment, Refusal, Suspension, Resumption>;

} // namespace sassafrasyard
