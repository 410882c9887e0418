#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** A token event as sent by an entry host or an engine. */
struct TokenEvent
{
    /** The index of the token in its stream, from 0. */
    std::uint64_t index = 0;
    /** The text of the token without the timestamps. */
    std::string text;
    /** When the engine produced the token, in microseconds of the steady clock, if given. */
    std::optional<std::int64_t> producedAt;
    /** When the engine received the request, on the same clock; only the first token has it. */
    std::optional<std::int64_t> receivedAt;
};

/** Parses the data of a server-sent event. @return nothing if the event holds no token. */
std::optional<TokenEvent> parseTokenEvent(std::string_view data);

/** Returns the token that the stand-in engine produces for a sampling seed and an index. */
std::string expectedToken(std::uint64_t seed, std::uint64_t index);

} // namespace sassafrasyard
