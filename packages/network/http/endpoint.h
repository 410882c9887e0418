#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** An IP address and a port. */
struct Endpoint
{
    /** The address as a number, such as "127.0.0.1". */
    std::string address;
    /** The TCP port. */
    std::uint16_t port = 0;

    /** Returns "address:port". */
    std::string toString() const;

    /** Compares address and port. */
    bool operator==(const Endpoint &) const = default;
};

/**
 * Parses "address:port".
 *
 * @param text the text, with an IPv4 number or an IPv6 number in brackets.
 * @param reason receives InvalidRequest if the text is malformed.
 */
std::optional<Endpoint> parseEndpoint(std::string_view text, Error &reason);

} // namespace sassafrasyard
