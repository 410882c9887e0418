#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** A chained SHA-256 digest of the delivered tokens, truncated to 128 bits. */
class RollingDigest
{
public:
    /** Creates the digest of an empty sequence. */
    RollingDigest() = default;
    /** Parses a digest from toHex(); malformed text results in the digest of an empty sequence. */
    static RollingDigest fromHex(std::string_view hex);

    /** Adds a token. */
    void append(std::string_view token);
    /** Returns the digest as 32 hexadecimal digits. */
    std::string toHex() const;

private:
    std::array<unsigned char, 16> bytes{};
};

/** The position in a caller's stream; sufficient for any entry host to resume the stream. */
struct StreamPosition
{
    /** The generation on the engine. */
    GenerationName generation;
    /** The engine. */
    BackendServerName server;
    /** The engine's "IP:port", used if the engine is no longer in the configuration. */
    std::string address;
    /** The index of the last delivered token. */
    std::uint64_t index = 0;
    /** The digest of all delivered tokens, in hexadecimal digits. */
    std::string digest;
};

/** The request that a position belongs to; authenticated together with the position. */
struct PositionBinding
{
    /** The client account. */
    ClientAccountName account;
    /** The SHA-256 digest of the request body, in hexadecimal digits. */
    std::string bodyDigest;
};

/** Encodes and authenticates stream positions; modified or foreign positions are rejected. */
class PositionCodec
{
public:
    /** Creates a codec. @param secret shared by all entry hosts. */
    explicit PositionCodec(std::string_view secret);

    /** Returns the position as text for the id field of a server-sent event. */
    std::string encode(const StreamPosition &position, const PositionBinding &binding) const;

    /** Decodes and verifies a position. @param reason receives InvalidPosition. */
    std::optional<StreamPosition> decode(std::string_view text, const PositionBinding &binding,
                                         Error &reason) const;

    /** Returns the HMAC-SHA-256 of a text, truncated to 96 bits, as 24 hexadecimal digits. */
    std::string authenticationCode(std::string_view text) const;

private:
    std::string innerKey;
    std::string outerKey;
};

} // namespace sassafrasyard
