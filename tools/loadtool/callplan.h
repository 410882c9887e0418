#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Microseconds since the start of a run. */
using RunTime = std::chrono::microseconds;

/** The kinds of calls in a plan. */
enum class CallKind {
    /** A stream with a long output on the long model. */
    Long,
    /** A short stream on the long model, which competes with long streams ("short behind long"). */
    ShortOnLongModel,
    /** A short stream on the short model ("short at desk" in the printed table). */
    ShortOnShortModel,
    /** An idempotent GET to the plain service. */
    Lookup,
    /** A non-idempotent POST to the plain service. */
    Order,
};

/** One call of the plan. */
struct PlannedCall
{
    /** When the call starts. */
    RunTime arrivesAt{0};
    /** The kind of the call. */
    CallKind kind = CallKind::Long;
    /** The index of the client account. */
    std::size_t account = 0;
    /** The index of the caller's failure domain. */
    std::size_t failureDomain = 0;
    /** Whether demand is at its peak when the call starts. */
    bool isAtPeak = false;
    /** The prompt; for a plain call, the body. */
    std::string prompt;
    /** The sampling seed; for a plain call, the item or order number. */
    std::uint64_t seed = 0;
    /** The limit of the output, in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** The caller closes its connection once after this many tokens and resumes; 0 for never. */
    std::uint32_t disconnectAfterTokens = 0;
};

/** The models, engines and failure domains of a workload. */
struct WorkloadMix
{
    /** The model that serves long streams. */
    std::string longModel;
    /** The model that serves short streams only. */
    std::string shortModel;
    /** The name of the plain service. */
    std::string service;
    /** The number of engines that run the long model. */
    std::size_t longEngines = 0;
    /** The number of engines that run the short model. */
    std::size_t shortEngines = 0;
    /** The number of failure domains over which the callers are spread. */
    std::size_t failureDomains = 0;
};

/** Returns the mix named "peach" or "daugava"; any other name gives an empty mix. */
WorkloadMix findWorkloadMix(const std::string &name);

/** Returns the demand at a time relative to its mean. It has a period of 10 s and a peak of 3 s. */
double relativeDemand(RunTime time);

/** Returns whether demand is at its peak. */
bool isPeak(RunTime time);

/**
 * Plans calls with random arrival times that do not depend on the responses (open loop).
 *
 * @param load the mean demand as a multiple of the slots of all long engines.
 * @param slots the slots of each engine.
 * @param duration the time during which calls arrive.
 * @param seed equal seeds give equal plans.
 */
std::vector<PlannedCall> planCalls(const WorkloadMix &mix, double load, std::size_t slots,
                                   RunTime duration, std::uint64_t seed);

} // namespace sassafrasyard
