#pragma once

#include "policy/work/workrequest.h"

#include <cstdint>
#include <unordered_map>

namespace sassafrasyard {

/** Estimates the cost of requests in tokens from the average output of their accounts. */
class CostEstimator
{
public:
    /** Returns the estimated cost of a request, in tokens; at least 1. */
    double estimate(const WorkRequest &request) const;
    /** Returns the cost of a request that produced the given output, in tokens. */
    static double actual(const WorkRequest &request, std::uint32_t outputTokens);
    /** Records the output of a completed request, in tokens. */
    void recordCompleted(const WorkRequest &request, std::uint32_t outputTokens);

private:
    std::unordered_map<ClientAccountName, double> meanOutput;
};

} // namespace sassafrasyard
