#include "tokenevent.h"

#include <charconv>

namespace sassafrasyard {

namespace {

constexpr std::uint64_t seedModulus = 1000;

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

/** Returns the text after the first occurrence of a marker; empty if there is none. */
std::string_view textAfter(std::string_view text, std::string_view marker)
{
    const std::size_t begin = text.find(marker);
    return begin == std::string_view::npos ? std::string_view()
                                           : text.substr(begin + marker.size());
}

} // namespace

std::optional<TokenEvent> parseTokenEvent(std::string_view data)
{
    const auto index = parseNumber<std::uint64_t>(textAfter(data, "\"index\":"));
    std::string_view text = textAfter(data, "\"text\":\"");
    if (text.empty())
        text = textAfter(data, "\"token\":\"");
    if (!index || text.empty())
        return std::nullopt;
    text = text.substr(0, text.find('"'));
    TokenEvent event;
    event.index = *index;
    event.text = std::string(text.substr(0, text.find('@')));
    event.producedAt = parseNumber<std::int64_t>(textAfter(text, "@"));
    event.receivedAt = parseNumber<std::int64_t>(textAfter(text, "/"));
    return event;
}

std::string expectedToken(std::uint64_t seed, std::uint64_t index)
{
    return " w" + std::to_string(seed % seedModulus) + "." + std::to_string(index);
}

} // namespace sassafrasyard
