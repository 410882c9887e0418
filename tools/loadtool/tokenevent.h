#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** A token event of an entry host or of an engine. */
struct TokenEvent
{
    /** The token's index. */
    std::uint64_t index = 0;
    /** The token's text without the stamps. */
    std::string text;
    /** When the engine produced it, in microseconds of the steady clock, if it stamps. */
    std::optional<std::int64_t> producedAt;
    /** When the engine received the request, for the first token, if it stamps. */
    std::optional<std::int64_t> receivedAt;
};

/** Reads a token event's data. @return nothing if it holds no token. */
std::optional<TokenEvent> parseTokenEvent(std::string_view data);

/** Returns the text of a token of the stand-in engine. */
std::string expectedToken(std::uint64_t seed, std::uint64_t index);

} // namespace sassafrasyard
