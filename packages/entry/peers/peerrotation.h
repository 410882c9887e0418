#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Selects peers in round-robin order.
 *
 * Hosts start at different places of the list, which is the same on all of them. With equal starts
 * all would send to the same peers at a time, and an update would take a whole round to reach the
 * last.
 */
class PeerRotation
{
public:
    /** Creates a rotation. @param start the first index, modulo the peers; differs per host. */
    explicit PeerRotation(std::uint64_t start);

    /** Returns the next peers, at most limit and each once. @param peers in a stable order. */
    std::vector<std::string> take(std::span<const std::string> peers, std::size_t limit);
    /** Moves back by the given number of peers, so that the next take() returns these again. */
    void rewind(std::size_t count);

private:
    std::uint64_t next;
};

} // namespace sassafrasyard
