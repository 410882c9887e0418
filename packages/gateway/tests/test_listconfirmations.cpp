#include "gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

/** Starts a wait and returns where its result will be. */
std::shared_ptr<std::optional<bool>> startWait(net::io_context &context,
                                               ListConfirmations &confirmations, Milliseconds than,
                                               Milliseconds endAt)
{
    auto result = std::make_shared<std::optional<bool>>();
    net::co_spawn(
            context,
            [&confirmations, than, endAt, result]() -> net::awaitable<void> {
                *result = co_await confirmations.waitForNewer(than, endAt);
            },
            net::detached);
    return result;
}

} // namespace

// Guards against a list that was requested before a call and counts as newer than the call.
TEST_CASE("Only a list that was requested after an instant is newer", "[runs]")
{
    net::io_context context;
    const auto now = std::make_shared<Milliseconds>(1000);
    ListConfirmations confirmations(context, Clock::manual(now));
    const auto first = startWait(context, confirmations, Milliseconds(1000), Milliseconds(60'000));
    const auto second = startWait(context, confirmations, Milliseconds(1001), Milliseconds(60'000));
    context.poll();
    REQUIRE(confirmations.waitingCount() == 2);
    for (const Milliseconds requestedAt : {Milliseconds(900), Milliseconds(1000)}) {
        confirmations.confirm(requestedAt);
        context.poll();
        REQUIRE_FALSE(*first);
    }
    confirmations.confirm(Milliseconds(1001));
    context.poll();
    REQUIRE(*first == true);
    REQUIRE_FALSE(*second);
    // An answer that was overtaken takes nothing back.
    confirmations.confirm(Milliseconds(1002));
    confirmations.confirm(Milliseconds(950));
    context.poll();
    REQUIRE(*second == true);
    const auto third = startWait(context, confirmations, Milliseconds(1001), Milliseconds(1000));
    context.restart();
    context.poll();
    REQUIRE(*third == true);
    REQUIRE(confirmations.waitingCount() == 0);
}

// Guards against a call that waits beyond its deadline.
TEST_CASE("The wait for a newer list ends at its limit", "[runs]")
{
    net::io_context context;
    ListConfirmations confirmations(context, Clock::steady());
    const Milliseconds start = Clock::steady().now();
    const auto waited = startWait(context, confirmations, start, start + Milliseconds(30));
    const auto overdue = startWait(context, confirmations, start, start - Milliseconds(1));
    context.run();
    REQUIRE(*waited == false);
    REQUIRE(*overdue == false);
    REQUIRE(Clock::steady().now() - start >= Milliseconds(30));
    REQUIRE(confirmations.waitingCount() == 0);
}

// Guards against a call that waits for a newer list while its host stops, until the exit closes its
// connection without a response.
TEST_CASE("A planned stop ends the waits for a newer list", "[runs]")
{
    net::io_context context;
    ListConfirmations confirmations(context, Clock::steady());
    const Milliseconds start = Clock::steady().now();
    const auto waited = startWait(context, confirmations, start, start + Milliseconds(60'000));
    context.poll();
    REQUIRE_FALSE(*waited);
    confirmations.endWaits();
    context.run();
    REQUIRE(*waited == false);
    context.restart();
    const auto later = startWait(context, confirmations, start, start + Milliseconds(60'000));
    context.run();
    REQUIRE(*later == false);
    REQUIRE(confirmations.waitingCount() == 0);
}
