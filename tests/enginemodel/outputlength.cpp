#include "enginemodel/outputlength.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace sassafrasyard {

namespace {

constexpr double bodyMedianTokens = 150.0;
constexpr double bodySigma = 0.9;
constexpr double tailShare = 0.04;
constexpr double tailMinimumTokens = 800.0;
constexpr double tailExponent = 1.2;
constexpr double maximumTokens = 20000.0;

/** FNV-1a is used because std::hash differs between standard libraries. */
std::uint64_t fnv1aHash(std::string_view text)
{
    std::uint64_t digest = 0xCBF29CE484222325ULL;
    for (const char character : text) {
        digest ^= static_cast<unsigned char>(character);
        digest *= 0x100000001B3ULL;
    }
    return digest;
}

} // namespace

std::uint32_t tailOutputLength(std::uint64_t seed, std::string_view prompt)
{
    RandomSource random(seed ^ fnv1aHash(prompt));
    const bool isTail = random.unit() < tailShare;
    const double first = 1.0 - random.unit();
    const double second = random.unit();
    double tokens = 0.0;
    if (isTail) {
        tokens = tailMinimumTokens * std::pow(first, -1.0 / tailExponent);
    } else {
        const double normal =
                std::sqrt(-2.0 * std::log(first)) * std::cos(2.0 * std::numbers::pi * second);
        tokens = bodyMedianTokens * std::exp(bodySigma * normal);
    }
    return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, maximumTokens));
}

} // namespace sassafrasyard
