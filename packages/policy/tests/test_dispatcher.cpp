#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace sassafrasyard;

namespace {

BackendServer makeEngine(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("plan")};
    server.slots = 1;
    return server;
}

WorkRequest makeRequest(const std::string &name)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.model = ModelName("plan");
    return request;
}

} // namespace

// Guards against two requests that share a slot while another server is idle.
TEST_CASE("Requests are assigned to free slots and wait when there are none", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{makeEngine("a"), makeEngine("b")}, Milliseconds(0));
    dispatcher.submit(makeRequest("1"), Milliseconds(0));
    dispatcher.submit(makeRequest("2"), Milliseconds(0));
    dispatcher.submit(makeRequest("3"), Milliseconds(0));
    const auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 2);
    REQUIRE(std::get<Assignment>(decisions[0]).server != std::get<Assignment>(decisions[1]).server);
    REQUIRE(dispatcher.waitingCount() == 1);
    dispatcher.recordFinished(RequestName("1"), WorkOutcome::Completed, Milliseconds(10));
    REQUIRE(dispatcher.takeDecisions().size() == 1);
}

// Guards against assigning requests to a backend server that has announced that it is leaving.
TEST_CASE("A leaving server gets no new requests", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{makeEngine("a")}, Milliseconds(0));
    dispatcher.setLeaving(BackendServerName("a"), true);
    dispatcher.submit(makeRequest("1"), Milliseconds(0));
    REQUIRE(dispatcher.takeDecisions().empty());
}

// Guards against queueing requests that can't be served before their deadline.
TEST_CASE("A saturated group refuses new requests at once with a retry delay", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{makeEngine("a")}, Milliseconds(0));
    dispatcher.submit(makeRequest("1"), Milliseconds(0));
    dispatcher.submit(makeRequest("2"), Milliseconds(0));
    for (int now = 10; now <= 1000; now += 10)
        dispatcher.advance(Milliseconds(now));
    const auto first = dispatcher.takeDecisions();
    REQUIRE(first.size() == 2);
    REQUIRE(std::get<Refusal>(first[1]).reason == ErrorCode::Overloaded);
    dispatcher.submit(makeRequest("3"), Milliseconds(1000));
    const auto second = dispatcher.takeDecisions();
    REQUIRE(second.size() == 1);
    REQUIRE(std::get<Refusal>(second[0]).retryAfter > Milliseconds(0));
    // The next request uses a freed slot at once.
    dispatcher.recordFinished(RequestName("1"), WorkOutcome::Completed, Milliseconds(1010));
    dispatcher.submit(makeRequest("4"), Milliseconds(1020));
    REQUIRE(std::holds_alternative<Assignment>(dispatcher.takeDecisions().at(0)));
}

// Guards against refusing high-priority requests while low-priority ones wait.
TEST_CASE("A full queue refuses the lowest priority first", "[policy]")
{
    DispatcherOptions options;
    options.queueLimit = 1;
    Dispatcher dispatcher(options);
    WorkRequest low = makeRequest("low");
    low.priority = Priority::Low;
    WorkRequest high = makeRequest("high");
    high.priority = Priority::High;
    dispatcher.submit(low, Milliseconds(0));
    dispatcher.submit(high, Milliseconds(0));
    const auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 1);
    REQUIRE(std::get<Refusal>(decisions[0]).request == low.name);
    for (int now = 10; now <= 600; now += 10)
        dispatcher.advance(Milliseconds(now));
    const auto later = dispatcher.takeDecisions();
    REQUIRE(later.size() == 1);
    REQUIRE(std::get<Refusal>(later[0]).reason == ErrorCode::NoBackendServer);
}

// Guards against head-of-line blocking of a short request by a long one that does not fit.
TEST_CASE("A queued long request does not block a short one that fits", "[policy]")
{
    DispatcherOptions options;
    options.placement =
            [](const WorkRequest &request,
               std::span<const PlacementCandidate> found) -> std::optional<std::size_t> {
        if (found.empty() || request.maximumTokens == 0)
            return std::nullopt;
        return 0;
    };
    Dispatcher dispatcher(options);
    dispatcher.setBackendServers(std::vector{makeEngine("a")}, Milliseconds(0));
    WorkRequest longRequest = makeRequest("long");
    longRequest.priority = Priority::High;
    dispatcher.submit(longRequest, Milliseconds(0));
    WorkRequest shortRequest = makeRequest("short");
    shortRequest.maximumTokens = 16;
    dispatcher.submit(shortRequest, Milliseconds(0));
    const auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 1);
    REQUIRE(std::get<Assignment>(decisions[0]).request == shortRequest.name);
}

