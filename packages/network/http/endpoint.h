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
    /** The numeric IPv4 or IPv6 address, such as "127.0.0.1"; never a host name. */
    std::string address;
    /** The TCP port. */
    std::uint16_t port = 0;

    /** Returns "address:port", an IPv6 address in brackets. */
    std::string toString() const;

    /** Compares the address text and the port. */
    bool operator==(const Endpoint &) const = default;
};

/**
 * Parses "address:port".
 *
 * @param text a numeric IPv4 address, or an IPv6 address in brackets, and a port.
 * @param reason receives InvalidRequest if the text is malformed.
 */
std::optional<Endpoint> parseEndpoint(std::string_view text, Error &reason);

} // namespace sassafrasyard
