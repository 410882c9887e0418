#include "scenarios/runner/statement.h"

#include "scenarios/runner/scenarioerror.h"

#include <charconv>

namespace sassafrasyard {

namespace {

constexpr char quote = '"';
/** Makes the next character within quotes literal. */
constexpr char escape = '\\';

bool isBlank(char character)
{
    return character == ' ' || character == '\t' || character == '\r';
}

/** Splits a line at blanks outside quotes, removes the quotes and ignores a trailing comment. */
std::vector<std::string> tokenize(std::string_view text)
{
    std::vector<std::string> tokens;
    std::string token;
    bool hasToken = false;
    bool isQuoted = false;
    bool isEscaped = false;
    for (const char character : text) {
        if (character == '#' && !isQuoted)
            break;
        if (isEscaped || (character == escape && isQuoted)) {
            isEscaped = !isEscaped;
            if (!isEscaped)
                token.push_back(character);
        } else if (character == quote) {
            isQuoted = !isQuoted;
            hasToken = true;
        } else if (isBlank(character) && !isQuoted) {
            if (hasToken)
                tokens.push_back(std::move(token));
            token.clear();
            hasToken = false;
        } else {
            token.push_back(character);
            hasToken = true;
        }
    }
    if (isQuoted)
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "a quote is not closed");
    if (hasToken)
        tokens.push_back(std::move(token));
    return tokens;
}

/** Returns the offset of the "=" of an option, or npos if the token is a positional word. */
std::size_t optionSeparator(const std::string &token)
{
    const std::size_t equals = token.find('=');
    const bool isOption = equals != std::string::npos && equals > 0 && token[0] != '<'
            && token[0] != '>' && token[0] != '=';
    return isOption ? equals : std::string::npos;
}

} // namespace

Statement::Statement(std::size_t line, std::string_view text)
    : lineNumber(line)
{
    for (std::string &token : tokenize(text)) {
        const std::size_t equals = optionSeparator(token);
        if (equals == std::string::npos)
            this->words.push_back(std::move(token));
        else
            this->optionValues[token.substr(0, equals)] = token.substr(equals + 1);
    }
}

std::size_t Statement::line() const
{
    return this->lineNumber;
}

std::size_t Statement::size() const
{
    return this->words.size();
}

const std::string &Statement::word(std::size_t index) const
{
    if (index >= this->words.size()) {
        throw ScenarioError(ScenarioErrorCode::MissingArgument,
                            "argument " + std::to_string(index) + " is missing");
    }
    return this->words[index];
}

std::uint64_t Statement::number(std::size_t index) const
{
    return parseNumber(this->word(index));
}

bool Statement::hasOption(std::string_view option) const
{
    return this->optionValues.contains(option);
}

std::string Statement::option(std::string_view name, std::string_view defaultValue) const
{
    const auto known = this->optionValues.find(name);
    return known == this->optionValues.end() ? std::string(defaultValue) : known->second;
}

std::uint64_t Statement::numberOption(std::string_view name, std::uint64_t defaultValue) const
{
    const auto known = this->optionValues.find(name);
    return known == this->optionValues.end() ? defaultValue : parseNumber(known->second);
}

const std::map<std::string, std::string, std::less<>> &Statement::options() const
{
    return this->optionValues;
}

Statement Statement::subStatement(std::size_t first, std::size_t count) const
{
    Statement result = *this;
    this->word(first + count - 1);
    const auto begin = this->words.begin() + static_cast<std::ptrdiff_t>(first);
    result.words.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return result;
}

Milliseconds parseDuration(std::string_view text)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (text.ends_with("ms")) {
        const std::uint64_t number = parseNumber(text.substr(0, text.size() - 2));
        return Milliseconds(static_cast<std::int64_t>(number));
    }
    if (!text.ends_with("s")) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            "not a duration such as 250ms or 10s: " + std::string(text));
    }
    const std::uint64_t number = parseNumber(text.substr(0, text.size() - 1));
    return Milliseconds(static_cast<std::int64_t>(number) * millisecondsPerSecond);
}

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || text.empty()) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            "not a number: " + std::string(text));
    }
    return value;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        items.emplace_back(item);
        text.remove_prefix(std::min(text.size(), item.size() + 1));
    }
    return items;
}

} // namespace sassafrasyard
