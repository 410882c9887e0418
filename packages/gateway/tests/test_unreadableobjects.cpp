#include "gateway/gateway.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sassafrasyard;

// Guards against a log line for an unreadable object at each read of the list.
TEST_CASE("An unreadable object is logged once for each of its revisions", "[odd]")
{
    UnreadableObjectLog log(3);
    REQUIRE(log.record("servers", {"a", 7, "{"}, "malformed"));
    REQUIRE_FALSE(log.record("servers", {"a", 7, "{"}, "malformed"));
    REQUIRE(log.record("servers", {"a", 8, "{"}, "malformed"));
    REQUIRE(log.record("hosts", {"a", 7, "{"}, "malformed"));
    REQUIRE_FALSE(log.record("servers", {"a", 7, "{"}, "malformed"));
    REQUIRE(log.record("servers", {"", 9, ""}, std::string(100'000, '\n')));
    REQUIRE(log.record("servers", {"a", 7, "{"}, "malformed"));
}
