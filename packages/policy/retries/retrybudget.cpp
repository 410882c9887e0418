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
    Slot &current = this->slotFor(now);
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    for (const Slot &slot : this->slots) {
        if (slot.second < 0 || slot.second + static_cast<std::int64_t>(slotCount) <= current.second)
            continue;
        firstAttempts += slot.firstAttempts;
        retries += slot.retries;
    }
    const double permitted = this->options.share * static_cast<double>(firstAttempts)
            + static_cast<double>(this->options.floor);
    if (static_cast<double>(retries + 1) > permitted)
        return false;
    ++current.retries;
    return true;
}

RetryBudget::Slot &RetryBudget::slotFor(Milliseconds now)
{
    const std::int64_t second = now.count() / millisecondsPerSlot;
    Slot &slot = this->slots[static_cast<std::size_t>(second) % slotCount];
    if (slot.second != second)
        slot = {second, 0, 0};
    return slot;
}

} // namespace sassafrasyard
