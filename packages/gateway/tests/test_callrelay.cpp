#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

Route makePlainRoute(CallKind kind, std::uint32_t attempts)
{
    Route route;
    route.name = "plain";
    route.pathPrefix = "/plain/";
    route.kind = kind;
    route.maximumAttempts = attempts;
    route.timeout = Milliseconds(2000);
    route.targetLatency = Milliseconds(150);
    return route;
}

GatewayFixture::Handler answerWithStatus(int status)
{
    return [status](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
        co_await responder.send(GatewayFixture::signedAnswer(request, status));
    };
}

GatewayFixture::Handler refuseBeforeRun()
{
    return [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
        co_await responder.send(GatewayFixture::refusal(request));
    };
}

GatewayFixture::Handler abortConnection()
{
    return [](const HttpRequest &, HttpResponder &responder) -> net::awaitable<void> {
        responder.abort();
        co_return;
    };
}

} // namespace

// Guards against an answer that is changed on its way.
TEST_CASE("A server's answer is passed on with its status and body", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", answerWithStatus(418));
    const HttpResponse answer = fixture.call("/plain/x?y=1", "r1");
    REQUIRE(answer.status == 418);
    REQUIRE(answer.body == "answer");
    REQUIRE(fixture.received.size() == 1);
    REQUIRE(fixture.received[0].request.target == "/plain/x?y=1");
    REQUIRE(fixture.received[0].request.body == "body of r1");
    REQUIRE(findHeader(fixture.received[0].request.headers, "Server-Name") == "a");
}

// Guards against an order that runs at two servers because the first one broke off.
TEST_CASE("An order whose server breaks off is not sent again", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 3));
    fixture.addServer("a", abortConnection());
    fixture.addServer("b", abortConnection());
    const HttpResponse answer = fixture.call("/plain/", "r1");
    REQUIRE(answer.status == 502);
    REQUIRE(fixture.received.size() == 1);
}

// Guards against an order that is given up although a server stated that it did not run it.
TEST_CASE("An order that a server refused before running goes to another one", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", refuseBeforeRun());
    fixture.addServer("b", answerWithStatus(200));
    for (int call = 0; call < 6; ++call)
        REQUIRE(fixture.call("/plain/", "r" + std::to_string(call)).status == 200);
    REQUIRE(fixture.callCount("b") == 6);
}

// Guards against a refusal without the time to come back, or one that says the call may have run.
TEST_CASE("A call that all servers refuse is answered as not run", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", refuseBeforeRun());
    fixture.addServer("b", refuseBeforeRun());
    const HttpResponse answer = fixture.call("/plain/", "r1");
    REQUIRE(answer.status == 503);
    REQUIRE(findHeader(answer.headers, "Retry-After"));
    REQUIRE(answer.body.find("not_run") != std::string::npos);
}

// Guards against failures of a faulty server that reach callers of calls that may run again.
TEST_CASE("A call that may run twice is tried at a second server after a failure", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::Idempotent, 2));
    fixture.addServer("a", answerWithStatus(500));
    fixture.addServer("b", answerWithStatus(200));
    for (int call = 0; call < 6; ++call)
        REQUIRE(fixture.call("/plain/", "r" + std::to_string(call)).status == 200);
}

// Guards against a success that no server signed.
TEST_CASE("An answer without the server's signature is not passed on", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer(
            "a", [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                HttpResponse response = GatewayFixture::signedAnswer(request);
                response.headers.pop_back();
                co_await responder.send(std::move(response));
            });
    REQUIRE(fixture.call("/plain/", "r1").status == 502);
}

// Guards against a call that waits for a silent server until its caller has gone.
TEST_CASE("A silent server ends an order at its route's time-out", "[relay]")
{
    GatewayFixture fixture;
    Route route = makePlainRoute(CallKind::NonIdempotent, 1);
    route.timeout = Milliseconds(300);
    fixture.addRoute(route);
    fixture.addServer(
            "a", [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                co_await GatewayFixture::pause(Milliseconds(1500));
                co_await responder.send(GatewayFixture::signedAnswer(request));
            });
    const Milliseconds before = Clock::steady().now();
    REQUIRE(fixture.call("/plain/", "r1").status == 504);
    REQUIRE(Clock::steady().now() - before < Milliseconds(1000));
    const auto left = findHeader(fixture.received[0].request.headers, "Left");
    REQUIRE(std::stoi(left.value_or("9999")) <= 300);
}

// Guards against calls that run with a key that nobody holds, or on no route.
TEST_CASE("Unknown keys and routes are refused without a server", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", answerWithStatus(200));
    REQUIRE(fixture.call("/other/", "r1").status == 404);
    REQUIRE(fixture.call("/plain/", "r2", {{"Key", "wrong"}}).status == 401);
    REQUIRE(fixture.received.empty());
}

