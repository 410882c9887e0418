#pragma once

#include "core/core.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace sassafrasyard {

/**
 * Identifies a caller's stream across hosts and across the calls that resume it.
 *
 * It is a digest, so that it has a fixed size and reveals neither the account nor the identifiers
 * that a caller chose.
 */
struct RunKey
{
    /** The first 64 bits of the digest. */
    std::uint64_t high = 0;
    /** The next 64 bits of the digest. */
    std::uint64_t low = 0;

    /**
     * Returns the key of a stream: SHA-256 of the account and the identifier, truncated to 128
     * bits.
     *
     * @param account of the caller; empty for calls without a key. Callers of other accounts that
     *     use the same identifier have other keys.
     * @param requestId the `Request-Id` of the call that brought the first event of the stream.
     */
    static RunKey of(const ClientAccountName &account, std::string_view requestId);

    /** Orders keys by their digests. */
    auto operator<=>(const RunKey &) const = default;
};

} // namespace sassafrasyard
