#pragma once

#include "scenarios/runner/streamcaller.h"

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** Returns the stand-in engine's token text for a seed and an index. */
std::string expectedToken(std::uint64_t seed, std::uint64_t index);

/**
 * Checks that the tokens begin at index 0, come once and in order, have the expected texts and are
 * from one generation of one engine.
 *
 * @return an empty text, or the first fault.
 */
std::string findTokenFault(const StreamRecord &record, std::uint64_t seed);

} // namespace sassafrasyard
