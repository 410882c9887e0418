#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

// Guards against retries that multiply an overload.
TEST_CASE("Retries stay within their share of first attempts and the floor", "[policy]")
{
    rc::prop("over any window of 10 s", [] {
        RetryBudget budget;
        std::vector<std::pair<Milliseconds, bool>> events;
        Milliseconds now{0};
        for (int step = 0; step < 500; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 100));
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.recordFirstAttempt(now);
                events.emplace_back(now, false);
            } else if (budget.tryRetry(now)) {
                events.emplace_back(now, true);
            }
            // The window consists of whole seconds.
            const auto first = now.count() / 1000 - 9;
            double attempts = 0.0;
            double retries = 0.0;
            for (const auto &[at, isRetry] : events) {
                if (at.count() / 1000 >= first)
                    (isRetry ? retries : attempts) += 1.0;
            }
            if (!events.empty() && events.back().second && events.back().first == now)
                RC_ASSERT(retries <= 0.1 * attempts + 10.0);
        }
    });
}

// Guards against hedging requests that must not run twice and against unlimited hedges.
TEST_CASE("Only late idempotent requests without output are hedged, and only within the budget",
          "[policy]")
{
    HedgePolicy policy;
    HedgeQuery query;
    query.isIdempotent = true;
    query.elapsed = Milliseconds(5000);
    REQUIRE_FALSE(policy.tryHedge(query));
    for (int index = 0; index < 100; ++index)
        policy.recordFirstToken(Milliseconds(100 + index));
    REQUIRE(policy.delay() >= Milliseconds(195));
    REQUIRE(policy.delay() <= Milliseconds(250));
    for (bool HedgeQuery::*field :
         {&HedgeQuery::hasOutput, &HedgeQuery::isFurtherAttempt, &HedgeQuery::isSaturated}) {
        HedgeQuery changed = query;
        changed.*field = true;
        REQUIRE_FALSE(policy.tryHedge(changed));
    }
    HedgeQuery changed = query;
    changed.isIdempotent = false;
    REQUIRE_FALSE(policy.tryHedge(changed));
    changed = query;
    changed.elapsed = Milliseconds(150);
    REQUIRE_FALSE(policy.tryHedge(changed));
    int hedges = 0;
    for (int index = 0; index < 1000; ++index) {
        policy.recordFirstAttempt();
        hedges += policy.tryHedge(query) ? 1 : 0;
    }
    REQUIRE(hedges >= 20);
    REQUIRE(hedges <= 25);
}
