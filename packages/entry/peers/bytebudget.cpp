#include "entry/peers/bytebudget.h"

#include <algorithm>

namespace sassafrasyard {

ByteBudget::ByteBudget(double bytesPerSecond)
    : bytesPerSecond(bytesPerSecond)
    , availableBytes(bytesPerSecond)
{
}

std::size_t ByteBudget::take(std::size_t requestedCount, std::size_t messageBytes, Milliseconds now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const auto elapsed = static_cast<double>((now - this->refilledAt).count());
    this->refilledAt = now;
    this->availableBytes =
            std::min(this->bytesPerSecond,
                     this->availableBytes + this->bytesPerSecond * elapsed / millisecondsPerSecond);
    const auto bytes = static_cast<double>(std::max<std::size_t>(messageBytes, 1));
    const std::size_t permittedCount =
            std::min(requestedCount, static_cast<std::size_t>(this->availableBytes / bytes));
    this->availableBytes -= static_cast<double>(permittedCount) * bytes;
    return permittedCount;
}

} // namespace sassafrasyard
