#include "tokenevent.h"

#include <charconv>

namespace sassafrasyard {

namespace {

constexpr std::uint64_t seedModulus = 1000;

template <typename Number>
std::optional<Number> numberAt(std::string_view text)
{
    Number value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

/** Returns what follows a mark, or an empty text. */
std::string_view after(std::string_view text, std::string_view mark)
{
    const std::size_t begin = text.find(mark);
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin + mark.size());
}

} // namespace

std::optional<TokenEvent> parseTokenEvent(std::string_view data)
{
    const auto index = numberAt<std::uint64_t>(after(data, "\"index\":"));
    std::string_view text = after(data, "\"text\":\"");
    if (text.empty())
        text = after(data, "\"token\":\"");
    if (!index || text.empty())
        return std::nullopt;
    text = text.substr(0, text.find('"'));
    TokenEvent event;
    event.index = *index;
    event.text = std::string(text.substr(0, text.find('@')));
    event.producedAt = numberAt<std::int64_t>(after(text, "@"));
    event.receivedAt = numberAt<std::int64_t>(after(text, "/"));
    return event;
}

std::string expectedToken(std::uint64_t seed, std::uint64_t index)
{
    return " w" + std::to_string(seed % seedModulus) + "." + std::to_string(index);
}

} // namespace sassafrasyard
