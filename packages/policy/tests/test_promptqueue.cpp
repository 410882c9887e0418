#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace sassafrasyard;

namespace {

BackendServer makeEngine(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("model")};
    server.slots = 24;
    server.memoryTokens = 30000;
    return server;
}

WorkRequest makePromptRequest(const std::string &name, std::uint32_t tokens)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.model = ModelName("model");
    request.promptTokens = tokens;
    request.maximumTokens = 200;
    return request;
}

DispatcherOptions makeOptions(const std::string &host)
{
    DispatcherOptions options;
    options.host = HostName(host);
    options.placement = promptQueuePlacement(7);
    return options;
}

std::map<std::string, int> takeAssignmentCounts(Dispatcher &dispatcher)
{
    std::map<std::string, int> count;
    for (const Decision &decision : dispatcher.takeDecisions()) {
        if (const auto *assignment = std::get_if<Assignment>(&decision))
            ++count[assignment->server.toString()];
    }
    return count;
}

} // namespace

// Guards against prompts of a burst that queue on one engine while other engines have none, as with
// placement by the fewest outstanding requests.
TEST_CASE("A burst of prompts spreads evenly over the engines", "[placement]")
{
    Dispatcher dispatcher(makeOptions("a"));
    std::vector<BackendServer> servers;
    for (int number = 0; number < 6; ++number)
        servers.push_back(makeEngine("e" + std::to_string(number)));
    dispatcher.setBackendServers(servers, Milliseconds(0));
    for (int number = 0; number < 12; ++number)
        dispatcher.submit(makePromptRequest("r" + std::to_string(number), 3000), Milliseconds(0));
    for (const auto &[server, count] : takeAssignmentCounts(dispatcher))
        REQUIRE(count == 2);
}

// Guards against hosts that send prompts to the same engine at the same time.
TEST_CASE("Prompts of other hosts count until they are processed", "[placement]")
{
    Dispatcher dispatcher(makeOptions("a"));
    const std::vector<BackendServer> servers{makeEngine("x"), makeEngine("y")};
    dispatcher.setBackendServers(servers, Milliseconds(0));
    PeerLoadDigest digest;
    digest.host = HostName("b");
    digest.sequence = 1;
    digest.entries = {{BackendServerName("x"), 1, 3200, 3000}};
    dispatcher.recordPeerLoad(digest, Milliseconds(0));
    dispatcher.submit(makePromptRequest("r1", 3000), Milliseconds(0));
    REQUIRE(takeAssignmentCounts(dispatcher) == std::map<std::string, int>{{"y", 1}});
    // The peer's prompt is processed, and y has the own pending prompt, so x is the better one.
    digest.sequence = 2;
    digest.entries = {{BackendServerName("x"), 1, 3200, 0}};
    dispatcher.recordPeerLoad(digest, Milliseconds(10));
    dispatcher.submit(makePromptRequest("r2", 3000), Milliseconds(10));
    REQUIRE(takeAssignmentCounts(dispatcher) == std::map<std::string, int>{{"x", 1}});
}

// Guards against prompts that stay pending after they were processed or released.
TEST_CASE("A prompt counts until its first output or its end", "[placement]")
{
    rc::prop("pending prompts", [](const std::vector<std::uint8_t> &steps) {
        ServerPoolOptions options;
        options.host = HostName("a");
        options.placement = promptQueuePlacement(3);
        ServerPool pool(options);
        const std::vector<BackendServer> servers{makeEngine("x"), makeEngine("y")};
        pool.setBackendServers(servers, Milliseconds(0));
        std::map<std::string, bool> outstanding;
        int number = 0;
        Milliseconds now{0};
        for (const std::uint8_t step : steps) {
            now += Milliseconds(5);
            if (step % 3 == 0 || outstanding.empty()) {
                const std::string name = "r" + std::to_string(number++);
                if (pool.place(makePromptRequest(name, 1000), now))
                    outstanding[name] = true;
            } else if (step % 3 == 1) {
                pool.recordProgress(RequestName(outstanding.begin()->first), 4, now);
                outstanding.begin()->second = false;
            } else {
                pool.release(RequestName(outstanding.begin()->first), WorkOutcome::Completed, now);
                outstanding.erase(outstanding.begin());
            }
            std::uint32_t pending = 0;
            for (const PeerLoadEntry &entry : pool.peerLoadDigest(now).entries)
                pending += entry.pendingPromptTokens;
            std::uint32_t expected = 0;
            for (const auto &[name, isPending] : outstanding)
                expected += isPending ? 1000 : 0;
            RC_ASSERT(pending == expected);
        }
    });
}

