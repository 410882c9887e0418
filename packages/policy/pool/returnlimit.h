#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>

namespace sassafrasyard {

/**
 * Returns how many requests one host may have on a server that returned a time ago, or nothing if
 * there is no limit any more.
 *
 * Answers the load of an evacuated failure domain that returns: its servers are idle, so all hosts
 * would choose them at once.
 *
 * @param sinceReturn in milliseconds; a negative time counts as 0.
 */
std::optional<std::uint32_t> returnLimit(Milliseconds sinceReturn);

} // namespace sassafrasyard