// Guards against short requests waiting for a long stream, and against freeing a slot in use.
TEST_CASE("A short request uses the slot of a suspended long stream", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{makeEngine("a")}, Milliseconds(0));
    dispatcher.submit(makeRequest("long"), Milliseconds(0));
    dispatcher.recordProgress(RequestName("long"), 64, Milliseconds(500));
    WorkRequest shortRequest = makeRequest("short");
    shortRequest.maximumTokens = 16;
    dispatcher.takeDecisions();
    dispatcher.submit(shortRequest, Milliseconds(5000));
    auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 2);
    REQUIRE(std::get<Suspension>(decisions[0]).request == RequestName("long"));
    REQUIRE(std::get<Assignment>(decisions[1]).server == BackendServerName("a"));
    SECTION("the stream resumes when the short request ends")
    {
        dispatcher.recordFinished(shortRequest.name, WorkOutcome::Completed, Milliseconds(5100));
        decisions = dispatcher.takeDecisions();
        REQUIRE(decisions.size() == 1);
        REQUIRE(std::get<Resumption>(decisions[0]).request == RequestName("long"));
    }
    SECTION("the stream resumes at its suspension limit while the short request continues")
    {
        dispatcher.advance(Milliseconds(6249));
        REQUIRE(dispatcher.takeDecisions().empty());
        dispatcher.advance(Milliseconds(6250));
        decisions = dispatcher.takeDecisions();
        REQUIRE(decisions.size() == 1);
        REQUIRE(std::holds_alternative<Resumption>(decisions[0]));
    }
    SECTION("the slot stays in use when the stream ends first")
    {
        dispatcher.recordFinished(RequestName("long"), WorkOutcome::Cancelled, Milliseconds(5100));
        dispatcher.submit(makeRequest("early"), Milliseconds(5100));
        decisions = dispatcher.takeDecisions();
        REQUIRE(decisions.size() == 1);
        REQUIRE(std::holds_alternative<Refusal>(decisions[0]));
        dispatcher.recordFinished(shortRequest.name, WorkOutcome::Completed, Milliseconds(5200));
        dispatcher.submit(makeRequest("late"), Milliseconds(5200));
        decisions = dispatcher.takeDecisions();
        REQUIRE(decisions.size() == 1);
        REQUIRE(std::holds_alternative<Assignment>(decisions[0]));
    }
}

