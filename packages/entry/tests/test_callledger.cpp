#include "entry/calls/callbinding.h"
#include "entry/calls/callledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace sassafrasyard;

namespace {

CallKey keyOf(int number)
{
    return {ClientAccountName("account"), "key" + std::to_string(number)};
}

} // namespace

TEST_CASE("A repeated call gets the stored answer", "[entry]")
{
    CallLedger ledger({});
    REQUIRE(ledger.begin(keyOf(1), 7, Milliseconds(0)) == LedgerDecision::Dispatch);
    REQUIRE(ledger.begin(keyOf(1), 7, Milliseconds(1)) == LedgerDecision::InProgress);
    ledger.complete(keyOf(1), {200, "done"}, Milliseconds(2));
    REQUIRE(ledger.begin(keyOf(1), 7, Milliseconds(3)) == LedgerDecision::ReplayAnswer);
    REQUIRE(ledger.answer(keyOf(1))->body == "done");
    REQUIRE(ledger.begin(keyOf(1), 8, Milliseconds(4)) == LedgerDecision::KeyReused);
}

// Guards against a call that runs twice because its first attempt had an unknown outcome.
TEST_CASE("A call of unknown outcome is never dispatched again", "[entry]")
{
    CallLedger ledger({});
    ledger.begin(keyOf(1), 7, Milliseconds(0));
    ledger.recordUnknown(keyOf(1), Milliseconds(1));
    REQUIRE(ledger.begin(keyOf(1), 7, Milliseconds(2)) == LedgerDecision::OutcomeUnknown);
}

// Guards against a retention time that ends while a call binding is still valid.
TEST_CASE("Calls are stored longer than a binding is valid", "[entry]")
{
    REQUIRE(CallLedgerOptions().retention > callBindingLifetime);
}

// Guards against a ledger that evicts a stored call when it is full.
TEST_CASE("A full ledger refuses new calls and keeps the old ones", "[entry]")
{
    CallLedgerOptions options;
    options.maximumEntries = 2;
    CallLedger ledger(options);
    ledger.begin(keyOf(1), 1, Milliseconds(0));
    ledger.begin(keyOf(2), 1, Milliseconds(0));
    ledger.complete(keyOf(1), {200, ""}, Milliseconds(0));
    REQUIRE(ledger.begin(keyOf(3), 1, Milliseconds(1)) == LedgerDecision::Full);
    REQUIRE(ledger.begin(keyOf(1), 1, Milliseconds(1)) == LedgerDecision::ReplayAnswer);
    REQUIRE(ledger.begin(keyOf(3), 1, options.retention) == LedgerDecision::Dispatch);
}

// Guards against a sequence of attempts, results and delays in which a call runs twice.
TEST_CASE("No call is dispatched twice unless it certainly did not run", "[entry]")
{
    rc::prop("random histories", [] {
        CallLedgerOptions options;
        options.maximumEntries = 4;
        options.retention = Milliseconds(1000);
        CallLedger ledger(options);
        std::set<int> running;
        std::set<int> mayHaveRun;
        std::map<int, Milliseconds> endedAt;
        Milliseconds now{0};
        const int steps = *rc::gen::inRange(1, 100);
        for (int step = 0; step < steps; ++step) {
            const int number = *rc::gen::inRange(0, 6);
            now += Milliseconds(*rc::gen::inRange(0, 20));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (ledger.begin(keyOf(number), 1, now) == LedgerDecision::Dispatch) {
                    RC_ASSERT(!running.contains(number));
                    // A call may run again only after its binding, shorter than the retention,
                    // has expired.
                    if (mayHaveRun.contains(number))
                        RC_ASSERT(now - endedAt[number] >= options.retention);
                    running.insert(number);
                }
                break;
            case 1:
                if (running.erase(number) > 0) {
                    ledger.complete(keyOf(number), {200, "x"}, now);
                    mayHaveRun.insert(number);
                    endedAt[number] = now;
                }
                break;
            case 2:
                if (running.erase(number) > 0) {
                    ledger.recordUnknown(keyOf(number), now);
                    mayHaveRun.insert(number);
                    endedAt[number] = now;
                }
                break;
            default:
                if (running.erase(number) > 0)
                    ledger.recordNotRun(keyOf(number));
                break;
            }
            RC_ASSERT(ledger.size() <= options.maximumEntries);
        }
    });
}
