#include "control/admin/adminjson.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sassafrasyard;

// Guards against a body that overflows the stack when its parts are copied or formatted.
TEST_CASE("A deeply nested body of an operator's request is rejected", "[admin][odd]")
{
    HttpRequest request;
    request.body = R"({"documents":[{"x":[1]}]})";
    Error reason;
    REQUIRE(parseJsonObject(request, reason));
    for (const std::size_t levels : {std::size_t{100}, std::size_t{250'000}}) {
        request.body =
                R"({"documents":)" + std::string(levels, '[') + std::string(levels, ']') + "}";
        REQUIRE_FALSE(parseJsonObject(request, reason));
        REQUIRE(reason.code == ErrorCode::InvalidRequest);
    }
}
