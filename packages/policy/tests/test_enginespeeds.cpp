#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr std::uint32_t promptTokens = 3000;

BackendServer makeEngine(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("m")};
    server.slots = 64;
    server.memoryTokens = 200'000;
    return server;
}

WorkRequest makeRequest(const std::string &name)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.model = ModelName("m");
    request.promptTokens = promptTokens;
    request.maximumTokens = 10;
    return request;
}

ServerPoolOptions makeOptions()
{
    ServerPoolOptions options;
    options.host = HostName("h");
    options.placement = promptQueuePlacement(1);
    return options;
}

std::vector<PaceMonitor::Member> makeMembers(ServerIndex count)
{
    std::vector<PaceMonitor::Member> members;
    for (ServerIndex index = 0; index < count; ++index)
        members.push_back({index, {0}});
    return members;
}

/** Two engines at 7 ms a token and one at 17, as a peer tells. */
void tellSpeeds(ServerPool &pool, Milliseconds now)
{
    const std::map<std::string, double> speeds{{"a", 7.0}, {"b", 7.0}, {"slow", 17.0}};
    for (const auto &[name, milliseconds] : speeds)
        REQUIRE(pool.recordPeerSpeed({BackendServerName(name), milliseconds, 8.0}, now));
    pool.advance(now);
}

/** Candidates that differ only as a test sets them. */
std::array<PlacementCandidate, 2> makeCandidates(const BackendServer &server)
{
    std::array<PlacementCandidate, 2> candidates;
    for (PlacementCandidate &candidate : candidates) {
        candidate.server = &server;
        candidate.memoryTotal = 200'000.0;
        candidate.memoryNeeded = 3000.0;
        candidate.isSameDomain = true;
    }
    return candidates;
}

/** Returns how often the second candidate is chosen out of 100 times. */
int choicesOfSecond(const std::array<PlacementCandidate, 2> &candidates)
{
    const PlacementPolicy policy = promptQueuePlacement(7);
    int chosen = 0;
    for (int draw = 0; draw < 100; ++draw)
        chosen += policy(makeRequest("r"), candidates) == std::size_t{1} ? 1 : 0;
    return chosen;
}

} // namespace

// Guards against speeds that are told apart from noise only by chance, and against a disturbance of
// some hundred milliseconds that makes an engine slow.
TEST_CASE("Engines count as equally fast unless they differ clearly", "[speeds]")
{
    EngineSpeeds speeds;
    speeds.setServers(makeMembers(3));
    for (int step = 0; step < 40; ++step) {
        const Milliseconds now(step * 250);
        // For 500 ms of each 4 s the first engine is 2.5 times slower.
        const bool isDisturbed = step % 16 < 2;
        speeds.recordOwn(0, isDisturbed ? 17.5 : 7.0, now);
        speeds.recordOwn(1, 7.3, now);
        speeds.recordOwn(2, 6.8, now);
        speeds.advance(now);
        const bool isKnown = step >= 16;
        for (const ServerIndex index : {0U, 1U, 2U})
            REQUIRE((!isKnown || speeds.ratio(index) == 1.0));
    }
}

