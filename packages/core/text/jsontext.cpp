#include "core/text/jsontext.h"

#include <utility>

namespace sassafrasyard::jsontext {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

/** Reads a text from front to back. */
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : rest(text)
    {
    }

    bool isAtEnd() const { return this->rest.empty(); }

    /** Skips whitespace, then a character if it is the next one. @return whether it was. */
    bool skip(char character)
    {
        this->skipWhitespace();
        if (this->rest.empty() || this->rest.front() != character)
            return false;
        this->rest.remove_prefix(1);
        return true;
    }

    void skipWhitespace()
    {
        const std::size_t first = this->rest.find_first_not_of(whitespace);
        this->rest.remove_prefix(first == std::string_view::npos ? this->rest.size() : first);
    }

    /** Takes a string. @return what is between its quotes, or nothing if there is no string. */
    std::optional<std::string_view> takeString()
    {
        if (!this->skip('"'))
            return std::nullopt;
        for (std::size_t at = 0; at < this->rest.size(); ++at) {
            if (this->rest[at] == '"') {
                const std::string_view content = this->rest.substr(0, at);
                this->rest.remove_prefix(at + 1);
                return content;
            }
            if (this->rest[at] == '\\')
                ++at;
        }
        return std::nullopt;
    }

    /**
     * Takes the text of a value up to the comma or closing bracket after it, which may be malformed
     * inside. @return nothing if the text ends first.
     */
    std::optional<std::string_view> takeValue()
    {
        this->skipWhitespace();
        const std::string_view start = this->rest;
        std::size_t depth = 0;
        while (!this->rest.empty()) {
            const char next = this->rest.front();
            const bool isClosing = next == ']' || next == '}';
            if (depth == 0 && (next == ',' || isClosing))
                return trimmed(start.substr(0, start.size() - this->rest.size()));
            if (next == '"') {
                if (!this->takeString())
                    return std::nullopt;
                continue;
            }
            if (next == '[' || next == '{')
                ++depth;
            else if (isClosing)
                --depth;
            this->rest.remove_prefix(1);
        }
        return std::nullopt;
    }

private:
    static std::string_view trimmed(std::string_view text)
    {
        const std::size_t last = text.find_last_not_of(whitespace);
        return last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1);
    }

    std::string_view rest;
};

/** Takes the elements or members up to the closing bracket, after which the text must end. */
template <typename Part>
std::optional<std::vector<Part>> takeParts(Scanner scanner, char closing,
                                           std::optional<Part> (*takePart)(Scanner &))
{
    std::vector<Part> parts;
    bool isClosed = scanner.skip(closing);
    while (!isClosed) {
        auto part = takePart(scanner);
        if (!part)
            return std::nullopt;
        parts.push_back(*part);
        isClosed = !scanner.skip(',');
        if (isClosed && !scanner.skip(closing))
            return std::nullopt;
    }
    scanner.skipWhitespace();
    return scanner.isAtEnd() ? std::optional(std::move(parts)) : std::nullopt;
}

std::optional<std::string_view> takeElement(Scanner &scanner)
{
    return scanner.takeValue();
}

std::optional<Member> takeMember(Scanner &scanner)
{
    const auto key = scanner.takeString();
    if (!key || !scanner.skip(':'))
        return std::nullopt;
    const auto value = scanner.takeValue();
    return value ? std::optional(Member{*key, *value}) : std::nullopt;
}

} // namespace

bool isNestedAtMost(std::string_view text, std::size_t levels)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char next = text[at];
        if (isInString && next == '\\')
            ++at;
        else if (next == '"')
            isInString = !isInString;
        else if (!isInString && (next == '[' || next == '{') && ++depth > levels)
            return false;
        else if (!isInString && (next == ']' || next == '}') && depth > 0)
            --depth;
    }
    return true;
}

std::optional<std::vector<std::string_view>> elements(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.skip('['))
        return std::nullopt;
    return takeParts(scanner, ']', takeElement);
}

std::optional<std::vector<Member>> members(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.skip('{'))
        return std::nullopt;
    return takeParts(scanner, '}', takeMember);
}

std::string_view find(std::span<const Member> members, std::string_view key)
{
    std::string_view value;
    for (const Member &member : members) {
        if (member.key == key)
            value = member.value;
    }
    return value;
}

} // namespace sassafrasyard::jsontext
