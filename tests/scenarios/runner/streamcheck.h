#pragma once

#include "scenarios/runner/streamcaller.h"

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** Returns the stand-in engine's token text for a seed and an index. */
std::string expectedToken(std::uint64_t seed, std::uint64_t index);

/**
 * Checks that the token indexes count up from 0 without gaps or repetitions, that the texts are
 * those of the seed, and that all tokens come from one generation of one engine.
 *
 * @return a description of the first error, or an empty text.
 */
std::string findTokenFault(const StreamRecord &record, std::uint64_t seed);

} // namespace sassafrasyard
