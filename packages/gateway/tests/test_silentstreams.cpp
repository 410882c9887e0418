#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr std::uint64_t lastEvent = 60;
constexpr std::uint64_t silentBefore = 20;
constexpr Milliseconds eventInterval{20};

/** A route whose streams may run again, of a service that can't be told to stop a run. */
Route makeStreamRoute(std::uint32_t maximumAttempts)
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.isResumable = true;
    route.maximumAttempts = maximumAttempts;
    route.timeout = Milliseconds(12'000);
    route.targetLatency = Milliseconds(500);
    route.targetPause = Milliseconds(100);
    return route;
}

std::string events(std::uint64_t first)
{
    std::string all;
    for (std::uint64_t number = first; number <= lastEvent; ++number)
        all += "id: " + std::to_string(number) + "\ndata: t\n\n";
    return all;
}

/** Two engines; the one that begins the stream is silent for a time before an event. */
class SilentEngines
{
public:
    explicit SilentEngines(std::uint32_t maximumAttempts)
    {
        this->fixture.addRoute(makeStreamRoute(maximumAttempts));
        for (const std::string name : {"a", "b"}) {
            this->fixture.addServer(name,
                                    [this](const HttpRequest &request,
                                           HttpResponder &responder) -> net::awaitable<void> {
                                        co_await this->handle(request, responder);
                                    });
        }
    }

    HttpResponse call() { return this->fixture.call("/stream/", "r1", {{"Patience", "12000"}}); }

    Milliseconds silence{0};
    /** Whether the engines refuse to take the stream up. */
    bool isFull = false;
    /** How long an engine that takes the stream up takes for its header. */
    Milliseconds headerDelay{0};
    GatewayFixture fixture;

private:
    net::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        const auto last = findHeader(request.headers, "Last");
        if (last && this->isFull) {
            HttpResponse refusal = GatewayFixture::refusal(request);
            co_await responder.send(std::move(refusal));
            co_return;
        }
        if (last && this->headerDelay > Milliseconds(0))
            co_await GatewayFixture::pause(this->headerDelay);
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        for (std::uint64_t number = std::stoull(last.value_or("0")) + 1;
             isOpen && number <= lastEvent; ++number) {
            if (!last && number == silentBefore)
                co_await GatewayFixture::pause(this->silence);
            co_await GatewayFixture::pause(eventInterval);
            const std::string event = "id: " + std::to_string(number) + "\ndata: t\n\n";
            isOpen = co_await responder.write(event);
        }
        if (isOpen)
            co_await responder.finish();
        else
            responder.abort();
    }
};

} // namespace

// Guards against a stream that is cut because its sound engine is silent for a moment and no other
// engine takes the stream, being full or beyond the number of attempts.
TEST_CASE("A resumable stream stays on a silent engine until another one takes it", "[silent]")
{
    SilentEngines engines(GENERATE(1U, 2U));
    engines.silence = GENERATE(Milliseconds(1250), Milliseconds(3500));
    engines.isFull = true;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
}

// Guards against a stream that is given up, or has duplicate events, because its engine goes on
// while another one is asked to take it.
TEST_CASE("A resumable stream goes on at the engine that sends events first", "[silent]")
{
    SilentEngines engines(2);
    engines.silence = Milliseconds(1250);
    engines.headerDelay = GENERATE(Milliseconds(240), Milliseconds(700));
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
}

// Guards against a stream that waits for a silent engine although another one could take it.
TEST_CASE("A resumable stream leaves a silent engine that another one replaces", "[silent]")
{
    SilentEngines engines(2);
    engines.silence = Milliseconds(8000);
    const Milliseconds start = Clock::steady().now();
    const HttpResponse answer = engines.call();
    REQUIRE(Clock::steady().now() - start < Milliseconds(5000));
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
    REQUIRE(engines.fixture.received.size() == 2);
}