// Guards against a copy on the server of its original, or one that leaves no memory for runs.
TEST_CASE("A copy is placed on another engine with enough free memory", "[placement]")
{
    Dispatcher dispatcher(makeOptions("a"));
    const std::vector<BackendServer> servers{makeEngine("x"), makeEngine("y")};
    dispatcher.setBackendServers(servers, Milliseconds(0));
    WorkRequest copy = makePromptRequest("c1", 20000);
    copy.isPrefillNeeded = false;
    copy.avoided = {BackendServerName("x")};
    REQUIRE(dispatcher.reserveCopy(copy, false, Milliseconds(0)) == BackendServerName("y"));
    copy.name = RequestName("c2");
    REQUIRE_FALSE(dispatcher.reserveCopy(copy, false, Milliseconds(0)));
    dispatcher.releaseCopy(RequestName("c1"), Milliseconds(0));
    REQUIRE(dispatcher.reserveCopy(copy, false, Milliseconds(0)));
}

// Guards against a slot that is leaked or freed twice when a run continues from its copy.
TEST_CASE("A promoted copy is accounted for like any request", "[placement]")
{
    Dispatcher dispatcher(makeOptions("a"));
    const std::vector<BackendServer> servers{makeEngine("x"), makeEngine("y")};
    dispatcher.setBackendServers(servers, Milliseconds(0));
    WorkRequest copy = makePromptRequest("c1", 1000);
    copy.isPrefillNeeded = false;
    dispatcher.reserveCopy(copy, false, Milliseconds(0));
    dispatcher.promoteCopy(RequestName("c1"), Milliseconds(10));
    REQUIRE(dispatcher.runningCount() == 1);
    dispatcher.recordProgress(RequestName("c1"), 40, Milliseconds(20));
    dispatcher.releaseCopy(RequestName("c1"), Milliseconds(25));
    dispatcher.recordFinished(RequestName("c1"), WorkOutcome::Completed, Milliseconds(30));
    REQUIRE(dispatcher.runningCount() == 0);
    REQUIRE(dispatcher.peerLoadDigest(Milliseconds(30)).entries.empty());
}

// Guards against retries that stay within the budget of each host but overload the servers
// together.
TEST_CASE("All hosts together retry no more than the ratio and the slack permit", "[retries]")
{
    rc::prop("shared budget", [](const std::vector<std::uint8_t> &steps) {
        constexpr std::size_t hosts = 4;
        const ServiceRetryBudgetOptions options{0.2, 8.0, Milliseconds(1000)};
        std::vector<ServiceRetryBudget> budgets(hosts, ServiceRetryBudget(options));
        for (ServiceRetryBudget &budget : budgets)
            budget.setHostCount(hosts);
        std::vector<Milliseconds> requests;
        std::vector<Milliseconds> retries;
        Milliseconds now{0};
        for (const std::uint8_t step : steps) {
            now += Milliseconds(step % 40);
            ServiceRetryBudget &budget = budgets[step % hosts];
            if (step < 128) {
                budget.recordRequest("s", now);
                requests.push_back(now);
            } else if (budget.tryRetry("s", now)) {
                retries.push_back(now);
            }
            const auto recent = [&](const std::vector<Milliseconds> &times) {
                return std::count_if(times.begin(), times.end(), [&](Milliseconds time) {
                    return time > now - options.window;
                });
            };
            RC_ASSERT(static_cast<double>(recent(retries))
                      <= 0.2 * static_cast<double>(recent(requests)) + 8.0);
        }
    });
}
