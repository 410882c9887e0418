#include "policy/pool/returnlimit.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** Prompts are read in some hundred milliseconds, so a step shows in the load before the next. */
constexpr Milliseconds stepTime{500};
constexpr std::int64_t stepCount = 4;

} // namespace

std::optional<std::uint32_t> returnLimit(Milliseconds sinceReturn)
{
    const std::int64_t step = std::max(Milliseconds(0), sinceReturn) / stepTime;
    if (step >= stepCount)
        return std::nullopt;
    return std::uint32_t{1} << static_cast<std::uint32_t>(step);
}

} // namespace sassafrasyard
