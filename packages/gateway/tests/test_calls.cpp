#include "gateway/gateway.h"
#include "gateway/relay/eventsplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

Route makeRoute(CallKind kind, std::uint32_t attempts, bool isResumable = false)
{
    Route route;
    route.kind = kind;
    route.maximumAttempts = attempts;
    route.isResumable = isResumable;
    return route;
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
}

} // namespace

// Guards against a non-idempotent call that runs twice.
TEST_CASE("A non-idempotent call is never retried after it may have run", "[retries]")
{
    rc::prop("non-idempotent calls", [](const std::vector<std::uint8_t> &outcomes) {
        const Route route = makeRoute(CallKind::NonIdempotent, 9);
        AttemptHistory history;
        for (const std::uint8_t number : outcomes) {
            const auto outcome = static_cast<AttemptOutcome>(number % 4);
            history.record(outcome);
            const bool mayContinue = mayRetry(route, history, outcome, 500);
            if (history.mayHaveRun > 0)
                RC_ASSERT(finalError(history, {}).runState == RunState::OutcomeUnknown);
            else
                RC_ASSERT(finalError(history, {}).runState == RunState::NotRun);
            if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Unknown)
                RC_ASSERT_FALSE(mayContinue);
            if (!mayContinue)
                break;
        }
    });
}

// Guards against more runs of a call than its route permits, and against unlimited attempts that do
// not run it.
TEST_CASE("Attempts are limited per route and in total", "[retries]")
{
    const Route route = makeRoute(CallKind::Idempotent, 2);
    AttemptHistory history;
    history.record(AttemptOutcome::Answered);
    REQUIRE(mayRetry(route, history, AttemptOutcome::Answered, 500));
    REQUIRE_FALSE(mayRetry(route, history, AttemptOutcome::Answered, 404));
    history.record(AttemptOutcome::Unknown);
    REQUIRE_FALSE(mayRetry(route, history, AttemptOutcome::Unknown, 0));

    AttemptHistory notRun;
    notRun.record(AttemptOutcome::NotSent);
    notRun.record(AttemptOutcome::RefusedBeforeRun);
    REQUIRE(mayRetry(route, notRun, AttemptOutcome::NotSent, 0));
    notRun.record(AttemptOutcome::NotSent);
    REQUIRE_FALSE(mayRetry(route, notRun, AttemptOutcome::NotSent, 0));
}

// Guards against reporting "not run" for a call that a server may still run.
TEST_CASE("A refusal after an unknown outcome is not reported as not run", "[retries]")
{
    AttemptHistory history;
    history.record(AttemptOutcome::Unknown);
    history.record(AttemptOutcome::RefusedBeforeRun);
    const Error error = finalError(history, {ErrorCode::Overloaded, RunState::NotRun, "", {}});
    REQUIRE(error.runState == RunState::OutcomeUnknown);
    REQUIRE(httpStatus(error.code) == 502);
    REQUIRE_FALSE(error.retryAfter);
}

// Guards against a partial event that is joined with events of the next server.
TEST_CASE("Only complete events are returned", "[events]")
{
    EventSplitter splitter;
    splitter.append(eventText(1) + "id: 2\ndata: ha");
    EventBatch batch = splitter.takeEvents();
    REQUIRE(batch.bytes == eventText(1));
    REQUIRE(batch.lastEvent == 1);
    REQUIRE(splitter.takeEvents().count == 0);
    splitter.clear();
    splitter.append(eventText(2));
    batch = splitter.takeEvents(1);
    REQUIRE(batch.bytes == eventText(2));
}

// Guards against duplicate events where the output of two engines overlaps.
TEST_CASE("Events that the caller already has are left out", "[events]")
{
    EventSplitter splitter;
    splitter.append(eventText(3) + eventText(4) + eventText(5));
    const EventBatch batch = splitter.takeEvents(4);
    REQUIRE(batch.bytes == eventText(5));
    REQUIRE(batch.count == 1);
}

// Guards against missed event boundaries when a read ends within one.
TEST_CASE("The events do not depend on how the bytes are split into reads", "[events]")
{
    rc::prop("chunking", [](const std::vector<std::uint8_t> &sizes) {
        std::string all;
        for (int number = 1; number <= 6; ++number)
            all += number % 2 == 0 ? eventText(number)
                                   : "id: " + std::to_string(number) + "\r\ndata: x\r\n\r\n";
        EventSplitter splitter;
        std::string received;
        std::uint32_t count = 0;
        std::size_t at = 0;
        std::size_t next = 0;
        while (at < all.size()) {
            const std::size_t size = sizes.empty() ? 1 : sizes[next++ % sizes.size()] % 9 + 1;
            splitter.append(std::string_view(all).substr(at, size));
            at += size;
            const EventBatch batch = splitter.takeEvents();
            received += batch.bytes;
            count += batch.count;
        }
        RC_ASSERT(received == all);
        RC_ASSERT(count == 6U);
        RC_ASSERT(splitter.remainder().empty());
    });
}

// Guards against hop-by-hop fields that are forwarded, such as a hidden framing.
TEST_CASE("Hop-by-hop fields are dropped, including those listed in Connection", "[headers]")
{
    const HttpHeaders headers{{"Host", "a"},       {"connection", "X-Hop, close"},
                              {"X-Hop", "1"},      {"Transfer-Encoding", "chunked"},
                              {"Keep-Alive", "5"}, {"X-Kept", "2"},
                              {"Set-Cookie", "1"}, {"Set-Cookie", "2"}};
    const HttpHeaders expected{
            {"Host", "a"}, {"X-Kept", "2"}, {"Set-Cookie", "1"}, {"Set-Cookie", "2"}};
    REQUIRE(withoutHopFields(headers) == expected);
}
