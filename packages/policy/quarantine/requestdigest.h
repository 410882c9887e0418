#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sassafrasyard {

/**
 * Returns the digest by which a request is known again when its caller sends it once more.
 *
 * A request without a body has a shared digest, because other requests look the same.
 */
std::uint64_t makeRequestDigest(std::string_view account, std::string_view target,
                                std::string_view body);

/** Returns whether requests that are not the same may have this digest. */
bool isSharedDigest(std::uint64_t requestDigest);

/** Returns a request digest as logs show it: 16 hexadecimal digits. */
std::string digestText(std::uint64_t requestDigest);

} // namespace sassafrasyard
