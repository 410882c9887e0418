#include "runtime/runtime.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace sassafrasyard;

// Guards against closures that run out of order or concurrently.
TEST_CASE("A state owner runs closures in the order they were posted", "[runtime]")
{
    ActorRuntime runtime(2);
    std::vector<int> seen;
    {
        StateOwner<std::vector<int>> owner(runtime);
        for (int value = 0; value < 1000; ++value)
            owner.post([value](std::vector<int> &state) { state.push_back(value); });
        owner.post([&seen](std::vector<int> &state) { seen = state; });
    }
    REQUIRE(seen.size() == 1000);
    REQUIRE(std::is_sorted(seen.begin(), seen.end()));
}

// Guards against a state owner that ends after an exception, so that later closures never run.
TEST_CASE("A closure that throws does not stop its state owner", "[runtime]")
{
    ActorRuntime runtime(1);
    int seen = 0;
    {
        StateOwner<int> owner(runtime, 7);
        owner.post([](int &) { throw std::runtime_error("unexpected value"); });
        owner.post([&seen](int &state) { seen = state; });
    }
    REQUIRE(seen == 7);
}

// Guards against a coroutine that is not resumed with the result of its closure.
TEST_CASE("A coroutine receives the answer of a state owner", "[runtime]")
{
    ActorRuntime runtime(2);
    StateOwner<int> owner(runtime, 41);
    boost::asio::io_context context;
    int answer = 0;
    boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                answer = co_await owner.ask<int>([](int &state) { return ++state; });
            },
            boost::asio::detached);
    context.run();
    REQUIRE(answer == 42);
}

// Guards against a scheduler that polls for work: with a message every 10 ms, as from the daemon's
// timers, it used more than the budget of 4 % of a core for control traffic.
TEST_CASE("An almost idle runtime stays within the control budget", "[runtime]")
{
    constexpr int messages = 100;
    constexpr auto interval = std::chrono::milliseconds(10);
    constexpr double budget = 0.04;
    ActorRuntime runtime(2);
    StateOwner<int> owner(runtime, 0);
    const auto begin = std::chrono::steady_clock::now();
    const std::clock_t cpuTimeBegin = std::clock();
    for (int message = 1; message <= messages; ++message) {
        owner.post([](int &state) { ++state; });
        std::this_thread::sleep_until(begin + message * interval);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const double cpuTime = static_cast<double>(std::clock() - cpuTimeBegin) / CLOCKS_PER_SEC;
    REQUIRE(cpuTime / elapsed.count() < budget);
}
