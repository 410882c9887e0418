#include "policy/admission/engineurgency.h"

namespace sassafrasyard {

namespace {

/** The default of engines is 5. */
constexpr std::uint8_t urgencyInProgress = 3;

} // namespace

std::optional<std::uint8_t> engineUrgency(bool isInProgress)
{
    return isInProgress ? std::optional(urgencyInProgress) : std::nullopt;
}

} // namespace sassafrasyard
