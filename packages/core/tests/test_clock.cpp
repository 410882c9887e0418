#include "core/core.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

TEST_CASE("A manual clock shows the value it was given", "[core]")
{
    auto value = std::make_shared<Milliseconds>(5);
    const Clock clock = Clock::manual(value);
    *value = Milliseconds(9);
    REQUIRE(clock.now() == Milliseconds(9));
}

TEST_CASE("Equal seeds give equal random sequences", "[core]")
{
    RandomSource first(7);
    RandomSource second(7);
    REQUIRE(first.nextHex() == second.nextHex());
    REQUIRE(first.below(10) == second.below(10));
}

TEST_CASE("Error codes carry a distinct HTTP status class", "[core]")
{
    REQUIRE(httpStatus(ErrorCode::UnknownKey) == 401);
    REQUIRE(httpStatus(ErrorCode::LimitExceeded) == 429);
    REQUIRE(toString(ErrorCode::GenerationLost) == "generation_lost");
    REQUIRE(toString(RunState::NotRun) == "not_run");
}
