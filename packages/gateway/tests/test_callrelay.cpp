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

// Guards against a response that is modified when it is forwarded.
TEST_CASE("A response is forwarded with its status and body", "[relay]")
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

// Guards against a non-idempotent call that runs on two servers because the first one closed the
// connection.
TEST_CASE("A non-idempotent call is not retried after its server closes the connection", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 3));
    fixture.addServer("a", abortConnection());
    fixture.addServer("b", abortConnection());
    const HttpResponse answer = fixture.call("/plain/", "r1");
    REQUIRE(answer.status == 502);
    REQUIRE(fixture.received.size() == 1);
}

// Guards against a non-idempotent call that fails although its server stated that it did not run
// it.
TEST_CASE("A non-idempotent call that a server refused before running is sent to another one",
          "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", refuseBeforeRun());
    fixture.addServer("b", answerWithStatus(200));
    for (int call = 0; call < 6; ++call)
        REQUIRE(fixture.call("/plain/", "r" + std::to_string(call)).status == 200);
    REQUIRE(fixture.callCount("b") == 6);
}

// Guards against a refusal without a retry time, or one that states that the call may have run.
TEST_CASE("A call that all servers refuse is reported as not run", "[relay]")
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

// Guards against failures of one faulty server that reach callers of idempotent calls.
TEST_CASE("An idempotent call is retried on a second server after a failure", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::Idempotent, 2));
    fixture.addServer("a", answerWithStatus(500));
    fixture.addServer("b", answerWithStatus(200));
    for (int call = 0; call < 6; ++call)
        REQUIRE(fixture.call("/plain/", "r" + std::to_string(call)).status == 200);
}

// Guards against forwarding a success that does not carry the signature of a server.
TEST_CASE("A response without the server's signature is not forwarded", "[relay]")
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

// Guards against a call that waits for a silent server beyond its deadline.
TEST_CASE("A call to a silent server ends at the timeout of its route", "[relay]")
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

// Guards against calls that run with an unknown key or without a route.
TEST_CASE("Unknown keys and routes are refused without contacting a server", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", answerWithStatus(200));
    REQUIRE(fixture.call("/other/", "r1").status == 404);
    REQUIRE(fixture.call("/plain/", "r2", {{"Key", "wrong"}}).status == 401);
    REQUIRE(fixture.received.empty());
}

// Guards against failures that do not show in any metric.
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

// Guards against repeated calls to a server that accepts connections but resets them, as a server
// that restarts in a loop does.
TEST_CASE("A server that closes a new connection is excluded from work for a while", "[relay]")
{
    GatewayFixture fixture;
    fixture.addRoute(makePlainRoute(CallKind::NonIdempotent, 1));
    fixture.addServer("a", abortConnection());
    REQUIRE(fixture.call("/plain/x", "r1").status == 502);
    fixture.addServer("b", answerWithStatus(200));
    for (int number = 2; number < 8; ++number)
        REQUIRE(fixture.call("/plain/x", "r" + std::to_string(number)).status == 200);
}

// Guards against new calls to a server that announced its leaving in a response.
TEST_CASE("A server that announces its leaving gets no further call", "[relay]")
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

// Guards against calls to a server during a pause that it asked for, and against a retry time that
// is longer or shorter than that pause.
TEST_CASE("A server that asked for a pause gets no call until its end", "[relay]")
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

// Guards against a call that is refused although another server accepts work.
TEST_CASE("Calls go to the other servers while one server pauses", "[relay]")
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
