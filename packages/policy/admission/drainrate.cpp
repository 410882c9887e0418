#include "policy/admission/drainrate.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double decayMilliseconds = 2000.0;
constexpr double priorMilliseconds = 250.0;
/** Saturated time that counts as evidence when no request has ended yet. */
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
    if (this->meanHeldMilliseconds == 0.0) {
        if (this->saturatedMilliseconds < evidenceMilliseconds)
            return std::nullopt;
        return this->placed / this->saturatedMilliseconds * millisecondsPerSecond;
    }
    const double prior = static_cast<double>(running) / this->meanHeldMilliseconds;
    return (this->placed + prior * priorMilliseconds)
            / (this->saturatedMilliseconds + priorMilliseconds) * millisecondsPerSecond;
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
