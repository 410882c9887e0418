#pragma once

#include "core/core.h"
#include "gateway/routes/route.h"

#include <cstdint>

namespace sassafrasyard {

/** The outcome of an attempt to run a call on a backend server. */
enum class AttemptOutcome {
    /** No byte of the call reached the server. */
    NotSent,
    /** The server states that it did not and will not run the call. */
    RefusedBeforeRun,
    /** The server responded. */
    Answered,
    /** The call was sent and may have run, or may still run. */
    Unknown,
};

/** Returns the name of an outcome for logs and metrics. */
std::string_view toString(AttemptOutcome outcome);

/** Counts the attempts of one call by outcome. */
struct AttemptHistory
{
    /** Attempts that ended as NotSent. */
    std::uint32_t unsent = 0;
    /** Attempts that ended as RefusedBeforeRun. */
    std::uint32_t refused = 0;
    /** Attempts after which the call may have run. */
    std::uint32_t mayHaveRun = 0;

    /** Counts an attempt. */
    void record(AttemptOutcome outcome);
};

/** How many attempts of a call may end with NotSent or RefusedBeforeRun. */
constexpr std::uint32_t maximumNotRunAttempts = 3;

/**
 * Returns whether a call may be sent to another server after an attempt.
 *
 * @param history includes the last attempt.
 * @param status the status of the last response, if there was one.
 */
bool mayRetry(const Route &route, const AttemptHistory &history, AttemptOutcome last, int status);

/** The retry time for a caller whose call was refused by servers or reached none. */
constexpr Milliseconds refusedRetryAfter{500};

/**
 * Returns the error for the caller of a call without a usable response.
 *
 * @param failure the failure of the last attempt; its run state is replaced by NotRun only if no
 *     attempt may have run, otherwise by OutcomeUnknown.
 */
Error finalError(const AttemptHistory &history, Error failure);

} // namespace sassafrasyard
