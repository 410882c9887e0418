#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** A chain of SHA-256 digests over the delivered tokens, cut to 128 bits. */
class RollingDigest
{
public:
    /** Creates the digest of no token. */
    RollingDigest() = default;
    /** Continues from a digest in hexadecimal digits; a malformed text gives the empty digest. */
    static RollingDigest fromHex(std::string_view hex);

    /** Adds a token. */
    void append(std::string_view token);
    /** Returns the digest as 32 hexadecimal digits. */
    std::string toHex() const;

private:
    std::array<unsigned char, 16> bytes{};
};

/** Where a caller's stream stands: everything that another entry host needs to continue it. */
struct StreamPosition
{
    /** The generation on the engine. */
    GenerationName generation;
    /** The engine. */
    BackendServerName server;
    /** The engine's "IP:port", for resuming after the engine was taken out of the configuration. */
    std::string address;
    /** The index of the last delivered token. */
    std::uint64_t index = 0;
    /** The digest of all delivered tokens, in hexadecimal digits. */
    std::string digest;
};

/** What a position is bound to besides its own fields. */
struct PositionBinding
{
    /** The client account. */
    ClientAccountName account;
    /** The digest of the request body. */
    std::string bodyDigest;
};

/** Writes and checks stream positions; a changed or foreign position is refused. */
class PositionCodec
{
public:
    /** Creates a codec. @param secret shared by all entry hosts. */
    explicit PositionCodec(std::string_view secret);

    /** Returns the position as the text of an event identifier. */
    std::string encode(const StreamPosition &position, const PositionBinding &binding) const;

    /** Reads a position. @param reason receives InvalidPosition. */
    std::optional<StreamPosition> decode(std::string_view text, const PositionBinding &binding,
                                         Error &reason) const;

    /** Returns the HMAC-SHA-256 of a text, cut to 96 bits, as 24 hexadecimal digits. */
    std::string authenticationCode(std::string_view text) const;

private:
    std::string innerKey;
    std::string outerKey;
};

} // namespace sassafrasyard
