#include "policy/admission/drainrate.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double decayMilliseconds = 2000.0;
/** Saturated time from which on the rate is based on observed placements alone. */
constexpr double sufficientMilliseconds = 400.0;
constexpr double holdTimeWeight = 0.1;
constexpr double millisecondsPerSecond = 1000.0;

} // namespace

void DrainRate::recordBlocked(Milliseconds now)
{
    this->accumulate(now);
    this->isSaturated = true;
}

void DrainRate::recordPlaced(bool isQueueEmpty, Milliseconds now)
{
    this->accumulate(now);
    if (this->isSaturated)
        this->placed += 1.0;
    if (isQueueEmpty)
        this->isSaturated = false;
}

void DrainRate::recordEmpty(Milliseconds now)
{
    this->accumulate(now);
    this->isSaturated = false;
}

void DrainRate::recordFinished(Milliseconds holdTime)
{
    const double value = std::max(1.0, static_cast<double>(holdTime.count()));
    if (this->meanHoldMilliseconds == 0.0)
        this->meanHoldMilliseconds = value;
    this->meanHoldMilliseconds += holdTimeWeight * (value - this->meanHoldMilliseconds);
}

std::optional<double> DrainRate::perSecond(std::size_t running, Milliseconds now)
{
    this->accumulate(now);
    const double missingMilliseconds =
            std::max(0.0, sufficientMilliseconds - this->saturatedMilliseconds);
    double expected = 0.0;
    if (missingMilliseconds > 0.0) {
        if (this->meanHoldMilliseconds == 0.0)
            return std::nullopt;
        expected = missingMilliseconds * static_cast<double>(running) / this->meanHoldMilliseconds;
    }
    return (this->placed + expected) / (this->saturatedMilliseconds + missingMilliseconds)
            * millisecondsPerSecond;
}

void DrainRate::accumulate(Milliseconds now)
{
    const auto elapsed =
            static_cast<double>(std::max(Milliseconds(0), now - this->lastUpdate).count());
    this->lastUpdate = std::max(now, this->lastUpdate);
    if (elapsed == 0.0)
        return;
    const double decayFactor = std::exp(-elapsed / decayMilliseconds);
    this->placed *= decayFactor;
    this->saturatedMilliseconds *= decayFactor;
    if (this->isSaturated)
        this->saturatedMilliseconds += std::min(elapsed, decayMilliseconds);
}

} // namespace sassafrasyard
