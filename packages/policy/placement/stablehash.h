#pragma once

#include <cstdint>
#include <string_view>

namespace sassafrasyard {

/** Mixes the bits of a number; the result is the same on every host and in every build. */
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/** Hashes a text (FNV-1a, then mixed); the result is the same on every host and in every build. */
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
    return mixBits(hash);
}

/** Combines two hashes; the result depends on their order. */
constexpr std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    return mixBits(first * 0x9E3779B97F4A7C15ULL + second);
}

} // namespace sassafrasyard
