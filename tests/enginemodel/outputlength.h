#pragma once

#include <cstdint>
#include <string_view>

namespace sassafrasyard {

/**
 * Returns the natural output length of a generation: log-normal with a Pareto tail.
 *
 * @param seed the request's sampling seed.
 * @param prompt the prompt; equal seeds and prompts give equal lengths.
 * @return the length in tokens, at least 1.
 */
std::uint32_t tailOutputLength(std::uint64_t seed, std::string_view prompt);

} // namespace sassafrasyard
