#include "gateway/gateway.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds retention{100};

const SoftwareVersion v1("1");
const SoftwareVersion v2("2");

ServiceVersions makeVersions(std::size_t maximumVersions = 16, std::size_t maximumServices = 4096)
{
    return ServiceVersions({retention, maximumVersions, maximumServices});
}

VersionsByService inService(const std::set<SoftwareVersion> &versions)
{
    VersionsByService result;
    if (!versions.empty())
        result.emplace("s", versions);
    return result;
}

/** A service whose hosts and servers change, and the streams that its servers began. */
struct ServiceModel
{
    std::set<SoftwareVersion> present;
    VersionsByService stored;
    std::map<SoftwareVersion, Milliseconds> lastBegun;
    ServiceVersions host = makeVersions(3);

    void restartHosts(Milliseconds now)
    {
        this->host = makeVersions(3);
        this->host.applyHistory(this->stored, {}, now);
        this->host.setPresent(inService(this->present), now);
    }

    void changeServers(Milliseconds now)
    {
        this->present.clear();
        const int count = *rc::gen::inRange(0, 5);
        for (int index = 0; index < count; ++index)
            this->present.insert(SoftwareVersion(std::to_string(*rc::gen::inRange(0, 5))));
        this->host.setPresent(inService(this->present), now);
        this->stored = this->host.history(now);
    }

    void beginStreams(Milliseconds now)
    {
        for (const SoftwareVersion &version : this->present)
            this->lastBegun[version] = now;
    }

    std::set<SoftwareVersion> resumableVersions(Milliseconds now) const
    {
        std::set<SoftwareVersion> result;
        for (const auto &[version, begunAt] : this->lastBegun) {
            if (now - begunAt < retention)
                result.insert(version);
        }
        return result;
    }
};

} // namespace

// Guards against a stream that continues on another version than began it, because a host that
// knows only the present servers takes their version for the only one.
TEST_CASE("No other version than the sole one has begun a stream that may be resumed", "[runs]")
{
    rc::prop("across changes of the servers and restarts of all hosts", [] {
        ServiceModel model;
        model.restartHosts(Milliseconds(0));
        Milliseconds now{0};
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 70));
            const int event = *rc::gen::inRange(0, 4);
            if (event == 0)
                model.changeServers(now);
            else if (event == 1)
                model.restartHosts(now);
            else if (event == 2)
                model.host.advance(now);
            model.beginStreams(now);
            const auto sole = model.host.soleVersion("s", now);
            if (sole)
                RC_ASSERT(model.resumableVersions(now) == std::set<SoftwareVersion>{*sole});
        }
    });
}

// Guards against streams that can never be resumed although only one version has been in service
// for long.
TEST_CASE("The only version present is the sole one after the retention", "[runs]")
{
    rc::prop("whatever was before", [] {
        ServiceModel model;
        model.restartHosts(Milliseconds(0));
        Milliseconds now{0};
        const int steps = *rc::gen::inRange(1, 20);
        for (int step = 0; step < steps; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 70));
            model.changeServers(now);
        }
        model.present = {v1};
        model.host.setPresent(inService(model.present), now);
        now += retention;
        RC_ASSERT(model.host.soleVersion("s", now) == v1);
        // Hosts that start then find it in the history.
        model.host.advance(now);
        model.stored = model.host.history(now);
        RC_ASSERT(model.stored == inService({v1}));
        model.restartHosts(now);
        RC_ASSERT(model.host.soleVersion("s", now) == v1);
    });
}

// Guards against a version that counts as the sole one before the history is known, or although it
// is malformed or missing.
TEST_CASE("Nothing is sole while the history is unknown", "[runs]")
{
    ServiceVersions versions = makeVersions();
    versions.setPresent(inService({v1}), Milliseconds(0));
    REQUIRE_FALSE(versions.soleVersion("s", 10 * retention));
    SECTION("missing")
    {
        versions.applyHistory({}, {}, Milliseconds(0));
        REQUIRE_FALSE(versions.soleVersion("s", retention - Milliseconds(1)));
        REQUIRE(versions.soleVersion("s", retention) == v1);
        REQUIRE(versions.history(Milliseconds(0)) == inService({v1}));
    }
    SECTION("malformed")
    {
        versions.applyHistory({}, {"s"}, Milliseconds(0));
        versions.applyHistory(inService({v1}), {}, Milliseconds(1));
        REQUIRE_FALSE(versions.soleVersion("s", retention - Milliseconds(1)));
        REQUIRE(versions.history(Milliseconds(1)).empty());
        versions.advance(retention);
        REQUIRE(versions.soleVersion("s", retention) == v1);
        REQUIRE(versions.history(retention) == inService({v1}));
    }
    SECTION("with another version, which counts as recent from when it was read")
    {
        versions.applyHistory(inService({v1, v2}), {}, Milliseconds(5));
        REQUIRE_FALSE(versions.soleVersion("s", retention + Milliseconds(4)));
        REQUIRE(versions.soleVersion("s", retention + Milliseconds(5)) == v1);
    }
    SECTION("forgotten after a restore of the store")
    {
        versions.applyHistory(inService({v1}), {}, Milliseconds(0));
        REQUIRE(versions.soleVersion("s", Milliseconds(1)) == v1);
        versions.forgetHistory();
        REQUIRE_FALSE(versions.soleVersion("s", Milliseconds(2)));
        versions.applyHistory({}, {}, Milliseconds(3));
        REQUIRE(versions.soleVersion("s", Milliseconds(3)) == v1);
    }
}

// Guards against memory that grows with the versions and services that servers register, and
// against a version that counts as the sole one because others were not kept.
TEST_CASE("The versions and services that are kept are limited", "[runs]")
{
    ServiceVersions versions = makeVersions(2, 3);
    versions.applyHistory({}, {}, Milliseconds(0));
    Milliseconds now = 2 * retention;
    for (int number = 0; number < 100; ++number) {
        VersionsByService present;
        for (int service = 0; service <= number % 5; ++service) {
            for (int version = 0; version < 4; ++version)
                present[std::to_string(service)].insert(
                        SoftwareVersion(std::to_string(number) + "/" + std::to_string(version)));
        }
        versions.setPresent(present, ++now);
        REQUIRE(versions.serviceCount() <= 3);
        for (const auto &[service, stored] : versions.history(now))
            REQUIRE(stored.size() <= 2);
    }
    VersionsByService last;
    last["4"].insert(v1);
    versions.setPresent(last, now + Milliseconds(1));
    REQUIRE_FALSE(versions.soleVersion("4", now + Milliseconds(2)));
    now += Milliseconds(1) + retention;
    versions.advance(now);
    REQUIRE(versions.serviceCount() == 0);
    versions.setPresent(last, now);
    REQUIRE(versions.soleVersion("4", now) == v1);
}
