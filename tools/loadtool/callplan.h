#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Microseconds since the start of a run. */
using RunTime = std::chrono::microseconds;

/** What a caller asks for. */
enum class CallKind {
    /** A long stream on the long model. */
    Long,
    /** A short stream on the long model, behind long work. */
    ShortOnLongModel,
    /** A short stream on the desk model. */
    ShortOnShortModel,
    /** An idempotent GET to the plain service. */
    Lookup,
    /** A non-idempotent POST to the plain service. */
    Order,
};

/** One call of the plan. */
struct PlannedCall
{
    /** When it arrives. */
    RunTime arrivesAt{0};
    /** What it asks for. */
    CallKind kind = CallKind::Long;
    /** The account's number. */
    std::size_t account = 0;
    /** The caller's failure domain. */
    std::size_t failureDomain = 0;
    /** Whether demand is at its peak when it arrives. */
    bool isAtPeak = false;
    /** The prompt; for a plain call, the body. */
    std::string prompt;
    /** The sampling seed; it also names the call. */
    std::uint64_t seed = 0;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** The caller drops its connection once after this many tokens and resumes; 0 for never. */
    std::uint32_t disconnectAfterTokens = 0;
};

/** A user's fleet and its mix of work. */
struct WorkloadMix
{
    /** The model of long work. */
    std::string longModel;
    /** The model of short work. */
    std::string shortModel;
    /** The plain service. */
    std::string service;
    /** How many engines run the long model. */
    std::size_t longEngines = 0;
    /** How many engines run the desk model. */
    std::size_t shortEngines = 0;
    /** How many failure domains the callers are spread over. */
    std::size_t failureDomains = 0;
};

/** Returns a user's mix, "peach" or "daugava"; other names give an empty mix. */
WorkloadMix findWorkloadMix(const std::string &name);

/** Returns demand relative to its mean at a time: periods of 10 s, with a peak of 3 s. */
double relativeDemand(RunTime time);

/** Returns whether demand is at its peak. */
bool isPeak(RunTime time);

/**
 * Plans open-loop arrivals.
 *
 * @param load mean demand as a multiple of the long engines' slots.
 * @param slots slots per engine.
 * @param seed equal seeds give equal plans.
 */
std::vector<PlannedCall> planCalls(const WorkloadMix &mix, double load, std::size_t slots,
                                   RunTime duration, std::uint64_t seed);

} // namespace sassafrasyard
