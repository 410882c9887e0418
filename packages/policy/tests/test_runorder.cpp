#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

BackendServer makeEngine(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("plan")};
    server.slots = 64;
    server.memoryTokens = 10'000;
    return server;
}

WorkRequest makeRun(const std::string &name, bool needsMoves)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.model = ModelName("plan");
    request.promptTokens = 999;
    request.maximumTokens = 1;
    request.needsMoves = needsMoves;
    return request;
}

} // namespace

// Load: engines whose memory is full while hosts learn of each other's work late. Guards against
// copies that go to the same full engine again and again, and against runs that may need some
// there.
TEST_CASE("An engine that refused for want of room gets no runs that may move for a time",
          "[runorder]")
{
    ServerPoolOptions options;
    options.host = HostName("h");
    ServerPool pool(options);
    pool.setBackendServers(std::vector{makeEngine("e0"), makeEngine("e1")}, Milliseconds(0));
    pool.recordFull(BackendServerName("e0"), Milliseconds(0));
    for (int number = 0; number < 4; ++number) {
        const auto placement =
                pool.place(makeRun("r" + std::to_string(number), true), Milliseconds(100));
        REQUIRE(placement);
        REQUIRE(placement->server.toString() == "e1");
    }
    // Requests that free their memory soon may go there, and all others after a time.
    REQUIRE(pool.place(makeRun("short", false), Milliseconds(100))->server.toString() == "e0");
    REQUIRE(pool.place(makeRun("after", true), Milliseconds(300))->server.toString() == "e0");
}
