#include "policy/limits/callallowance.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace sassafrasyard {

namespace {

/** The longest wait that is stated; without a rate the next call is never permitted. */
constexpr Milliseconds maximumWait{60000};

double toSeconds(Milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

CallAllowance::CallAllowance(Milliseconds now)
    : refilledAt(now)
{
}

void CallAllowance::setRate(double newRate, double reserve, Milliseconds now)
{
    assert(newRate >= 0.0);
    this->refill(now);
    this->rate = newRate;
    this->burst = std::max({minimumBurst, reserve, newRate * toSeconds(burstTime)});
    this->available = std::min(this->available, this->burst);
}

void CallAllowance::fill(double share)
{
    this->available = share * this->burst;
}

bool CallAllowance::tryTake(bool isUrgent, Milliseconds now)
{
    this->refill(now);
    const double needed = isUrgent ? 1.0 - urgentDebt : 1.0;
    if (this->available < needed)
        return false;
    this->available -= 1.0;
    return true;
}

Milliseconds CallAllowance::timeUntilNext(Milliseconds now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    this->refill(now);
    if (this->available >= 1.0)
        return Milliseconds(0);
    if (this->rate <= 0.0)
        return maximumWait;
    const double wait = (1.0 - this->available) / this->rate * millisecondsPerSecond;
    return std::min(maximumWait, Milliseconds(static_cast<std::int64_t>(std::ceil(wait))));
}

void CallAllowance::refill(Milliseconds now)
{
    if (now <= this->refilledAt)
        return;
    const double gained = this->rate * toSeconds(now - this->refilledAt);
    this->available = std::min(this->burst, this->available + gained);
    this->refilledAt = now;
}

} // namespace sassafrasyard
