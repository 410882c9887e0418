#pragma once

#include "core/core.h"
#include "gateway/routes/route.h"

#include <cstdint>

namespace sassafrasyard {

/** How an attempt to have a backend server run a call ended. */
enum class AttemptOutcome {
    /** No byte of the call reached the server. */
    NotSent,
    /** The server states that it did not and will not run the call. */
    RefusedBeforeRun,
    /** The server answered. */
    Answered,
    /** The call was sent and may have run, or may still run. */
    Unknown,
};

/** Returns the outcome's name for logs. */
std::string_view toString(AttemptOutcome outcome);

/** What the attempts at one call came to so far. */
struct AttemptHistory
{
    /** Attempts that ended as NotSent. */
    std::uint32_t unsent = 0;
    /** Attempts that ended as RefusedBeforeRun. */
    std::uint32_t refused = 0;
    /** Attempts after which the call may have run. */
    std::uint32_t mayHaveRun = 0;

    /** Adds an attempt. */
    void record(AttemptOutcome outcome);
};

/** How often a call may be tried on servers that never got it or refused it. */
constexpr std::uint32_t maximumNotRunAttempts = 3;

/**
 * Returns whether a call may be sent to another server after its last attempt.
 *
 * @param history includes the last attempt.
 * @param status the status of the last answer, if there was one.
 */
bool mayRetry(const Route &route, const AttemptHistory &history, AttemptOutcome last, int status);

/** When a caller whose call was refused by servers, or reached none, should come back. */
constexpr Milliseconds refusedRetryAfter{500};

/**
 * Returns what to tell the caller of a call that no server answered.
 *
 * @param failure the last attempt's; it says "not run" in the result only if no attempt may have
 * run.
 */
Error finalError(const AttemptHistory &history, Error failure);

} // namespace sassafrasyard
