#include "policy/admission/costestimator.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** Expected output of an account without completed requests, in tokens. */
constexpr double defaultOutput = 512.0;
constexpr double sampleWeight = 0.1;

} // namespace

double CostEstimator::estimate(const WorkRequest &request) const
{
    const auto known = this->meanOutput.find(request.account);
    double output = known == this->meanOutput.end() ? defaultOutput : known->second;
    if (request.maximumTokens > 0)
        output = std::min(output, static_cast<double>(request.maximumTokens));
    return 1.0 + request.promptTokens + output;
}

double CostEstimator::actual(const WorkRequest &request, std::uint32_t outputTokens)
{
    return 1.0 + request.promptTokens + outputTokens;
}

void CostEstimator::recordCompleted(const WorkRequest &request, std::uint32_t outputTokens)
{
    double &mean = this->meanOutput.try_emplace(request.account, defaultOutput).first->second;
    mean += sampleWeight * (outputTokens - mean);
}

} // namespace sassafrasyard
