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

// Guards against reverting to an older configuration, for example when a page of an old list
// arrives late.
TEST_CASE("The version never decreases", "[serving]")
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

// Guards against accepting a removed key beyond its bound on a host that is cut off from the store.
TEST_CASE("Keys are trusted from the request of their read for less than the bound", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(0)));
    state.confirmConfiguration(Milliseconds(1000));
    REQUIRE(state.areKeysTrusted(Milliseconds(5400)));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(5500)));
    // A late confirmation with an earlier instant extends nothing.
    state.confirmConfiguration(Milliseconds(500));
    REQUIRE_FALSE(state.areKeysTrusted(Milliseconds(5500)));
}

// Guards against hosts that stop serving although the operators disabled failing closed.
TEST_CASE("Keys stay trusted where the platform does not fail closed", "[serving]")
{
    ServingState state({false, Milliseconds(5000), Milliseconds(2000)});
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(0));
    REQUIRE(state.areKeysTrusted(Milliseconds(60000)));
}

// Guards against responding 404 or 401 to calls that a newer configuration permits.
TEST_CASE("Denials need a configuration that was confirmed within its bound", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(1000));
    REQUIRE(state.isConfigurationCurrent(Milliseconds(2999)));
    REQUIRE_FALSE(state.isConfigurationCurrent(Milliseconds(3000)));
}

// Guards against directing callers to a host that has no server list, is cut off or is stopping.
TEST_CASE("A host is ready with fresh keys and a server list until it drains", "[serving]")
{
    ServingState state(bounds);
    state.offer(makeConfiguration(1));
    state.confirmConfiguration(Milliseconds(0));
    REQUIRE_FALSE(state.isReady(Milliseconds(1)));
    state.confirmServers(Milliseconds(0));
    REQUIRE(state.isReady(Milliseconds(1)));
    REQUIRE_FALSE(state.isReady(Milliseconds(4500)));
    state.startDraining(Milliseconds(8000));
    REQUIRE_FALSE(state.isReady(Milliseconds(1)));
}
