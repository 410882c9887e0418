#include "platformfixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against a change that is reported as failed although it took effect.
TEST_CASE("After a lost reply to the head update the outcome is determined by reading the head",
          "[acceptance]")
{
    PlatformFixture platform;
    REQUIRE(platform.apply("first", {platform.model("m", "v1")}).isAccepted);
    // A removal stores no document, so the next write is the head update.
    platform.setFault(R"({"mode":"lose_reply"})");
    const ChangeOutcome outcome = platform.apply("second", {platform.removal("m")});
    REQUIRE(outcome.isAccepted);
    REQUIRE(outcome.revision == 2);
    REQUIRE(platform.head().revision == 2);
}

// Guards against a change that is reported as not run although part of it was stored.
TEST_CASE("While the platform is down a change fails as not run", "[acceptance]")
{
    PlatformFixture platform;
    platform.setFault(R"({"mode":"down"})");
    const ChangeOutcome outcome = platform.apply("first", {platform.model("m", "v1")});
    REQUIRE_FALSE(outcome.isAccepted);
    REQUIRE(outcome.reason.code == ErrorCode::PlatformUnavailable);
    REQUIRE(outcome.reason.runState == RunState::NotRun);
    platform.setFault(R"({"mode":"none"})");
    REQUIRE(platform.head().revision == 0);
    REQUIRE(platform.apply("first", {platform.model("m", "v1")}).revision == 1);
}

// Guards against a second write of the head while the outcome of the first one is still unknown.
TEST_CASE("A head update that times out and takes effect late is applied once", "[acceptance]")
{
    PlatformFixture platform;
    REQUIRE(platform.apply("first", {platform.model("m", "v1")}).isAccepted);
    // Longer than the 500 ms timeout of the client: the write is executed after the client gave up.
    platform.setFault(R"({"mode":"slow_writes","delay_ms":800})");
    const ChangeOutcome outcome = platform.apply("late", {platform.removal("m")});
    platform.setFault(R"({"mode":"none"})");
    REQUIRE(outcome.isAccepted);
    REQUIRE(outcome.revision == 2);
    REQUIRE(platform.head().revision == 2);
    // Repeating the change identifier neither fails nor applies the change twice.
    REQUIRE(platform.apply("late", {platform.removal("m")}).revision == 2);
    REQUIRE(platform.head().revision == 2);
}

// Guards against two accepted changes, or none, when operators change one document concurrently.
TEST_CASE("Of concurrent changes one is accepted and the others fail with its revision",
          "[acceptance]")
{
    PlatformFixture platform;
    const auto emptySource = std::make_shared<const ConfigurationSource>();
    std::vector<std::optional<ChangeOutcome>> outcomes(5);
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        const std::string number = std::to_string(index);
        platform.spawn(platform.store.accept(
                               platform.makeChange("c" + number, {platform.model("m", number)}),
                               emptySource),
                       outcomes[index]);
    }
    REQUIRE(platform.runUntil([&] {
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [](const auto &outcome) { return outcome.has_value(); });
    }));
    int acceptedCount = 0;
    for (const auto &outcome : outcomes) {
        acceptedCount += outcome->isAccepted ? 1 : 0;
        REQUIRE(outcome->revision == 1);
        REQUIRE((outcome->isAccepted || outcome->reason.code == ErrorCode::Conflict));
    }
    REQUIRE(acceptedCount == 1);
}

// Guards against a host that loses its revision in a platform outage, or stays on it afterwards.
TEST_CASE("A host keeps its revision during an outage and applies later changes", "[acceptance]")
{
    PlatformFixture platform;
    EntryState entry(Settings(), HostIncarnation("run"));
    ConfigurationFollower follower(entry, platform.client, platform.store, platform.context);
    REQUIRE(platform.apply("first", {platform.model("m", "v1")}).isAccepted);
    follower.start();
    const auto revision = [&] {
        return entry.configuration.current()->revision;
    };
    REQUIRE(platform.runUntil([&] { return revision() == 1; }));
    platform.setFault(R"({"mode":"down"})");
    REQUIRE_FALSE(platform.apply("second", {platform.model("m", "v2")}).isAccepted);
    REQUIRE(revision() == 1);
    platform.setFault(R"({"mode":"none"})");
    REQUIRE(platform.apply("second", {platform.model("m", "v2")}).isAccepted);
    REQUIRE(platform.runUntil([&] { return revision() == 2; }));
}
