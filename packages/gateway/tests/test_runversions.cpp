#include "gateway/gateway.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

using namespace sassafrasyard;

namespace {

RunKey keyOf(int number)
{
    return RunKey::of(ClientAccountName("stores"), "call-" + std::to_string(number));
}

} // namespace

// Guards against a caller who resumes the stream of another account that chose the same identifier.
TEST_CASE("Streams of different accounts have different keys", "[order]")
{
    const RunKey key = RunKey::of(ClientAccountName("stores"), "call-1");
    REQUIRE(key == RunKey::of(ClientAccountName("stores"), "call-1"));
    REQUIRE(key != RunKey::of(ClientAccountName("yards"), "call-1"));
    REQUIRE(key != RunKey::of(ClientAccountName("storesc"), "all-1"));
    REQUIRE(RunKey::of(ClientAccountName(""), "1:ab") != RunKey::of(ClientAccountName("1:a"), "b"));
    // Hosts of different releases must agree: the first 128 bits of SHA-256 of "6:storescall-1".
    REQUIRE(key == RunKey{0x8e9b41267f7a1adc, 0x8eddd025c3af8209});
}

// Guards against a resumed stream that continues on a version that was recorded for another run,
// for another service, or longer ago than a caller may resume it.
TEST_CASE("A run has the version that was last recorded for it", "[order]")
{
    rc::prop("records", [] {
        struct Recorded
        {
            std::string service;
            SoftwareVersion version;
            Milliseconds at{0};
        };
        auto now = std::make_shared<Milliseconds>(1000);
        const RunVersionsOptions options{1000, Milliseconds(50)};
        RunVersions versions(Clock::manual(now), options);
        std::map<int, Recorded> expected;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            *now += Milliseconds(*rc::gen::inRange(0, 20));
            const int run = *rc::gen::inRange(0, 6);
            const std::string service = *rc::gen::element<std::string>("plan", "tag");
            const SoftwareVersion version(*rc::gen::element<std::string>("v1", "v2", "v3"));
            versions.record(keyOf(run), service, version);
            expected[run] = {service, version, *now};
            for (int other = 0; other < 7; ++other) {
                const auto known = expected.find(other);
                for (const std::string name : {"plan", "tag"}) {
                    const bool isKnown = known != expected.end() && known->second.service == name
                            && *now - known->second.at < options.lifetime;
                    const auto found = versions.findRecorded(keyOf(other), name);
                    RC_ASSERT(found.has_value() == isKnown);
                    if (isKnown)
                        RC_ASSERT(*found == known->second.version);
                }
            }
            RC_ASSERT(versions.versionCount() <= versions.size());
        }
    });
}

// Guards against memory that grows with the calls or with the versions that servers state.
TEST_CASE("The number of kept runs is limited and the oldest are dropped", "[order]")
{
    auto now = std::make_shared<Milliseconds>(1000);
    RunVersions versions(Clock::manual(now), {4, Milliseconds(1000)});
    for (int run = 0; run < 10; ++run)
        versions.record(keyOf(run), "plan", SoftwareVersion("v" + std::to_string(run)));
    REQUIRE(versions.size() == 4);
    REQUIRE(versions.versionCount() == 4);
    REQUIRE_FALSE(versions.findRecorded(keyOf(5), "plan"));
    REQUIRE(versions.findRecorded(keyOf(6), "plan") == SoftwareVersion("v6"));

    versions.record(keyOf(6), "plan", SoftwareVersion("v6"));
    versions.record(keyOf(10), "plan", SoftwareVersion("v10"));
    REQUIRE(versions.findRecorded(keyOf(6), "plan") == SoftwareVersion("v6"));
    REQUIRE_FALSE(versions.findRecorded(keyOf(7), "plan"));

    *now += Milliseconds(1000);
    REQUIRE_FALSE(versions.findRecorded(keyOf(10), "plan"));
    REQUIRE(versions.size() == 0);
    REQUIRE(versions.versionCount() == 0);
}

// Guards against a search for a resumed run that misses what this host recorded itself.
TEST_CASE("A search finds the runs of this host", "[order]")
{
    auto now = std::make_shared<Milliseconds>(1000);
    RunVersions versions(Clock::manual(now));
    versions.record(keyOf(1), "plan", SoftwareVersion("v1"));
    std::optional<SoftwareVersion> known;
    std::optional<SoftwareVersion> unknown = SoftwareVersion("unset");
    boost::asio::io_context context;
    const auto search = [&]() -> boost::asio::awaitable<void> {
        known = co_await versions.find(keyOf(1), "plan", *now);
        unknown = co_await versions.find(keyOf(2), "plan", *now);
    };
    boost::asio::co_spawn(context, search, boost::asio::detached);
    context.run();
    REQUIRE(known == SoftwareVersion("v1"));
    REQUIRE_FALSE(unknown);
}
