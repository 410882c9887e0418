#include "crashingservers.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafrasyard;

namespace {

/** The required limits: a call may crash three servers, and reach three more after that. */
constexpr int crashesBeforeQuarantine = 3;
constexpr int retriesAfterQuarantine = 3;
constexpr int serverCount = 6;

Route makeRoute(CallKind kind, std::uint32_t attempts)
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = kind;
    route.maximumAttempts = attempts;
    route.timeout = Milliseconds(3000);
    route.targetLatency = Milliseconds(300);
    route.targetPause = Milliseconds(100);
    return route;
}

CrashPlan makeCrashPlan(const std::string &crashingPath)
{
    CrashPlan plan;
    plan.isCrash = [crashingPath](const std::string &request) {
        return request.find(" " + crashingPath) != std::string::npos;
    };
    plan.answer = "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n"
                  "Content-Length: 6\r\n\r\nanswer";
    return plan;
}

HttpRequest makeBodylessCall(const std::string &path, const std::string &id)
{
    HttpRequest request = GatewayFixture::makeCall(path, id);
    request.method = "GET";
    request.body.clear();
    return request;
}

/**
 * Sends a call repeatedly with a new identifier and query each time, and a harmless call after each
 * one.
 *
 * @return how many of the harmless calls succeeded.
 */
int sendRepeatedly(GatewayFixture &fixture, const HttpRequest &crashing, int times)
{
    int answered = 0;
    for (int time = 0; time < times; ++time) {
        HttpRequest request = crashing;
        const std::string id = "again-" + std::to_string(time);
        for (auto &[name, value] : request.headers)
            value = name == "Id" ? id : value;
        request.target += "?page=" + std::to_string(time);
        fixture.call(request);
        answered += fixture.call("/route/sound", "sound-" + std::to_string(time)).status == 200;
        fixture.runFor(Milliseconds(250));
    }
    return answered;
}

} // namespace

// Guards against a call without a body that crashes a server each time it is repeated.
TEST_CASE("A call without a body that crashes servers is quarantined", "[crash]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeRoute(CallKind::Idempotent, 2));
    CrashingServers servers(fixture, "server", serverCount, makeCrashPlan("/route/crash"));
    const int answered = sendRepeatedly(fixture, makeBodylessCall("/route/crash", "first"), 12);
    REQUIRE(servers.crashCount >= 2);
    REQUIRE(servers.crashCount <= crashesBeforeQuarantine + retriesAfterQuarantine);
    REQUIRE(answered == 12);
    REQUIRE(fixture.call(makeBodylessCall("/route/crash", "last")).status == 503);
}

// Guards against a crash that is missed because it happens after the response header.
TEST_CASE("A call that crashes servers during their response is quarantined", "[crash]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
    GatewayFixture fixture;
    fixture.addRoute(makeRoute(CallKind::NonIdempotent, 1));
    CrashPlan plan = makeCrashPlan("/route/crash");
    plan.bytesBefore = head + "Content-Length: 600\r\n\r\nansw";
    CrashingServers servers(fixture, "server", serverCount, plan);
    HttpRequest crashing = GatewayFixture::makeCall("/route/crash", "first");
    const int answered = sendRepeatedly(fixture, crashing, 12);
    REQUIRE(servers.crashCount >= 2);
    REQUIRE(servers.crashCount <= crashesBeforeQuarantine + retriesAfterQuarantine);
    REQUIRE(answered == 12);
    REQUIRE(fixture.call(crashing).status == 503);
}

// Guards against a stream that continues from the copy of its run and crashes that engine as well.
TEST_CASE("A stream that crashes engines is not continued from engine to engine", "[crash]")
{
    GatewayFixture fixture;
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100000;
    engine.supportsBackup = true;
    fixture.addRoute(makeRoute(CallKind::Stream, 1), engine);
    CrashPlan plan = makeCrashPlan("/route/crash");
    const std::string head =
            "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string event = "f\r\nid: 1\ndata: a\n\n\r\n";
    plan.bytesBefore = head + event;
    plan.answer = head + event + "0\r\n\r\n";
    CrashingServers servers(fixture, "engine", serverCount, plan);
    const HttpRequest crashing = GatewayFixture::makeCall("/route/crash", "first");
    fixture.call(crashing);
    REQUIRE(servers.crashCount >= 1);
    REQUIRE(servers.crashCount <= crashesBeforeQuarantine);
    REQUIRE(sendRepeatedly(fixture, crashing, 8) == 8);
    REQUIRE(servers.crashCount <= crashesBeforeQuarantine + retriesAfterQuarantine);
    REQUIRE(fixture.call(crashing).status == 503);
}
