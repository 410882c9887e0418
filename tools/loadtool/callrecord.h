#pragma once

#include "callplan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** How a call ended. */
enum class CallOutcome {
    /** The run ended before the call. */
    Unfinished,
    Completed,
    /** Refused with run_state not_run, also on the retry. */
    Refused,
    /** The stream ended with generation_lost. */
    Lost,
    Failed,
};

/** A duration and the time at which it was observed. */
struct LatencySample
{
    /** When the token that ends it arrived. */
    RunTime at{0};
    /** The duration in milliseconds. */
    float milliseconds = 0.0F;
};

/** The measurements of one call. */
struct CallRecord
{
    /** The kind of the call. */
    CallKind kind = CallKind::Long;
    /** When the call started. */
    RunTime arrivedAt{0};
    /** Whether demand was at its peak when the call started. */
    bool isAtPeak = false;
    /** The outcome so far. */
    CallOutcome outcome = CallOutcome::Unfinished;
    /** Milliseconds from the start to the first token, or to the response of a plain call. */
    std::optional<float> firstResponseMilliseconds;
    /** Times between consecutive tokens. */
    std::vector<LatencySample> gaps;
    /** Times from each attempt to its refusal, in milliseconds. */
    std::vector<float> refusalMilliseconds;
    /** The index of the last received token plus one, so missing tokens are included. */
    std::uint64_t tokens = 0;
    /** Tokens that the stream skipped. */
    std::uint64_t missingTokens = 0;
    /** Tokens received again, or orders that the service reports as run more than once. */
    std::uint64_t duplicates = 0;
    /** Tokens whose text differs from expectedToken(). */
    std::uint64_t mismatchedTokens = 0;
    /** Successful resumptions with Last-Event-ID. */
    std::uint64_t resumes = 0;
    /** Times from the engine's timestamp of each later token to its arrival. */
    std::vector<LatencySample> transportTimes;
    /** The time to the first token without the time inside the engine. */
    std::optional<LatencySample> firstTokenTransportTime;
};

} // namespace sassafrasyard
