#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/**
 * Access to parts of JSON text from other writers without parsing all of it.
 *
 * Only strings and brackets are interpreted, in one pass and without recursion. The parts may be
 * malformed; each is parsed by itself, so that one of them can't make the others unreadable.
 */
namespace jsontext {

/**
 * The levels of nesting up to which text from other writers is used. Copying, comparing and
 * formatting a parsed value is recursive, so deep nesting overflows the stack.
 */
constexpr std::size_t maximumNesting = 64;

/** A member of an object, as views into its text. */
struct Member
{
    /** The key as written between its quotes, with its escapes. */
    std::string_view key;
    /** The text of the value. */
    std::string_view value;
};

/** Returns whether arrays and objects in a text are nested at most so many levels deep. */
bool isNestedAtMost(std::string_view text, std::size_t levels = maximumNesting);

/** Returns the texts of an array's elements, or nothing if the text is not an array. */
std::optional<std::vector<std::string_view>> elements(std::string_view text);

/** Returns an object's members in their order, or nothing if the text is not an object. */
std::optional<std::vector<Member>> members(std::string_view text);

/**
 * Returns the text of the value with a key, or an empty text if there is none; the last one counts
 * if there are several. @param key without escapes; a key written with escapes is not found.
 */
std::string_view find(std::span<const Member> members, std::string_view key);

} // namespace jsontext

} // namespace sassafrasyard
