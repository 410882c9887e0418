#include "entry/http/streamrelay.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <deque>

using namespace sassafrasyard;
namespace net = boost::asio;

namespace {

std::string tokenEvent(const std::string &generation, int index)
{
    ServerEvent event;
    event.data = "{\"generation\":\"" + generation + "\",\"index\":" + std::to_string(index)
            + ",\"token\":\"t" + std::to_string(index) + "\"}";
    return formatServerEvent(event);
}

std::string finishEvent(const std::string &generation, int index)
{
    ServerEvent event;
    event.data = "{\"generation\":\"" + generation + "\",\"index\":" + std::to_string(index)
            + ",\"finish\":\"stop\"}";
    return formatServerEvent(event);
}

Settings testSettings()
{
    Settings settings;
    settings.host = HostName("entry-1");
    settings.positionSecret = "0123456789abcdef";
    return settings;
}

/** Runs a relay against an engine that sends a fixed text on each connection and closes it. */
struct RelayFixture
{
    RelayFixture()
        : runtime(1)
        , state(testSettings(), HostIncarnation("run"))
        , dispatch(state, runtime, context)
        , engine(
                  context, HttpServerOptions(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return this->serve(request, responder);
                  },
                  [](const Error &) { return HttpResponse(); })
    {
    }

    net::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder)
    {
        this->requests.push_back(request.target + " " + request.body);
        if (this->answers.empty()) {
            HttpResponse missing;
            missing.status = 404;
            co_await responder.send(std::move(missing));
            co_return;
        }
        const std::string answer = this->answers.front();
        this->answers.pop_front();
        HttpHeaders headers;
        co_await responder.startStream(200, std::move(headers));
        co_await responder.write(answer);
        co_await responder.finish();
    }

    RelayResult run(std::deque<std::string> connections)
    {
        this->answers = std::move(connections);
        Error reason;
        const auto endpoint = this->engine.listen({"127.0.0.1", 0}, reason);
        RelayResult result;
        net::co_spawn(
                this->context,
                [&]() -> net::awaitable<void> {
                    Grant grant;
                    grant.assignment.request = RequestName("r");
                    grant.server.name = BackendServerName("engine");
                    GenerationStream stream;
                    const GenerationRequest request;
                    const HttpTimeouts timeouts;
                    co_await stream.start(*endpoint, request, timeouts, reason);
                    StreamRelay relay(this->state, this->dispatch, grant, *endpoint);
                    const StreamRelay::Deliver deliver =
                            [this](const std::vector<DeliveredToken> &tokens)
                            -> net::awaitable<bool> {
                        for (const DeliveredToken &delivered : tokens)
                            this->text += delivered.text;
                        co_return true;
                    };
                    const StreamRelay::IsCallerGone isCallerGone = [] {
                        return false;
                    };
                    result = co_await relay.run(stream, deliver, isCallerGone);
                    this->context.stop();
                },
                net::detached);
        this->context.run_for(std::chrono::seconds(20));
        return result;
    }

    net::io_context context;
    ActorRuntime runtime;
    EntryState state;
    DispatchService dispatch;
    HttpServer engine;
    std::deque<std::string> answers;
    std::vector<std::string> requests;
    std::string text;
};

} // namespace

TEST_CASE("A whole generation is relayed", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result =
            fixture.run({tokenEvent("g", 0) + tokenEvent("g", 1) + finishEvent("g", 2)});
    REQUIRE(result.end == RelayEnd::Finished);
    REQUIRE(fixture.text == "t0t1");
}

// Guards against delivering a repeated event or an event of another generation.
TEST_CASE("Events of another generation and repeated events are dropped", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result = fixture.run(
            {tokenEvent("g", 0) + tokenEvent("other", 1) + tokenEvent("g", 0) + tokenEvent("g", 1)
             + finishEvent("other", 2) + tokenEvent("g", 2) + finishEvent("g", 3)});
    REQUIRE(result.end == RelayEnd::Finished);
    REQUIRE(fixture.text == "t0t1t2");
}

// Guards against a stream that continues after a gap without the missing token.
TEST_CASE("A gap is closed by resuming at the missing index", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result =
            fixture.run({tokenEvent("g", 0) + tokenEvent("g", 2) + finishEvent("g", 3),
                         tokenEvent("g", 1) + tokenEvent("g", 2) + finishEvent("g", 3)});
    REQUIRE(result.end == RelayEnd::Finished);
    REQUIRE(fixture.text == "t0t1t2");
    REQUIRE(fixture.requests.at(1) == "/v1/generations/g/resume {\"from\":1}");
}

// Guards against a finish event that ends the stream while earlier tokens are missing.
TEST_CASE("A finish event beyond the next index causes a resume", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result = fixture.run(
            {tokenEvent("g", 0) + finishEvent("g", 2), tokenEvent("g", 1) + finishEvent("g", 2)});
    REQUIRE(result.end == RelayEnd::Finished);
    REQUIRE(fixture.text == "t0t1");
}

// Guards against a response that combines two generations after the engine lost the first.
TEST_CASE("A generation that the engine no longer has ends as lost", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result = fixture.run({tokenEvent("g", 0) + tokenEvent("g", 1)});
    REQUIRE(result.end == RelayEnd::ServerLost);
    REQUIRE(result.tokens == 2);
    REQUIRE(fixture.text == "t0t1");
}

// Guards against a resumed stream that continues with another generation.
TEST_CASE("A resume answered with another generation is not relayed", "[entry]")
{
    RelayFixture fixture;
    const RelayResult result =
            fixture.run({tokenEvent("g", 0), tokenEvent("other", 1) + finishEvent("other", 2),
                         tokenEvent("other", 1) + finishEvent("other", 2), tokenEvent("other", 1)});
    REQUIRE(result.end == RelayEnd::ServerLost);
    REQUIRE(fixture.text == "t0");
}
