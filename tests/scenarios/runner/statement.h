#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** One statement of a scenario: positional words, and options of the form name=value. */
class Statement
{
public:
    /** Parses a line without its comment. @throws ScenarioError InvalidArgument for open quotes. */
    Statement(std::size_t line, std::string_view text);

    /** Returns the number of the statement's line in its file, counted from 1. */
    std::size_t line() const;
    /** Returns the number of positional words, including the statement's name. */
    std::size_t size() const;
    /** Returns a positional word; index 0 is the name. @throws ScenarioError MissingArgument. */
    const std::string &word(std::size_t index) const;
    /** Returns a word as a number. @throws ScenarioError MissingArgument or InvalidArgument. */
    std::uint64_t number(std::size_t index) const;
    /** Returns whether an option is given. */
    bool hasOption(std::string_view option) const;
    /** Returns an option's text, or the default if the option is not given. */
    std::string option(std::string_view name, std::string_view defaultValue) const;
    /** Returns an option's number, or the default. @throws ScenarioError InvalidArgument. */
    std::uint64_t numberOption(std::string_view name, std::uint64_t defaultValue) const;
    /** Returns all options by name. */
    const std::map<std::string, std::string, std::less<>> &options() const;
    /** Returns a range of the words with all options. @throws ScenarioError MissingArgument. */
    Statement subStatement(std::size_t first, std::size_t count) const;

private:
    std::size_t lineNumber;
    std::vector<std::string> words;
    std::map<std::string, std::string, std::less<>> optionValues;
};

/** Parses a duration such as "10s" or "250ms". @throws ScenarioError InvalidArgument. */
Milliseconds parseDuration(std::string_view text);

/** Parses an unsigned decimal number. @throws ScenarioError InvalidArgument. */
std::uint64_t parseNumber(std::string_view text);

/** Splits a comma-separated list; an empty text gives an empty list. */
std::vector<std::string> splitList(std::string_view text);

} // namespace sassafrasyard
