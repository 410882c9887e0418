#pragma once

#include "callplan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** How a call ended. */
enum class CallOutcome {
    /** The run ended first. */
    Unfinished,
    Completed,
    /** Refused as not run, also on the later try. */
    Refused,
    /** The stream ended with generation_lost. */
    Lost,
    Failed,
};

/** The time between two tokens of a stream. */
struct LatencySample
{
    /** When the later token arrived. */
    RunTime at{0};
    /** The gap in milliseconds. */
    float milliseconds = 0.0F;
};

/** What was observed of one call. */
struct CallRecord
{
    /** What it asked for. */
    CallKind kind = CallKind::Long;
    /** When it arrived. */
    RunTime arrivedAt{0};
    /** Whether demand was at its peak. */
    bool isAtPeak = false;
    /** How it ended. */
    CallOutcome outcome = CallOutcome::Unfinished;
    /** Time from arrival to the first token, or to the answer of a plain call. */
    std::optional<float> firstResponseMilliseconds;
    /** Gaps between tokens. */
    std::vector<LatencySample> gaps;
    /** Times to a refusal, in milliseconds. */
    std::vector<float> refusalMilliseconds;
    /** Tokens received once, in order. */
    std::uint64_t tokens = 0;
    /** Missing tokens. */
    std::uint64_t lost = 0;
    /** Repeated tokens, or further runs of an order. */
    std::uint64_t duplicated = 0;
    /** Tokens whose text is not the one of the seed. */
    std::uint64_t wrong = 0;
    /** Resumptions with a position. */
    std::uint64_t resumes = 0;
    /** Times from the engine's stamp to the caller, in milliseconds, with the arrival. */
    std::vector<LatencySample> transport;
    /** Time to the first token without the time in the engine, in milliseconds. */
    std::optional<LatencySample> firstTokenTransport;
};

} // namespace sassafrasyard
