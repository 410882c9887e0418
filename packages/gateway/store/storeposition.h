#pragma once

#include <cstdint>
#include <string>

namespace sassafrasyard {

/**
 * A position in the history of the store, made of its era and a revision.
 *
 * The era rises each time the store is restored from an older copy. Revisions are given out again
 * then, so only positions can be compared: those after a restore are greater than all before it.
 */
namespace storeposition {

/** The number of low bits that hold the revision. */
constexpr unsigned revisionBits = 48;

/** Returns the position of a revision in an era; era 0 is a store that does not state its era. */
constexpr std::uint64_t make(std::uint64_t era, std::uint64_t revision)
{
    constexpr std::uint64_t mask = (1ULL << revisionBits) - 1;
    return (era << revisionBits) | (revision & mask);
}

/** Returns the era of a position. */
constexpr std::uint64_t eraOf(std::uint64_t position)
{
    return position >> revisionBits;
}

/** Returns the revision of a position, as the store gave it out. */
constexpr std::uint64_t revisionOf(std::uint64_t position)
{
    return make(0, position);
}

/**
 * Returns the name under which hosts read a kind from each other.
 *
 * Hosts of builds that read bare revisions use the kind itself, so the two don't mix.
 */
inline std::string mirrorName(const std::string &kind)
{
    return kind + "@positions";
}

/** Formats a position for logs as ERA/REVISION. */
inline std::string text(std::uint64_t position)
{
    return std::to_string(eraOf(position)) + "/" + std::to_string(revisionOf(position));
}

} // namespace storeposition

} // namespace sassafrasyard
