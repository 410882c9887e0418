#include "policy/load/cacheturnover.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sassafrasyard {

namespace {

/** The time constant of the average; a host sends a few prompts a second. */
constexpr Milliseconds averagingTime{5000};

double decay(Milliseconds time)
{
    const std::chrono::duration<double> elapsed = std::max(Milliseconds(0), time);
    return std::exp(-elapsed / std::chrono::duration<double>(averagingTime));
}

} // namespace

void CacheTurnover::recordPrompt(std::uint32_t tokens, Milliseconds now)
{
    this->recentTokens = this->recentTokens * decay(now - this->updatedAt) + tokens;
    this->updatedAt = std::max(now, this->updatedAt);
}

bool CacheTurnover::isKept(Milliseconds age, double freeTokens, std::size_t hostCount,
                           std::size_t engineCount, Milliseconds now) const
{
    if (freeTokens <= 0.0)
        return false;
    const double perEngine = this->tokensPerSecond(now) * static_cast<double>(hostCount)
            / static_cast<double>(std::max<std::size_t>(engineCount, 1));
    return std::chrono::duration<double>(age).count() * perEngine <= freeTokens;
}

double CacheTurnover::tokensPerSecond(Milliseconds now) const
{
    return this->recentTokens * decay(now - this->updatedAt)
            / std::chrono::duration<double>(averagingTime).count();
}

} // namespace sassafrasyard
