#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sassafrasyard {

/**
 * Returns a digest that identifies a request when its caller sends it again.
 *
 * A request without a body gets a shared digest, because different requests may look the same.
 */
std::uint64_t makeRequestDigest(std::string_view account, std::string_view target,
                                std::string_view body);

/** Returns a digest that identifies a part of prompts; it differs from those of requests. */
std::uint64_t makePartDigest(std::uint64_t part);

/** Returns whether a digest identifies a part of prompts. */
bool isPartDigest(std::uint64_t digest);

/** Returns whether different requests may have this digest. */
bool isSharedDigest(std::uint64_t requestDigest);

/** Formats a request digest for logs as 16 hexadecimal digits. */
std::string digestText(std::uint64_t requestDigest);
/** Formats digests for logs, separated by commas. */
std::string digestListText(std::span<const std::uint64_t> digests);

} // namespace sassafrasyard
