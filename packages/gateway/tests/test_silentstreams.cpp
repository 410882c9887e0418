#include "gatewayfixture.h"
#include "unframedengines.h"

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

/** An engine that can't be told to stop a run. */
EngineProperties makeFixedEngine()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100'000;
    engine.tokensPerEvent = 4;
    return engine;
}

/** Two engines; the one that begins the stream is silent for a time before an event. */
class SilentEngines
{
public:
    explicit SilentEngines(std::uint32_t maximumAttempts,
                           std::optional<EngineProperties> engine = std::nullopt)
    {
        this->fixture.addRoute(makeStreamRoute(maximumAttempts), engine);
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
    /** The event before which the engine is silent. */
    std::uint64_t silentFrom = silentBefore;
    /** Whether the silent engine then ends its connection instead of going on. */
    bool losesConnection = false;
    /** Whether the engines refuse to take the stream up. */
    bool isFull = false;
    /** How long an engine that takes the stream up takes for its header. */
    Milliseconds headerDelay{0};
    GatewayFixture fixture;

private:
    net::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        const auto last = findHeader(request.headers, "Last");
        const bool isFirst = this->fixture.received.size() == 1;
        if (!isFirst && this->isFull) {
            HttpResponse refusal = GatewayFixture::refusal(request);
            co_await responder.send(std::move(refusal));
            co_return;
        }
        if (!isFirst && this->headerDelay > Milliseconds(0))
            co_await GatewayFixture::pause(this->headerDelay);
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        for (std::uint64_t number = std::stoull(last.value_or("0")) + 1;
             isOpen && number <= lastEvent; ++number) {
            if (isFirst && number == this->silentFrom) {
                co_await GatewayFixture::pause(this->silence);
                if (this->losesConnection)
                    break;
            }
            co_await GatewayFixture::pause(eventInterval);
            const std::string event = "id: " + std::to_string(number) + "\ndata: t\n\n";
            isOpen = co_await responder.write(event);
        }
        if (isOpen && !(isFirst && this->losesConnection))
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

// Guards against a stream that is cut after its header, because its sound engine takes longer than
// usual for the first event and no other engine takes the stream.
TEST_CASE("A stream without an event stays on its silent engine", "[silent]")
{
    SilentEngines engines(3, makeFixedEngine());
    engines.silentFrom = 1;
    engines.silence = Milliseconds(1500);
    engines.isFull = true;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
}

// Guards against engines of a deployment that are treated otherwise than plain services.
TEST_CASE("A stream stays on a silent engine that can't be told to stop", "[silent]")
{
    SilentEngines engines(2, makeFixedEngine());
    engines.silence = Milliseconds(1250);
    engines.isFull = true;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
}

// Guards against a stream that is cut because its engine is lost while another one is asked.
TEST_CASE("A silent stream whose connection is lost goes on elsewhere", "[silent]")
{
    SilentEngines engines(2);
    engines.silence = GENERATE(Milliseconds(700), Milliseconds(1250));
    engines.losesConnection = true;
    engines.headerDelay = Milliseconds(700);
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == events(1));
    REQUIRE(engines.fixture.received.size() == 2);
}

// Guards against a silent engine that is asked for again and again, at the cost of other calls.
TEST_CASE("A silence leads to a bounded number of attempts", "[silent]")
{
    SilentEngines engines(2);
    engines.silence = Milliseconds(6000);
    engines.isFull = true;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.body == events(1));
    REQUIRE(engines.fixture.received.size() <= 1 + maximumNotRunAttempts);
}

// Guards against a stream without framing that ends as complete, or misses events, when another
// engine takes it.
TEST_CASE("A silent stream without framing goes on at another engine", "[silent]")
{
    UnframedEngines engines(UnframedEngines::makeResumableRoute(),
                            std::make_shared<net::io_context>(), makeFixedEngine());
    engines.leavesBefore = 0;
    engines.isChunked = GENERATE(true, false);
    engines.silentBefore = 30;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == UnframedEngines::events());
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.fixture.stops.empty());
}
