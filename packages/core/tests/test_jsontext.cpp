#include "core/text/jsontext.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace sassafrasyard;

// Guards against elements that are cut at brackets or commas inside strings or nested values.
TEST_CASE("The elements of an array are found as they were written", "[jsontext]")
{
    const auto found = jsontext::elements(R"( [ {"a":"],}\"","b":[1,{}]} , "x\\",1e999,,nul ] )");
    REQUIRE(found
            == std::vector<std::string_view>{R"({"a":"],}\"","b":[1,{}]})", R"("x\\")", "1e999", "",
                                             "nul"});
    REQUIRE(jsontext::elements("[ ]")->empty());
    for (const char *malformed : {"", "{}", "7", "[", "[1", "[1,", "[\"]", "[1]]", "[1] 2", "[[1]"})
        REQUIRE_FALSE(jsontext::elements(malformed));
}

// Guards against a member that is missed, or one of a nested object that is taken for it.
TEST_CASE("The members of an object are found as they were written", "[jsontext]")
{
    const auto found = jsontext::members(R"({ "a" : {"b":1} ,"b":[2,3],"a":"}","":null})");
    REQUIRE(found);
    REQUIRE(found->size() == 4);
    REQUIRE(jsontext::find(*found, "b") == "[2,3]");
    REQUIRE(jsontext::find(*found, "a") == R"("}")");
    REQUIRE(jsontext::find(*found, "c").empty());
    REQUIRE(jsontext::members(" {} ")->empty());
    for (const char *malformed :
         {"", "[]", "7", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{a:1}", "{\"a\" 1}", "{\"a\":1}}"})
        REQUIRE_FALSE(jsontext::members(malformed));
}

// Guards against deep nesting that is not recognized, and against brackets in strings that count.
TEST_CASE("The nesting of a text is limited", "[jsontext]")
{
    const std::size_t limit = jsontext::maximumNesting;
    REQUIRE(jsontext::isNestedAtMost(std::string(limit, '[') + std::string(limit, ']')));
    REQUIRE_FALSE(jsontext::isNestedAtMost(std::string(limit + 1, '[')));
    REQUIRE_FALSE(jsontext::isNestedAtMost(std::string(500'000, '{')));
    REQUIRE(jsontext::isNestedAtMost("\"\\\"" + std::string(limit + 1, '[') + "\""));
    REQUIRE(jsontext::isNestedAtMost("[[],[],{}]", 2));
    REQUIRE_FALSE(jsontext::isNestedAtMost("[[],[],{}]", 1));
}

// Guards against reads beyond the end of a text of another writer.
TEST_CASE("Any bytes can be scanned", "[jsontext][fuzz]")
{
    rc::prop("random brackets and quotes", [] {
        const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("[]{}\":,\\ a1\xff")));
        jsontext::isNestedAtMost(text);
        for (const auto &part : jsontext::elements(text).value_or(std::vector<std::string_view>()))
            RC_ASSERT(text.find(part) != std::string::npos);
        jsontext::members(text);
    });
}
