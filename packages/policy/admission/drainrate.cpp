#include "policy/admission/drainrate.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double decayMilliseconds = 2000.0;
/** Saturated time from which the observed placements alone decide. */
constexpr double evidenceMilliseconds = 400.0;
constexpr double heldShare = 0.1;
constexpr double millisecondsPerSecond = 1000.0;

} // namespace

void DrainRate::recordBlocked(Milliseconds now)
{
    this->accumulate(now);
    this->isSaturated = true;
}

void DrainRate::recordPlaced(bool isRelieved, Milliseconds now)
{
    this->accumulate(now);
    if (this->isSaturated)
        this->placed += 1.0;
    if (isRelieved)
        this->isSaturated = false;
}

void DrainRate::recordRelieved(Milliseconds now)
{
    this->accumulate(now);
    this->isSaturated = false;
}

void DrainRate::recordFinished(Milliseconds held)
{
    const double value = std::max(1.0, static_cast<double>(held.count()));
    if (this->meanHeldMilliseconds == 0.0)
        this->meanHeldMilliseconds = value;
    this->meanHeldMilliseconds += heldShare * (value - this->meanHeldMilliseconds);
}

std::optional<double> DrainRate::perSecond(std::size_t running, Milliseconds now)
{
    this->accumulate(now);
    const double lacking = std::max(0.0, evidenceMilliseconds - this->saturatedMilliseconds);
    double expected = 0.0;
    if (lacking > 0.0) {
        if (this->meanHeldMilliseconds == 0.0)
            return std::nullopt;
        expected = lacking * static_cast<double>(running) / this->meanHeldMilliseconds;
    }
    return (this->placed + expected) / (this->saturatedMilliseconds + lacking)
            * millisecondsPerSecond;
}

void DrainRate::accumulate(Milliseconds now)
{
    const auto elapsed =
            static_cast<double>(std::max(Milliseconds(0), now - this->lastUpdate).count());
    this->lastUpdate = std::max(now, this->lastUpdate);
    if (elapsed == 0.0)
        return;
    const double kept = std::exp(-elapsed / decayMilliseconds);
    this->placed *= kept;
    this->saturatedMilliseconds *= kept;
    if (this->isSaturated)
        this->saturatedMilliseconds += std::min(elapsed, decayMilliseconds);
}

} // namespace sassafrasyard
