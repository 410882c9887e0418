#include "entry/peers/bytebudget.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against load updates that exceed the byte limit when there are many peers.
TEST_CASE("Messages beyond the byte limit are permitted only as the budget refills", "[peers]")
{
    ByteBudget budget(1000.0);
    REQUIRE(budget.take(64, 100, Milliseconds(5000)) == 10);
    REQUIRE(budget.take(64, 100, Milliseconds(5000)) == 0);
    REQUIRE(budget.take(64, 100, Milliseconds(5250)) == 2);
    REQUIRE(budget.take(1, 50, Milliseconds(5250)) == 1);
    REQUIRE(budget.take(64, 100, Milliseconds(60000)) == 10);
}