// Guards against placing two suspected requests on one server, where a crash could not be
// attributed to one of them, and against placing other requests next to a suspected one.
TEST_CASE("Suspected requests run on separate servers and are refused after a second crash",
          "[policy]")
{
    Dispatcher dispatcher({});
    std::vector servers{makeEngine("a"), makeEngine("b"), makeEngine("c")};
    for (BackendServer &server : servers)
        server.slots = 4;
    dispatcher.setBackendServers(servers, Milliseconds(0));
    const auto submit = [&](const std::string &name, std::uint64_t digest, int now) {
        WorkRequest request = makeRequest(name);
        request.requestDigest = digest;
        dispatcher.submit(request, Milliseconds(now));
        return dispatcher.takeDecisions();
    };
    const auto serverOf = [](const std::vector<Decision> &decisions) {
        return std::get<Assignment>(decisions.at(0)).server;
    };
    submit("1", 1, 0);
    submit("2", 2, 0);
    submit("3", 3, 0);
    for (const std::string name : {"1", "2", "3"})
        dispatcher.recordFinished(RequestName(name), WorkOutcome::ServerLost, Milliseconds(10));
    const auto first = serverOf(submit("1b", 1, 20));
    const auto second = serverOf(submit("2b", 2, 20));
    const auto third = serverOf(submit("3b", 3, 20));
    REQUIRE(first != second);
    REQUIRE(second != third);
    REQUIRE(first != third);
    WorkRequest fourth = makeRequest("4");
    fourth.requestDigest = 1;
    dispatcher.submit(fourth, Milliseconds(30));
    REQUIRE(dispatcher.waitingCount() == 1);
    dispatcher.recordFinished(RequestName("2b"), WorkOutcome::Completed, Milliseconds(40));
    REQUIRE(serverOf(dispatcher.takeDecisions()) == second);
    dispatcher.recordFinished(RequestName("4"), WorkOutcome::Completed, Milliseconds(50));
    REQUIRE(serverOf(submit("5", 5, 60)) == second);
    dispatcher.recordFinished(RequestName("1b"), WorkOutcome::ServerLost, Milliseconds(20'000));
    const auto refused = submit("6", 1, 20'010);
    REQUIRE(std::get<Refusal>(refused.at(0)).reason == ErrorCode::RequestQuarantined);
    REQUIRE(std::holds_alternative<Assignment>(submit("7", 2, 20'010).at(0)));
}

// Guards against a second attempt on the same slow server.
TEST_CASE("A hedge runs on another server", "[policy]")
{
    Dispatcher dispatcher({});
    std::vector servers{makeEngine("a"), makeEngine("b")};
    servers[1].slots = 2;
    dispatcher.setBackendServers(servers, Milliseconds(0));
    for (int number = 0; number < 60; ++number) {
        const std::string name = "warm-" + std::to_string(number);
        dispatcher.submit(makeRequest(name), Milliseconds(number));
        dispatcher.recordFirstToken(RequestName(name), Milliseconds(number + 100));
        dispatcher.recordFinished(RequestName(name), WorkOutcome::Completed, Milliseconds(number));
    }
    dispatcher.takeDecisions();
    dispatcher.submit(makeRequest("1"), Milliseconds(1000));
    const auto first = dispatcher.takeDecisions();
    REQUIRE_FALSE(dispatcher.takeHedge(RequestName("1"), Milliseconds(1050)));
    REQUIRE(dispatcher.takeHedge(RequestName("1"), Milliseconds(2000)));
    REQUIRE_FALSE(dispatcher.takeHedge(RequestName("1"), Milliseconds(3000)));
    WorkRequest hedge = makeRequest("2");
    hedge.hedgeOf = RequestName("1");
    dispatcher.submit(hedge, Milliseconds(2000));
    const auto second = dispatcher.takeDecisions();
    REQUIRE(std::get<Assignment>(first.at(0)).server != std::get<Assignment>(second.at(0)).server);
}

// Guards against starving low-priority requests: if they are refused on arrival while higher levels
// overload the servers, none waits for the placements that the queue reserves for their level.
TEST_CASE("The first request of a level is admitted whatever the backlog of higher levels",
          "[policy]")
{
    GroupLoad load{Milliseconds(550)};
    GroupLoad::LevelSizes waiting{1000, 0, 0, 0, 0, 0};
    for (int now = 0; now <= 2000; now += 10) {
        load.recordWaiting(waiting, Milliseconds(now));
        load.recordPlaced(0, waiting, Milliseconds(now));
    }
    REQUIRE_FALSE(load.isWaitTooLong(5, {1000.0, 0.0}, 8, Milliseconds(2000)));
    REQUIRE(load.isWaitTooLong(5, {1000.0, 5.0}, 8, Milliseconds(2000)));
    REQUIRE(load.isWaitTooLong(0, {0.0, 1000.0}, 8, Milliseconds(2000)));
    waiting[5] = 1;
    REQUIRE_FALSE(load.isBacklogTooLong(5, waiting, 8, Milliseconds(2000)));
    waiting[5] = 2;
    REQUIRE(load.isBacklogTooLong(5, waiting, 8, Milliseconds(2000)));
}

// Guards against a resumed stream that waits for its software version and blocks new streams, and
// against one that never gets a free slot because new streams are always placed first.
TEST_CASE("Requests of a software version and others do not block each other", "[order]")
{
    Dispatcher dispatcher({});
    std::vector<BackendServer> servers{makeEngine("a"), makeEngine("b")};
    servers[0].softwareVersion = SoftwareVersion("v1");
    servers[1].softwareVersion = SoftwareVersion("v2");
    dispatcher.setBackendServers(servers, Milliseconds(0));
    const auto makeBound = [](const std::string &name) {
        WorkRequest request = makeRequest(name);
        request.softwareVersion = SoftwareVersion("v1");
        return request;
    };
    dispatcher.submit(makeBound("bound-1"), Milliseconds(0));
    dispatcher.submit(makeBound("bound-2"), Milliseconds(0));
    dispatcher.submit(makeRequest("new-1"), Milliseconds(0));
    auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 2);
    REQUIRE(std::get<Assignment>(decisions[0]).server.toString() == "a");
    REQUIRE(std::get<Assignment>(decisions[1]).server.toString() == "b");

    // Of the slots that become free at "a", the waiting bound request gets one of the first two.
    dispatcher.submit(makeRequest("new-2"), Milliseconds(0));
    dispatcher.submit(makeRequest("new-3"), Milliseconds(0));
    std::set<std::string> placed;
    std::string atA = "bound-1";
    for (int turn = 1; turn <= 2; ++turn) {
        dispatcher.recordFinished(RequestName(atA), WorkOutcome::Completed, Milliseconds(turn));
        decisions = dispatcher.takeDecisions();
        REQUIRE(decisions.size() == 1);
        atA = std::get<Assignment>(decisions[0]).request.toString();
        placed.insert(atA);
    }
    REQUIRE(placed.contains("bound-2"));
}
