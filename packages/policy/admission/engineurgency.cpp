#include "policy/admission/engineurgency.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

constexpr int urgencyInProgress = 1;
constexpr int firstNewUrgency = 3;
constexpr int leastUrgency = 9;

} // namespace

std::uint8_t engineUrgency(int rank, bool isInProgress)
{
    if (isInProgress)
        return urgencyInProgress;
    const int bounded = std::clamp(rank, 0, leastUrgency - firstNewUrgency);
    return static_cast<std::uint8_t>(firstNewUrgency + bounded);
}

} // namespace sassafrasyard
