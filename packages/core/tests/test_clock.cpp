#include "core/core.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against a manual clock that copies its value instead of reading it at each call.
TEST_CASE("A manual clock returns the value that was set", "[core]")
{
    auto value = std::make_shared<Milliseconds>(5);
    const Clock clock = Clock::manual(value);
    *value = Milliseconds(9);
    REQUIRE(clock.now() == Milliseconds(9));
}

// Guards against a generator that depends on more than its seed, so that simulations can't be
// replayed.
TEST_CASE("Equal seeds produce equal random sequences", "[core]")
{
    RandomSource first(7);
    RandomSource second(7);
    REQUIRE(first.nextHex() == second.nextHex());
    REQUIRE(first.below(10) == second.below(10));
}

// Guards against an error code with the wrong status or name in responses.
TEST_CASE("Error codes carry a distinct HTTP status class", "[core]")
{
    REQUIRE(httpStatus(ErrorCode::UnknownKey) == 401);
    REQUIRE(httpStatus(ErrorCode::LimitExceeded) == 429);
    REQUIRE(toString(ErrorCode::GenerationLost) == "generation_lost");
    REQUIRE(toString(RunState::NotRun) == "not_run");
}
