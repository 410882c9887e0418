#include "policy/hedging/hedgepolicy.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double bucketGrowth = 1.25;
/** At this number of samples all counts are halved, which reduces the weight of old samples. */
constexpr double maximumSampleCount = 2000.0;

std::size_t bucketFor(Milliseconds elapsed, std::size_t count)
{
    const double value = std::max(1.0, static_cast<double>(elapsed.count()));
    const auto bucket =
            static_cast<std::size_t>(std::ceil(std::log(value) / std::log(bucketGrowth)));
    return std::min(bucket, count - 1);
}

} // namespace

HedgePolicy::HedgePolicy(HedgeOptions options)
    : options(options)
    , budget(options.burst)
{
}

void HedgePolicy::recordFirstAttempt()
{
    this->budget = std::min(this->options.burst, this->budget + this->options.share);
}

void HedgePolicy::recordFirstToken(Milliseconds elapsed)
{
    this->samples[bucketFor(elapsed, bucketCount)] += 1.0;
    this->sampleCount += 1.0;
    if (this->sampleCount < maximumSampleCount)
        return;
    for (double &sample : this->samples)
        sample /= 2.0;
    this->sampleCount /= 2.0;
}

std::optional<Milliseconds> HedgePolicy::delay() const
{
    if (this->sampleCount < this->options.minimumSamples)
        return std::nullopt;
    double cumulated = 0.0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount) {
        cumulated += this->samples[bucket];
        if (cumulated >= this->options.quantile * this->sampleCount)
            break;
        ++bucket;
    }
    const double upperBound = std::ceil(std::pow(bucketGrowth, static_cast<double>(bucket)));
    return std::max(this->options.minimumDelay,
                    Milliseconds(static_cast<std::int64_t>(upperBound)));
}

bool HedgePolicy::tryHedge(const HedgeQuery &query)
{
    if (!query.isIdempotent || query.hasOutput || query.isFurtherAttempt || query.isSaturated)
        return false;
    const auto after = this->delay();
    if (!after || query.elapsed < *after || this->budget < 1.0)
        return false;
    this->budget -= 1.0;
    return true;
}

} // namespace sassafrasyard
