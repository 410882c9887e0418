#include "policy/admission/waitprediction.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr Milliseconds defaultRetryAfter{1000};
constexpr Milliseconds minimumRetryAfter{100};
constexpr Milliseconds maximumRetryAfter{30'000};
constexpr double millisecondsPerSecond = 1000.0;
constexpr double minimumRate = 1e-6;
/**
 * The backlog may exceed the requests that drain in the permitted wait by this factor, so that
 * noise in the measured rate does not refuse requests that were just admitted.
 */
constexpr double backlogTolerance = 1.25;
/**
 * A request is admitted if its predicted wait is at most this share of the permitted wait. The rate
 * is noisy; without this margin many admitted requests would be refused at the deadline.
 */
constexpr double admittedWaitShare = 0.5;

} // namespace

WaitPrediction::WaitPrediction(std::optional<double> rate, Milliseconds permittedWait)
    : rate(rate)
    , permittedMilliseconds(static_cast<double>(permittedWait.count()))
{
}

bool WaitPrediction::isWaitTooLong(double ahead) const
{
    return this->rate
            && (ahead + 1.0) * millisecondsPerSecond
            > admittedWaitShare * this->permittedMilliseconds * *this->rate;
}

bool WaitPrediction::isBacklogTooLong(std::size_t waiting) const
{
    if (!this->rate)
        return false;
    const double drainedInTime = *this->rate * this->permittedMilliseconds / millisecondsPerSecond;
    return static_cast<double>(waiting) > 1.0 + backlogTolerance * drainedInTime;
}

Milliseconds WaitPrediction::retryAfter(std::size_t waiting, std::uint64_t jitterSeed) const
{
    Milliseconds after = defaultRetryAfter;
    if (this->rate) {
        const double wait = (static_cast<double>(waiting) + 1.0) * millisecondsPerSecond
                / std::max(minimumRate, *this->rate);
        const double limit = static_cast<double>(maximumRetryAfter.count());
        after = Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(wait, limit))));
    }
    after = std::max(after, minimumRetryAfter);
    const auto jitterStep = static_cast<std::int64_t>(jitterSeed * 0x9e3779b97f4a7c15ULL >> 56);
    return after * 3 / 4 + after * jitterStep / 510;
}

} // namespace sassafrasyard
