#include "entry/peers/bytebudget.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against traffic between hosts that grows with the fleet.
TEST_CASE("Messages beyond a second's bytes wait for the budget to fill", "[peers]")
{
    ByteBudget budget(1000.0);
    REQUIRE(budget.take(64, 100, Milliseconds(5000)) == 10);
    REQUIRE(budget.take(64, 100, Milliseconds(5000)) == 0);
    REQUIRE(budget.take(64, 100, Milliseconds(5250)) == 2);
    REQUIRE(budget.take(1, 50, Milliseconds(5250)) == 1);
    REQUIRE(budget.take(64, 100, Milliseconds(60000)) == 10);
}
