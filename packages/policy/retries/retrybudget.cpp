#include "policy/retries/retrybudget.h"

namespace sassafrasyard {

namespace {

constexpr std::int64_t millisecondsPerSlot = 1000;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options(options)
{
}

void RetryBudget::recordFirstAttempt(Milliseconds now)
{
    ++this->slotFor(now).firstAttempts;
}

bool RetryBudget::tryRetry(Milliseconds now)
{
    TimeSlot &current = this->slotFor(now);
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    for (const TimeSlot &timeSlot : this->slots) {
        if (timeSlot.second < 0
            || timeSlot.second + static_cast<std::int64_t>(slotCount) <= current.second)
            continue;
        firstAttempts += timeSlot.firstAttempts;
        retries += timeSlot.retries;
    }
    const double permitted = this->options.share * static_cast<double>(firstAttempts)
            + static_cast<double>(this->options.floor);
    if (static_cast<double>(retries + 1) > permitted)
        return false;
    ++current.retries;
    return true;
}

RetryBudget::TimeSlot &RetryBudget::slotFor(Milliseconds now)
{
    const std::int64_t second = now.count() / millisecondsPerSlot;
    TimeSlot &timeSlot = this->slots[static_cast<std::size_t>(second) % slotCount];
    if (timeSlot.second != second)
        timeSlot = {second, 0, 0};
    return timeSlot;
}

} // namespace sassafrasyard