// Guards against failures that on-call engineers see in no figure.
TEST_CASE("Calls, failed attempts and refusals are counted by kind and outcome", "[metrics]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", abortConnection());
    REQUIRE(fixture.call("/plain/x", "r1").status == 502);
    REQUIRE(fixture.call("/none/x", "r2").status == 404);
    const std::string text = fixture.metricsText();
    const auto has = [&](const std::string &line) {
        return text.find(line) != std::string::npos;
    };
    INFO(text);
    REQUIRE(has("sassafrasyard_routed_calls_total{kind=\"non_idempotent\",outcome=\"5xx\"} 1"));
    REQUIRE(has("sassafrasyard_failed_attempts_total{kind=\"non_idempotent\",outcome=\"unknown\"} "
                "1"));
    REQUIRE(has("sassafrasyard_routed_refusals_total{reason=\"backend_server_lost\","
                "run_state=\"outcome_unknown\"} 1"));
    REQUIRE(has(
            "sassafrasyard_routed_refusals_total{reason=\"not_found\",run_state=\"not_run\"} 1"));
    REQUIRE(has("sassafrasyard_routed_call_ms_count{kind=\"non_idempotent\"} 1"));
}

// Guards against calls that are sent again and again to a server that accepts connections but
// resets them, as one that goes down and up by turns.
TEST_CASE("A server that breaks off a new connection gets no work for a while", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", abortConnection());
    REQUIRE(fixture.call("/plain/x", "r1").status == 502);
    fixture.addServer("b", answerWithStatus(200));
    for (int number = 2; number < 8; ++number)
        REQUIRE(fixture.call("/plain/x", "r" + std::to_string(number)).status == 200);
}

// Guards against new calls on a server that said in any answer that it leaves.
TEST_CASE("A server that says that it leaves gets no further call", "[relay]")
{
    for (const int status : {200, 503, 500}) {
        CAPTURE(status);
        GatewayFixture fixture;
        fixture.addRoute(makePlainRoute(CallKind::Idempotent, 1));
        fixture.addServer("a",
                          [status](const HttpRequest &request,
                                   HttpResponder &responder) -> net::awaitable<void> {
                              HttpResponse response = GatewayFixture::signedAnswer(request, status);
                              response.headers.emplace_back("Leaving", "1");
                              co_await responder.send(std::move(response));
                          });
        fixture.call("/plain/1", "1");
        REQUIRE(fixture.callCount("a") == 1);
        for (const char *id : {"2", "3", "4"})
            REQUIRE(fixture.call("/plain/1", id).status == 503);
        REQUIRE(fixture.callCount("a") == 1);
    }
}

// Guards against calls to a server that turned one away and wants nothing for a time, and against
// callers that wait for longer than the server asked for, or come back too early.
TEST_CASE("A server that asked for a pause gets nothing until its end", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    bool isFull = true;
    fixture.addServer("a",
                      [&isFull](const HttpRequest &request,
                                HttpResponder &responder) -> net::awaitable<void> {
                          HttpResponse response = isFull ? GatewayFixture::refusal(request)
                                                         : GatewayFixture::signedAnswer(request);
                          if (isFull)
                              response.headers.emplace_back("Pause", "1200");
                          co_await responder.send(std::move(response));
                      });
    const Milliseconds start = Clock::steady().now();
    REQUIRE(fixture.call("/plain/1", "1").status == 503);
    isFull = false;
    const HttpResponse refused = fixture.call("/plain/1", "2");
    REQUIRE(refused.status == 503);
    REQUIRE(findHeader(refused.headers, "Retry-After") == "2");
    REQUIRE(Clock::steady().now() - start < Milliseconds(600));
    REQUIRE(fixture.callCount("a") == 1);
    fixture.context.run_for(start + Milliseconds(1300) - Clock::steady().now());
    fixture.advance();
    REQUIRE(fixture.call("/plain/1", "3").status == 200);
}

// Guards against a call that is refused although another server takes work.
TEST_CASE("While one server pauses the others get its calls", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer(
            "a", [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                HttpResponse response = GatewayFixture::refusal(request);
                response.headers.emplace_back("Pause", "60000");
                co_await responder.send(std::move(response));
            });
    fixture.addServer(
            "b", [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                co_await responder.send(GatewayFixture::signedAnswer(request));
            });
    for (int number = 0; number < 12; ++number)
        REQUIRE(fixture.call("/plain/1", std::to_string(number)).status == 200);
    REQUIRE(fixture.callCount("a") <= 1);
}
