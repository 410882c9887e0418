#include "policy/policy.h"

#include "policy/pool/returnlimit.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

BackendServer makeServer(const std::string &name)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.models = {ModelName("m")};
    server.slots = 16;
    return server;
}

WorkRequest makeRequest(int number)
{
    WorkRequest request;
    request.name = RequestName("r" + std::to_string(number));
    request.model = ModelName("m");
    request.promptTokens = 100;
    request.maximumTokens = 10;
    return request;
}

int placeAll(ServerPool &pool, int count, const BackendServerName &server, Milliseconds now)
{
    static int placed = 0;
    int onServer = 0;
    for (int number = 0; number < count; ++number) {
        const auto placement = pool.place(makeRequest(++placed), now);
        onServer += placement && placement->server == server ? 1 : 0;
    }
    return onServer;
}

} // namespace

// Guards against a limit that stays or that jumps to the full load.
TEST_CASE("The limit of a returned server doubles and then ends", "[returnlimit]")
{
    REQUIRE(returnLimit(Milliseconds(-5)) == 1U);
    REQUIRE(returnLimit(Milliseconds(0)) == 1U);
    REQUIRE(returnLimit(Milliseconds(500)) == 2U);
    REQUIRE(returnLimit(Milliseconds(1999)) == 8U);
    REQUIRE_FALSE(returnLimit(Milliseconds(2000)));
}

// Load: a failure domain returns from its evacuation and its idle servers attract all new requests.
TEST_CASE("A returned server gets requests gradually while others can take them", "[returnlimit]")
{
    ServerPoolOptions options;
    options.host = HostName("h");
    ServerPool pool(options);
    const std::vector<BackendServer> servers{makeServer("a"), makeServer("b")};
    pool.setBackendServers(servers, Milliseconds(0));
    const BackendServerName returned("b");
    pool.startGradually(returned, Milliseconds(0));
    REQUIRE(placeAll(pool, 8, returned, Milliseconds(0)) == 1);
    REQUIRE(placeAll(pool, 2, returned, Milliseconds(500)) == 1);
    REQUIRE(placeAll(pool, 6, returned, Milliseconds(2500)) == 6);
}

// Guards against refusals because all servers of a model have returned at the same time.
TEST_CASE("A returned server takes more if there is no other", "[returnlimit]")
{
    ServerPoolOptions options;
    options.host = HostName("h");
    ServerPool pool(options);
    const std::vector<BackendServer> servers{makeServer("a")};
    pool.setBackendServers(servers, Milliseconds(0));
    pool.startGradually(BackendServerName("a"), Milliseconds(0));
    REQUIRE(placeAll(pool, 5, BackendServerName("a"), Milliseconds(0)) == 5);
}
