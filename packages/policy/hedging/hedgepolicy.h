#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <optional>

namespace sassafrasyard {

/** When a second attempt is worthwhile. */
struct HedgeOptions
{
    /** The part of first tokens that arrives before a hedge is considered, 0 to 1. */
    double quantile = 0.95;
    /** Hedges per first attempt. */
    double share = 0.02;
    /** Hedges that may be saved up. */
    double burst = 5.0;
    /** First tokens that must have been seen. */
    double minimumSamples = 50.0;
    /** No hedge is made earlier than this, in milliseconds. */
    Milliseconds minimumDelay{50};
};

/** An attempt that might be hedged. */
struct HedgeQuery
{
    /** Whether the request may run twice. */
    bool isIdempotent = false;
    /** Whether anything of its output arrived. */
    bool hasOutput = false;
    /** Whether it has been hedged already, or is itself a further attempt. */
    bool isFurtherAttempt = false;
    /** Whether other requests wait for the same servers. */
    bool isSaturated = false;
    /** Time since it was sent, in milliseconds. */
    Milliseconds elapsed{0};
};

/** Decides when a request that has delivered nothing is worth a second attempt. */
class HedgePolicy
{
public:
    /** Creates a policy without samples. */
    explicit HedgePolicy(HedgeOptions options = {});

    /** Records a first attempt, which adds to the budget. */
    void recordFirstAttempt();
    /** Records the time from sending to the first token. */
    void recordFirstToken(Milliseconds elapsed);
    /** Returns the time after which a hedge is worthwhile, or nothing without enough samples. */
    std::optional<Milliseconds> delay() const;
    /** Takes a hedge from the budget. @return whether to start a second attempt now. */
    bool tryHedge(const HedgeQuery &query);

private:
    static constexpr std::size_t bucketCount = 64;

    HedgeOptions options;
    std::array<double, bucketCount> samples{};
    double sampleCount = 0.0;
    double budget = 0.0;
};

} // namespace sassafrasyard
