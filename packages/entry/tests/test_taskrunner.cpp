#include "entry/entry.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace sassafrasyard;

namespace net = boost::asio;

// Guards against a periodic task that one exception ends permanently and without a log entry.
TEST_CASE("A task that throws is restarted, one that returns is not", "[tasks]")
{
    net::io_context context;
    int runs = 0;
    spawnWithRestart(context.get_executor(), "task", [&runs]() -> net::awaitable<void> {
        if (++runs < 3)
            throw std::runtime_error("an unexpected value");
        co_return;
    });
    const auto start = std::chrono::steady_clock::now();
    runLoggingExceptions(context);
    REQUIRE(runs == 3);
    REQUIRE(std::chrono::steady_clock::now() - start >= 2 * taskRestartDelay);
}

// Guards against a process that ends when a handler throws.
TEST_CASE("A handler that throws does not end the others", "[tasks]")
{
    net::io_context context;
    int done = 0;
    for (int handler = 0; handler < 4; ++handler) {
        net::post(context, [&done, handler] {
            if (handler % 2 == 0)
                throw std::runtime_error("an error in one handler");
            ++done;
        });
    }
    runLoggingExceptions(context);
    REQUIRE(done == 2);
}
