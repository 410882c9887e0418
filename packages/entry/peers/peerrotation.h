#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Chooses peers in turn.
 *
 * Hosts start at different places of the list, which is the same on all of them. With equal starts
 * all would tell the same peers at a time, and news would take a whole round to reach the last.
 */
class PeerRotation
{
public:
    /** Creates a rotation. @param start differs between hosts. */
    explicit PeerRotation(std::uint64_t start);

    /** Returns the next peers, up to the limit and each once. @param peers in the same order. */
    std::vector<std::string> take(std::span<const std::string> peers, std::size_t limit);
    /** Puts the last of the peers that were taken back at the front. */
    void rewind(std::size_t count);

private:
    std::uint64_t next;
};

} // namespace sassafrasyard
