#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

Route makeStreamRoute(bool isResumable)
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.isResumable = isResumable;
    route.maximumAttempts = isResumable ? 2 : 1;
    route.timeout = Milliseconds(8000);
    route.targetLatency = Milliseconds(500);
    route.targetPause = Milliseconds(100);
    return route;
}

EngineProperties makeEngineProperties()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100000;
    engine.tokensPerEvent = 4;
    engine.supportsBackup = true;
    engine.supportsMoves = true;
    engine.copyLifetime = Milliseconds(200);
    return engine;
}

std::string eventText(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
}

std::string eventsUpTo(std::uint64_t last)
{
    std::string all;
    for (std::uint64_t number = 1; number <= last; ++number)
        all += eventText(number);
    return all;
}

std::uint64_t lastEventOf(const HttpRequest &request)
{
    return std::stoull(findHeader(request.headers, "Last").value_or("0"));
}

/** Returns a handler that streams the events after the last one of the request at an interval. */
GatewayFixture::Handler streamEvents(std::uint64_t last, Milliseconds interval)
{
    return [last, interval](const HttpRequest &request,
                            HttpResponder &responder) -> net::awaitable<void> {
        HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        for (std::uint64_t number = lastEventOf(request) + 1; isOpen && number <= last; ++number) {
            co_await GatewayFixture::pause(interval);
            isOpen = co_await responder.write(eventText(number));
        }
        if (isOpen)
            co_await responder.finish();
        else
            responder.abort();
    };
}

/**
 * Returns a handler that streams some events and half of the next one, then closes the connection.
 */
GatewayFixture::Handler abortAfterEvents(std::uint64_t count)
{
    return [count](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
        HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        co_await responder.startStream(200, headers);
        const std::string half = eventText(count + 1).substr(0, 6);
        co_await responder.write(eventsUpTo(count) + half);
        co_await GatewayFixture::pause(Milliseconds(30));
        responder.abort();
    };
}

} // namespace

// Guards against events that are lost, duplicated or modified.
TEST_CASE("A stream is forwarded byte for byte", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    fixture.addServer("a", streamEvents(20, Milliseconds(1)));
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == eventsUpTo(20));
}

// Guards against a stream that looks complete although its engine was lost.
TEST_CASE("A stream that can't be continued does not look complete", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    fixture.addServer("a", abortAfterEvents(3));
    REQUIRE(fixture.call("/stream/", "r1").status == 0);
    REQUIRE(fixture.received.size() == 1);
}

// Guards against a partial event that is joined with the events of the next run.
TEST_CASE("A resumable stream continues after its last complete event", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(true), makeEngineProperties());
    int calls = 0;
    const auto first = abortAfterEvents(3);
    const auto second = streamEvents(8, Milliseconds(1));
    const auto handler = [&](const HttpRequest &request, HttpResponder &responder) {
        return ++calls == 1 ? first(request, responder) : second(request, responder);
    };
    fixture.addServer("a", handler);
    fixture.addServer("b", handler);
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.body == eventsUpTo(8));
    REQUIRE(fixture.received.size() == 2);
    REQUIRE(lastEventOf(fixture.received[1].request) == 3);
    REQUIRE(fixture.received[0].server != fixture.received[1].server);
}

// Guards against a long stream that is lost with its engine although a copy of its run exists.
TEST_CASE("A stream whose engine is lost continues from the copy of its run", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    int calls = 0;
    const auto first = abortAfterEvents(3);
    const auto second = streamEvents(8, Milliseconds(1));
    const auto handler = [&](const HttpRequest &request, HttpResponder &responder) {
        return ++calls == 1 ? first(request, responder) : second(request, responder);
    };
    fixture.addServer("a", handler);
    fixture.addServer("b", handler);
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.body == eventsUpTo(8));
    REQUIRE(fixture.received.size() == 2);
    REQUIRE(findHeader(fixture.received[0].request.headers, "Backup"));
    REQUIRE(findHeader(fixture.received[1].request.headers, "Source") == "r1");
}

// Guards against a stream that stays on a leaving engine until that engine stops.
TEST_CASE("A stream moves off a leaving engine without missing or duplicate events", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    fixture.answerStop = [](const MoveOrder &order) {
        return RunStopResult{RunStopResult::State::Stopped, MemoryCopy{order.sourceAddress, "kept"},
                             false};
    };
    std::string leaving;
    const auto events = streamEvents(120, Milliseconds(10));
    for (const std::string name : {"a", "b"}) {
        fixture.addServer(name,
                          [&, name](const HttpRequest &request,
                                    HttpResponder &responder) -> net::awaitable<void> {
                              if (leaving.empty()) {
                                  leaving = name;
                                  net::co_spawn(
                                          fixture.context,
                                          [&fixture, name]() -> net::awaitable<void> {
                                              co_await GatewayFixture::pause(Milliseconds(200));
                                              fixture.markLeaving(name);
                                          },
                                          net::detached);
                              }
                              co_await events(request, responder);
                          });
    }
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.body == eventsUpTo(120));
    REQUIRE(fixture.received.size() == 2);
    REQUIRE(lastEventOf(fixture.received[1].request) > 0);
    REQUIRE(findHeader(fixture.received[1].request.headers, "Source") == "r1");
}

