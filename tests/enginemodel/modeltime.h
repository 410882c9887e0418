#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sassafrasyard {

/** Virtual time of an engine model, in microseconds since its start. */
using ModelTime = std::chrono::microseconds;

/** Returns the estimated number of tokens of a text; entry hosts use the same estimate. */
constexpr std::uint32_t estimateTokens(std::size_t characters)
{
    constexpr std::size_t charactersPerToken = 4;
    return static_cast<std::uint32_t>(characters / charactersPerToken + 1);
}

} // namespace sassafrasyard
