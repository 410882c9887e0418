#pragma once

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** Returns a request digest as logs show it: 16 hexadecimal digits. */
std::string digestText(std::uint64_t requestDigest);

} // namespace sassafrasyard
