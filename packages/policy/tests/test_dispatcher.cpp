#include "policy/policy.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

BackendServer engine(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("plan")};
    server.slots = 1;
    return server;
}

WorkRequest work(const std::string &name)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.model = ModelName("plan");
    return request;
}

} // namespace

// Guards against two requests sent to one slot while another server is idle.
TEST_CASE("Requests go to servers with free slots and wait otherwise", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{engine("a"), engine("b")}, Milliseconds(0));
    dispatcher.submit(work("1"), Milliseconds(0));
    dispatcher.submit(work("2"), Milliseconds(0));
    dispatcher.submit(work("3"), Milliseconds(0));
    const auto decisions = dispatcher.takeDecisions();
    REQUIRE(decisions.size() == 2);
    REQUIRE(std::get<Assignment>(decisions[0]).server != std::get<Assignment>(decisions[1]).server);
    REQUIRE(dispatcher.waitingCount() == 1);
    dispatcher.recordFinished(RequestName("1"), WorkOutcome::Completed, Milliseconds(10));
    REQUIRE(dispatcher.takeDecisions().size() == 1);
}

// Guards against new work for a backend server that said it is leaving.
TEST_CASE("A leaving server gets no new work", "[policy]")
{
    Dispatcher dispatcher({});
    dispatcher.setBackendServers(std::vector{engine("a")}, Milliseconds(0));
    dispatcher.setLeaving(BackendServerName("a"), true);
    dispatcher.submit(work("1"), Milliseconds(0));
    REQUIRE(dispatcher.takeDecisions().empty());
}