// Guards against a stream that is lost because the engine with its copy refuses the continuation.
TEST_CASE("A stream returns to its engine when the continuation is refused", "[streams]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    fixture.allowsMove = [](const MoveOrder &) {
        return false;
    };
    fixture.answerStop = [](const MoveOrder &order) {
        return RunStopResult{RunStopResult::State::Stopped, MemoryCopy{order.sourceAddress, "kept"},
                             false};
    };
    std::string leaving;
    const auto events = streamEvents(100, Milliseconds(10));
    for (const std::string name : {"a", "b"}) {
        fixture.addServer(name,
                          [&, name](const HttpRequest &request,
                                    HttpResponder &responder) -> net::awaitable<void> {
                              if (findHeader(request.headers, "Source") == "r1") {
                                  co_await responder.send(GatewayFixture::refusal(request));
                                  co_return;
                              }
                              leaving = name;
                              net::co_spawn(
                                      fixture.context,
                                      [&fixture, name]() -> net::awaitable<void> {
                                          co_await GatewayFixture::pause(Milliseconds(100));
                                          fixture.markLeaving(name);
                                      },
                                      net::detached);
                              co_await events(request, responder);
                          });
    }
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.body == eventsUpTo(100));
    REQUIRE(fixture.received.size() >= 3);
    REQUIRE(fixture.received[1].server != fixture.received[0].server);
    REQUIRE(fixture.received[2].server == fixture.received[0].server);
}

// Guards against runs that are lost with their engine because it does not support backups.
TEST_CASE("A run without a backup is copied by moves at intervals", "[streams]")
{
    GatewayFixture fixture;
    EngineProperties engine = makeEngineProperties();
    engine.supportsBackup = false;
    fixture.addRoute(makeStreamRoute(false), engine);
    fixture.answerStop = [](const MoveOrder &order) {
        return RunStopResult{RunStopResult::State::Stopped, MemoryCopy{order.sourceAddress, "kept"},
                             false};
    };
    std::string leaving;
    const auto events = streamEvents(200, Milliseconds(10));
    for (const std::string name : {"a", "b"}) {
        fixture.addServer(name,
                          [&, name](const HttpRequest &request,
                                    HttpResponder &responder) -> net::awaitable<void> {
                              if (leaving.empty()) {
                                  leaving = name;
                                  net::co_spawn(
                                          fixture.context,
                                          [&fixture, name]() -> net::awaitable<void> {
                                              co_await GatewayFixture::pause(Milliseconds(1400));
                                              fixture.markLeaving(name);
                                          },
                                          net::detached);
                              }
                              co_await events(request, responder);
                          });
    }
    const HttpResponse answer = fixture.call("/stream/", "r1");
    REQUIRE(answer.body == eventsUpTo(200));
    REQUIRE(fixture.moves.size() >= 2);
    REQUIRE(findHeader(fixture.received.back().request.headers, "Source") == "handle");
}

// Guards against streams that are lost because the engine with their copy has a call limit, and
// against continuations that are not counted under it.
TEST_CASE("Some streams may continue at an engine beyond its call limit", "[streams]")
{
    constexpr int streamCount = 5;
    constexpr int permittedBeyond = 2;
    GatewayFixture fixture;
    fixture.addRoute(makeStreamRoute(false), makeEngineProperties());
    int continued = 0;
    fixture.addServer(
            "a", [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
                co_await responder.startStream(200, headers);
                co_await responder.write(eventsUpTo(3));
                co_await GatewayFixture::pause(Milliseconds(200));
                responder.abort();
            });
    fixture.addServer(
            "b", [&](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                if (!findHeader(request.headers, "Source")) {
                    co_await responder.send(GatewayFixture::refusal(request));
                    co_return;
                }
                ++continued;
                HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
                headers.emplace_back("Limit", "0");
                co_await responder.startStream(200, headers);
                for (std::uint64_t number = lastEventOf(request) + 1; number <= 8; ++number)
                    co_await responder.write(eventText(number));
                co_await responder.finish();
            });
    const auto answers = fixture.callConcurrently("/stream/", streamCount, [&fixture] {
        const std::vector<CallLimitMessage> limits{{"b/0", true, 0.0, 0, 1}};
        fixture.serverLimiter().recordMessages(limits);
    });
    const auto complete =
            std::count_if(answers.begin(), answers.end(), [](const HttpResponse &answer) {
                return answer.status == 200 && answer.body == eventsUpTo(8);
            });
    REQUIRE(complete == permittedBeyond);
    REQUIRE(continued == permittedBeyond);
}
