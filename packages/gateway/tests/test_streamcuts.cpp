#include "gatewayfixture.h"
#include "logcapture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

/** The number of events that the first engine sends before it breaks the stream off. */
constexpr std::uint64_t sentEvents = 5;
constexpr Milliseconds eventInterval{20};

Route makeStreamRoute(Milliseconds timeout = Milliseconds(8000))
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.maximumAttempts = 1;
    route.timeout = timeout;
    route.targetLatency = Milliseconds(500);
    route.targetPause = Milliseconds(100);
    return route;
}

EngineProperties makeEngineProperties()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100'000;
    engine.tokensPerEvent = 4;
    engine.supportsBackup = true;
    engine.supportsMoves = true;
    engine.copyLifetime = Milliseconds(2000);
    return engine;
}

/** Returns a handler that sends some events, waits, and closes the stream without its end. */
GatewayFixture::Handler breakOffAfter(Milliseconds pause)
{
    return [pause](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
        if (findHeader(request.headers, "Source")) {
            HttpResponse refusal = GatewayFixture::refusal(request);
            co_await responder.send(std::move(refusal));
            co_return;
        }
        HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        co_await responder.startStream(200, headers);
        for (std::uint64_t number = 1; number <= sentEvents; ++number) {
            co_await GatewayFixture::pause(eventInterval);
            const std::string event = "id: " + std::to_string(number) + "\ndata: t\n\n";
            co_await responder.write(event);
        }
        co_await GatewayFixture::pause(pause);
        responder.abort();
    };
}

/** Runs one stream that is cut, and returns its log line. */
std::string cutLine(GatewayFixture &fixture)
{
    const LogCapture capture;
    REQUIRE(fixture.call("/stream/", "r1").status == 0);
    const auto lines = capture.lines("stream_cut");
    REQUIRE(lines.size() == 1);
    REQUIRE(LogCapture::field(lines[0], "request") == "r1");
    REQUIRE(LogCapture::field(lines[0], "events") == std::to_string(sentEvents));
    return lines[0];
}

Milliseconds timeField(const std::string &line, std::string_view name)
{
    return Milliseconds(std::stoll(LogCapture::field(line, name)));
}

} // namespace

// Guards against a log that does not tell an engine which breaks off from one that is given up.
TEST_CASE("The log tells that a usable engine broke a stream off", "[cuts]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(), makeEngineProperties());
    fixture.addServer("a", breakOffAfter(Milliseconds(0)));
    const std::string line = cutLine(fixture);
    CHECK(LogCapture::field(line, "decision") == "no_continuation");
    CHECK(LogCapture::field(line, "closed_by") == "connection");
    CHECK(LogCapture::field(line, "engine") == "usable");
    CHECK(LogCapture::field(line, "lost_server") == "a");
    CHECK(LogCapture::field(line, "backup") == "none");
    CHECK(timeField(line, "event_age_ms") < Milliseconds(500));
    CHECK(LogCapture::field(line, "reload_age_ms") == "none");
    CHECK(LogCapture::field(line, "stop_age_ms") == "none");
    CHECK(LogCapture::field(line, "late_age_ms") == "none");
    CHECK(LogCapture::field(line, "chunked") == "0");
}

// Guards against a log that does not tell which engine refused to continue a run that was lost.
TEST_CASE("The log tells that another engine refused to continue a stream", "[cuts]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(), makeEngineProperties());
    fixture.addServer("a", breakOffAfter(Milliseconds(500)));
    fixture.addServer("b", breakOffAfter(Milliseconds(500)));
    const std::string line = cutLine(fixture);
    CHECK(LogCapture::field(line, "decision") == "no_continuation");
    CHECK(LogCapture::field(line, "backup") == "usable");
    CHECK(LogCapture::field(line, "lost_server") != LogCapture::field(line, "backend_server"));
    CHECK(LogCapture::field(line, "parts") == "2");
}

// Guards against a log that does not tell a silent engine from one whose connection was lost.
TEST_CASE("The log tells that a stream's time was over while its engine was silent", "[cuts]")
{
    constexpr Milliseconds timeout{2000};
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(timeout), makeEngineProperties());
    fixture.addServer("a", breakOffAfter(2 * timeout));
    const std::string line = cutLine(fixture);
    CHECK(LogCapture::field(line, "decision") == "deadline");
    CHECK(LogCapture::field(line, "engine") == "usable");
    CHECK(timeField(line, "event_age_ms") > timeout / 2);
    CHECK(timeField(line, "left_ms") == Milliseconds(0));
}

// Guards against a log that does not tell a leaving engine from a usable one, nor how long ago the
// configuration changed.
TEST_CASE("The log tells that the engine of a cut stream was leaving beside a change", "[cuts]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(), makeEngineProperties());
    fixture.addServer("a", breakOffAfter(Milliseconds(300)));
    net::co_spawn(
            fixture.context,
            [&]() -> net::awaitable<void> {
                co_await GatewayFixture::pause(Milliseconds(200));
                fixture.addRoute(makeStreamRoute(), makeEngineProperties());
                fixture.markLeaving("a");
            },
            net::detached);
    const std::string line = cutLine(fixture);
    CHECK(LogCapture::field(line, "engine") == "leaving");
    CHECK(LogCapture::field(line, "version") == "1");
    CHECK(LogCapture::field(line, "version_in_force") == "2");
    CHECK(timeField(line, "version_age_ms") < timeField(line, "age_ms"));
}

// Guards against a log that does not tell a host without processor time from a silent engine.
TEST_CASE("A timer that fires late is recorded with its delay", "[cuts]")
{
    HostChanges changes;
    CHECK_FALSE(changes.recordTimer(Milliseconds(1000), Milliseconds(1299)));
    CHECK_FALSE(changes.lateAt);
    CHECK(changes.recordTimer(Milliseconds(2000), Milliseconds(2700)));
    CHECK(changes.lateAt == Milliseconds(2700));
    CHECK(changes.lateBy == Milliseconds(700));
}

// Guards against a log that does not tell by which evidence a run was taken for ended, nor whether
// its own connection was open then.
TEST_CASE("The log tells how a request to stop a run ended", "[cuts]")
{
    constexpr Milliseconds silence{2500};
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(), makeEngineProperties());
    fixture.answerStop = [](const MoveOrder &) {
        return RunStopResult{RunStopResult::State::Stopped, MemoryCopy{}, false};
    };
    fixture.addServer("a", breakOffAfter(silence));
    fixture.addServer("b", breakOffAfter(silence));
    const LogCapture capture;
    REQUIRE(fixture.call("/stream/", "r1").status == 0);
    const auto stops = capture.lines("run_stop_ended");
    REQUIRE_FALSE(stops.empty());
    CHECK(LogCapture::field(stops.back(), "result") == "ended");
    CHECK(LogCapture::field(stops.back(), "outcome") == "stopped");
    CHECK(LogCapture::field(stops.back(), "connection") == "open");
    const auto cuts = capture.lines("stream_cut");
    REQUIRE(cuts.size() == 1);
    CHECK(LogCapture::field(cuts[0], "stop_outcome") == "stopped");
}
