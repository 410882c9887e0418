#include "policy/admission/departurereserve.h"

#include <algorithm>

namespace sassafrasyard {

void DepartureReserve::recordDeparture(double memoryTokens, Milliseconds now)
{
    if (this->groups.empty() || now - this->groups.back().startedAt >= groupTime)
        this->groups.push_back({now, 0.0});
    this->groups.back().memoryTokens += memoryTokens;
}

double DepartureReserve::share(double remainingTokens, Milliseconds now)
{
    while (!this->groups.empty() && now - this->groups.front().startedAt >= retention)
        this->groups.pop_front();
    double largest = 0.0;
    for (const Group &group : this->groups)
        largest = std::max(largest, group.memoryTokens);
    if (largest <= 0.0)
        return 0.0;
    return std::min(maximumShare, largest / std::max(1.0, largest + remainingTokens));
}

} // namespace sassafrasyard
