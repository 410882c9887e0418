#include "entry/peers/peerrotation.h"

#include <algorithm>

namespace sassafrasyard {

PeerRotation::PeerRotation(std::uint64_t start)
    : next(start)
{
}

std::vector<std::string> PeerRotation::take(std::span<const std::string> peers, std::size_t limit)
{
    std::vector<std::string> chosen;
    const std::size_t count = std::min(limit, peers.size());
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(peers[this->next++ % peers.size()]);
    return chosen;
}

void PeerRotation::rewind(std::size_t count)
{
    this->next -= count;
}

} // namespace sassafrasyard
