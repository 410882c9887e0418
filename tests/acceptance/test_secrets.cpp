#include "platformfixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against the operator token or the position secret in output that operators store or share.
TEST_CASE("State dump, status and metrics contain no secret", "[acceptance]")
{
    PlatformFixture platform;
    Settings settings;
    settings.host = HostName("host");
    settings.peerAddress = "127.0.0.1:0";
    settings.positionSecret = "position-secret-0";
    settings.operatorToken = "operator-token-00";
    ActorRuntime runtime(1);
    EntryState entry(settings, HostIncarnation("run"));
    DispatchService dispatch(entry, runtime, platform.context);
    BackendMonitor monitor(entry, dispatch, platform.context);
    PeerHooks hooks;
    hooks.registry = objectRegistry(platform.client, entry);
    PeerService peers(entry, dispatch, runtime, platform.context, hooks);
    StatusHandler handler(entry, monitor, peers, platform.context);
    for (const char *target : {"/v1/dump", "/v1/status", "/v1/addresses", "/metrics"}) {
        HttpRequest request;
        request.target = target;
        const auto response = platform.run(handler.handleRequest(request));
        REQUIRE(response);
        REQUIRE(response->status == 200);
        REQUIRE(response->body.find(settings.positionSecret) == std::string::npos);
        REQUIRE(response->body.find(settings.operatorToken) == std::string::npos);
    }
}