// Load: engines of unlike speed. Guards against equal shares for them.
TEST_CASE("The ratio of a slower engine is learned, and forgotten without measurements", "[speeds]")
{
    EngineSpeeds speeds;
    speeds.setServers(makeMembers(3));
    REQUIRE(speeds.ratio(2) == 1.0);
    for (int step = 0; step < 5; ++step) {
        speeds.recordOwn(0, 7.0, Milliseconds(step));
        speeds.recordOwn(1, 7.0, Milliseconds(step));
        speeds.recordPeer(2, 17.0, 1.0, Milliseconds(step));
    }
    speeds.advance(Milliseconds(10));
    REQUIRE(speeds.ratio(2) == Approx(17.0 / 7.0));
    REQUIRE(speeds.ratio(0) == 1.0);
    speeds.advance(Milliseconds(60'000));
    REQUIRE(speeds.ratio(2) == 1.0);
}

// Guards against old measurements that hosts send again and again, so that an engine that has
// recovered stays slow on all of them.
TEST_CASE("Measurements are sent while they are new", "[speeds]")
{
    EngineSpeeds speeds;
    speeds.setServers(makeMembers(3));
    for (int step = 0; step < 40; ++step)
        speeds.recordOwn(0, 17.0, Milliseconds(step * 250));
    REQUIRE(speeds.own(0, Milliseconds(10'000)).samples > 4.0);
    REQUIRE(speeds.own(0, Milliseconds(12'000)).samples == 0.0);
}

// Guards against an engine that turns slow and is used as before for many seconds.
TEST_CASE("An engine that turns slow is known within seconds", "[speeds]")
{
    EngineSpeeds speeds;
    speeds.setServers(makeMembers(3));
    int slowAfter = 0;
    for (int step = 0; step < 160 && slowAfter == 0; ++step) {
        const Milliseconds now(step * 250);
        const bool isSlow = step >= 80;
        for (const ServerIndex index : {0U, 1U})
            speeds.recordOwn(index, 7.0, now);
        speeds.recordOwn(2, isSlow ? 35.0 : 7.0, now);
        speeds.advance(now);
        if (speeds.ratio(2) > 1.0)
            slowAfter = (step - 80) * 250;
    }
    REQUIRE(slowAfter > 0);
    REQUIRE(slowAfter <= 3000);
}

// Guards against nonsense of a peer that decides where work goes.
TEST_CASE("Speeds that can't be true are not believed, and one peer does not decide alone",
          "[speeds]")
{
    EngineSpeeds speeds;
    speeds.setServers(makeMembers(3));
    for (const double value : {0.0, -5.0, 1e9, std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity()})
        REQUIRE_FALSE(speeds.recordPeer(0, value, 5.0, Milliseconds(0)));
    REQUIRE_FALSE(speeds.recordPeer(0, 7.0, -1.0, Milliseconds(0)));
    for (int step = 0; step < 100; ++step) {
        for (const ServerIndex index : {0U, 1U, 2U})
            speeds.recordOwn(index, 7.0, Milliseconds(step));
    }
    REQUIRE(speeds.recordPeer(0, 700.0, 1e12, Milliseconds(100)));
    speeds.advance(Milliseconds(100));
    REQUIRE(speeds.ratio(0) <= 1.5);
}

// Guards against a speed that a restarted engine inherits from its former process.
TEST_CASE("An engine at a new address has no known speed", "[speeds]")
{
    ServerPool pool(makeOptions());
    const std::vector<BackendServer> servers{makeEngine("a"), makeEngine("b"), makeEngine("slow")};
    pool.setBackendServers(servers, Milliseconds(0));
    tellSpeeds(pool, Milliseconds(0));
    const BackendServerName slow("slow");
    REQUIRE(pool.engineCondition(slow, Milliseconds(0)).speedRatio > 2.0);
    // An engine that pauses or fails a connection keeps its speed.
    pool.setReachable(slow, false);
    pool.setReachable(slow, true);
    pool.advance(Milliseconds(10));
    REQUIRE(pool.engineCondition(slow, Milliseconds(10)).speedRatio > 2.0);
    std::vector<BackendServer> moved = servers;
    moved[2].address = "10.0.0.9:80";
    pool.setBackendServers(moved, Milliseconds(20));
    pool.advance(Milliseconds(20));
    REQUIRE(pool.engineCondition(slow, Milliseconds(20)).speedRatio == 1.0);
}

// Load: engines of unlike speed with equal queues. Guards against a slow engine that gets as many
// prompts as fast ones, and against one that gets none although the fast ones are crowded.
TEST_CASE("Slower engines get fewer prompts, but not none", "[speeds]")
{
    ServerPool pool(makeOptions());
    const std::vector<BackendServer> servers{makeEngine("a"), makeEngine("b"), makeEngine("slow")};
    pool.setBackendServers(servers, Milliseconds(0));
    tellSpeeds(pool, Milliseconds(0));
    std::map<std::string, int> counts;
    for (int number = 0; number < 24; ++number) {
        const auto placement =
                pool.place(makeRequest("r" + std::to_string(number)), Milliseconds(1));
        REQUIRE(placement);
        ++counts[placement->server.toString()];
    }
    REQUIRE(counts["slow"] >= 1);
    REQUIRE(counts["slow"] <= 5);
    REQUIRE(std::abs(counts["a"] - counts["b"]) <= 2);
}

// Guards against a change of decisions where all engines are equally fast and nothing is cached.
TEST_CASE("Equal engines are chosen by their pending prompts as before", "[speeds]")
{
    const BackendServer server = makeEngine("a");
    auto candidates = makeCandidates(server);
    REQUIRE(choicesOfSecond(candidates) > 25);
    REQUIRE(choicesOfSecond(candidates) < 75);
    candidates[0].pendingPromptTokens = promptTokens;
    REQUIRE(choicesOfSecond(candidates) == 100);
}

// Load: an engine holds the beginning of a prompt and has other prompts to read. Guards against a
// wait that is longer than what it saves, and against a saving that is not used.
TEST_CASE("A cached beginning is weighed against the wait", "[speeds]")
{
    const BackendServer server = makeEngine("a");
    auto candidates = makeCandidates(server);
    candidates[1].cachedTokens = 2000.0;
    REQUIRE(choicesOfSecond(candidates) == 100);
    candidates[1].pendingPromptTokens = 1000.0;
    REQUIRE(choicesOfSecond(candidates) == 100);
    candidates[1].pendingPromptTokens = 3000.0;
    REQUIRE(choicesOfSecond(candidates) == 0);
    // On an engine that reads slowly the wait weighs more.
    candidates[1].pendingPromptTokens = 1000.0;
    candidates[1].speedRatio = 2.5;
    REQUIRE(choicesOfSecond(candidates) == 0);
}

// Guards against cached parts that are counted on although the memory was needed meanwhile, and
// against a level of the prompt that is left out.
TEST_CASE("Beginnings count while the engine has the memory to keep them", "[prefixes]")
{
    ServerPool pool(makeOptions());
    std::vector<BackendServer> servers{makeEngine("a"), makeEngine("b")};
    for (BackendServer &server : servers)
        server.memoryTokens = 10'000;
    pool.setBackendServers(servers, Milliseconds(0));
    WorkRequest first = makeRequest("first");
    first.prefixes = {{1, 200}, {2, 350}};
    const auto placed = pool.place(first, Milliseconds(0));
    REQUIRE(placed);
    REQUIRE(placed->cachedTokens == 0);
    pool.recordProgress(first.name, 1, Milliseconds(100));
    pool.release(first.name, WorkOutcome::Completed, Milliseconds(200));
    WorkRequest again = makeRequest("again");
    again.prefixes = {{1, 200}, {2, 350}};
    const auto second = pool.place(again, Milliseconds(300));
    REQUIRE(second->server == placed->server);
    REQUIRE(second->cachedTokens == 350);
    pool.release(again.name, WorkOutcome::Completed, Milliseconds(400));
    // Another caller shares the first level only.
    WorkRequest other = makeRequest("other");
    other.prefixes = {{1, 200}, {3, 350}};
    const auto third = pool.place(other, Milliseconds(500));
    REQUIRE(third->server == placed->server);
    REQUIRE(third->cachedTokens == 200);
    // Running requests need the memory: nothing is left for parts.
    WorkRequest large = makeRequest("large");
    large.promptTokens = 6900;
    large.avoided = {};
    while (const auto filled = pool.place(large, Milliseconds(600))) {
        large.name = RequestName(large.name.toString() + "+");
        if (filled->server == placed->server)
            break;
    }
    WorkRequest late = makeRequest("late");
    late.promptTokens = 40;
    late.prefixes = {{1, 20}};
    const auto fourth = pool.place(late, Milliseconds(700));
    REQUIRE((!fourth || fourth->cachedTokens == 0));
}

// Guards against parts that are counted on for long although each prompt that is read takes memory.
TEST_CASE("A part is kept for as long as the engine's free memory lasts", "[prefixes]")
{
    CacheTurnover turnover;
    REQUIRE(turnover.isKept(Milliseconds(60'000), 1.0, 10, 10, Milliseconds(0)));
    for (int step = 0; step < 200; ++step)
        turnover.recordPrompt(300, Milliseconds(step * 100));
    const Milliseconds now(20'000);
    // About 3,000 tokens a second on each engine, since there are as many engines as hosts.
    REQUIRE(turnover.isKept(Milliseconds(2000), 9000.0, 10, 10, now));
    REQUIRE_FALSE(turnover.isKept(Milliseconds(4000), 9000.0, 10, 10, now));
    REQUIRE(turnover.isKept(Milliseconds(4000), 9000.0, 10, 20, now));
    REQUIRE_FALSE(turnover.isKept(Milliseconds(0), 0.0, 10, 10, now));
}

// Guards against a pause whose cause an operator can't tell.
TEST_CASE("The likely cause of a pause follows from the engine's condition", "[speeds]")
{
    REQUIRE(likelyPauseCause({2.4, 5000.0, 0.5}) == PauseCause::SlowEngine);
    REQUIRE(likelyPauseCause({1.0, 5000.0, 0.5}) == PauseCause::Prompts);
    REQUIRE(likelyPauseCause({1.0, 0.0, 0.99}) == PauseCause::Preemption);
    REQUIRE(toString(PauseCause::Preemption) == "preemption_suspected");
}
