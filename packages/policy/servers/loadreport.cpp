#include "policy/servers/loadreport.h"

#include <algorithm>

namespace sassafrasyard {

void keepLargest(PeerLoadDigest &digest, std::size_t limit)
{
    auto &entries = digest.entries;
    if (entries.size() > limit) {
        std::sort(entries.begin(), entries.end(),
                  [](const PeerLoadEntry &left, const PeerLoadEntry &right) {
                      return left.running != right.running ? left.running > right.running
                                                           : left.server < right.server;
                  });
        entries.resize(limit);
    }
    std::sort(entries.begin(), entries.end(),
              [](const PeerLoadEntry &left, const PeerLoadEntry &right) {
                  return left.server < right.server;
              });
}

} // namespace sassafrasyard
