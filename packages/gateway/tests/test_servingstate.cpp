#include "gateway/gateway.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

constexpr ServingBounds bounds{true, Milliseconds(5000), Milliseconds(2000)};

ServingConfiguration makeConfiguration(std::uint64_t version)
{
    ServingConfiguration configuration;
    configuration.version = version;
    return configuration;
}

} // namespace

// Guards against a configuration that goes back, as when a page of an old list comes late.
TEST_CASE("Versions never go back", "[serving]")
{
    ServingState state(bounds);
    std::vector<std::uint64_t> applied;
    state.addListener([&](const ServingConfiguration &configuration) {
        applied.push_back(configuration.version);
    });
    REQUIRE(state.offer(makeConfiguration(4)));
    REQUIRE_FALSE(state.offer(makeConfiguration(3)));
    REQUIRE_FALSE(state.offer(makeConfiguration(4)));
    REQUIRE(state.offer(makeConfiguration(9)));
    REQUIRE(state.current()->version == 9);
    REQUIRE(applied == std::vector<std::uint64_t>{4, 9});
}

// Guards against a removed key that is honoured past its bound on a host cut off from the store.
TEST_CASE("Keys are trusted from when they were asked for, and not up to the bound", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(0)));
    state.confirmConfiguration(Milliseconds(1000));
    REQUIRE(state.areKeysTrusted(Milliseconds(5400)));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(5500)));
    // An older confirmation that comes late renews nothing.
    state.confirmConfiguration(Milliseconds(500));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(5500)));
}

// Guards against hosts that stop to serve where the operators let them go on.
TEST_CASE("Keys stay trusted where the platform does not fail closed", "[serving]")
{
    ServingState state({false, Milliseconds(5000), Milliseconds(2000)});
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(0));
    REQUIRE(state.areKeysTrusted(Milliseconds(60000)));
}

// Guards against a 404 or 401 for what a newer configuration allows.
TEST_CASE("Denials need a configuration that was confirmed within its bound", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(1000));
    REQUIRE(state.isConfigurationCurrent(Milliseconds(2999)));
    REQUIRE_FALSE(state.isConfigurationCurrent(Milliseconds(3000)));
}

// Guards against callers that are sent to a host that knows no servers, is cut off or is stopping.
TEST_CASE("A host is ready with fresh keys and a server list until it drains", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(0));
    REQUIRE_FALSE(state.isReady(Milliseconds(1)));
    state.confirmServers(Milliseconds(0));
    REQUIRE(state.isReady(Milliseconds(1)));
    REQUIRE_FALSE(state.isReady(Milliseconds(4500)));
    state.startDraining();
    REQUIRE_FALSE(state.isReady(Milliseconds(1)));
}
