#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <optional>

namespace sassafrasyard {

/** Settings of a HedgePolicy. */
struct HedgeOptions
{
    /** The quantile of the time to the first token after which a request is hedged, 0 to 1. */
    double quantile = 0.95;
    /** Hedges added to the budget per first attempt. */
    double share = 0.02;
    /** The maximum and initial budget, in hedges. */
    double burst = 5.0;
    /** Number of recorded first tokens required before any hedge. */
    double minimumSamples = 50.0;
    /** The minimum delay of a hedge, in milliseconds. */
    Milliseconds minimumDelay{50};
};

/** Describes an attempt that might be hedged. */
struct HedgeQuery
{
    /** Whether the request may run twice. */
    bool isIdempotent = false;
    /** Whether it has delivered any output. */
    bool hasOutput = false;
    /** Whether it was hedged before or is itself a retry or a hedge. */
    bool isFurtherAttempt = false;
    /** Whether other requests wait for the same servers. */
    bool isSaturated = false;
    /** Time since it was sent, in milliseconds. */
    Milliseconds elapsed{0};
};

/** Decides when a request without output gets a second attempt (a hedge). */
class HedgePolicy
{
public:
    /** Creates a policy without samples. */
    explicit HedgePolicy(HedgeOptions options = {});

    /** Records a first attempt, which adds to the budget. */
    void recordFirstAttempt();
    /** Records the time from sending to the first token. */
    void recordFirstToken(Milliseconds elapsed);
    /** Returns the time after which a request is hedged, or nothing without enough samples. */
    std::optional<Milliseconds> delay() const;
    /** Charges a hedge to the budget if the attempt qualifies. @return whether to start it now. */
    bool tryHedge(const HedgeQuery &query);

private:
    static constexpr std::size_t bucketCount = 64;

    HedgeOptions options;
    std::array<double, bucketCount> samples{};
    double sampleCount = 0.0;
    double budget = 0.0;
};

} // namespace sassafrasyard
