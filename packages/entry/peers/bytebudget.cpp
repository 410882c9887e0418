#include "entry/peers/bytebudget.h"

#include <algorithm>

namespace sassafrasyard {

ByteBudget::ByteBudget(double bytesPerSecond)
    : bytesPerSecond(bytesPerSecond)
    , left(bytesPerSecond)
{
}

std::size_t ByteBudget::take(std::size_t wanted, std::size_t messageBytes, Milliseconds now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const auto elapsed = static_cast<double>((now - this->filledAt).count());
    this->filledAt = now;
    this->left = std::min(this->bytesPerSecond,
                          this->left + this->bytesPerSecond * elapsed / millisecondsPerSecond);
    const auto bytes = static_cast<double>(std::max<std::size_t>(messageBytes, 1));
    const std::size_t permitted = std::min(wanted, static_cast<std::size_t>(this->left / bytes));
    this->left -= static_cast<double>(permitted) * bytes;
    return permitted;
}

} // namespace sassafrasyard
