#include "gatewayfixture.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

/** The number of the event before which the first engine is silent. */
constexpr std::uint64_t silentBefore = 30;
constexpr std::uint64_t lastEvent = 150;
constexpr Milliseconds eventInterval{20};
/** When the engine of the first run leaves; its backup exists then. */
constexpr Milliseconds leavesAfter{600};

Route makeStreamRoute()
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.maximumAttempts = 1;
    route.timeout = Milliseconds(12'000);
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

std::string allEvents()
{
    std::string all;
    for (std::uint64_t number = 1; number <= lastEvent; ++number)
        all += "id: " + std::to_string(number) + "\ndata: t\n\n";
    return all;
}

/**
 * Engines that keep the memory of a run that they stop. The first one leaves, and its answers to
 * requests to stop the run may be late or lost.
 */
class MovingEngines
{
public:
    explicit MovingEngines(const std::vector<std::string> &names = {"a", "b"},
                           const EngineProperties &engine = makeEngineProperties())
    {
        this->fixture.addRoute(makeStreamRoute(), engine);
        for (const std::string &name : names) {
            this->fixture.addServer(name,
                                    [this, name](const HttpRequest &request,
                                                 HttpResponder &responder) -> net::awaitable<void> {
                                        co_await this->handle(name, request, responder);
                                    });
        }
        this->fixture.answerStop = [this](const MoveOrder &order) {
            return this->stop(order);
        };
        this->fixture.stopAnswerTime = [this](const MoveOrder &) {
            return this->answerTime;
        };
        this->fixture.allowsMove = [](const MoveOrder &) {
            return false;
        };
    }

    /** Sends the call of the test. @return its response. */
    HttpResponse call() { return this->fixture.call("/stream/", "r1", {{"Patience", "12000"}}); }

    /** How long the answer to a request to stop the run takes. */
    Milliseconds answerTime{0};
    /** Until when the engine copies its run, which it can't stop meanwhile. */
    Milliseconds copiesUntil{0};
    /** Whether the stream loses its connection when the engine is first asked during a copy. */
    bool losesConnectionAtCopy = false;
    /** Whether the process of the first engine ends when it is first asked to stop the run. */
    bool exitsAtRequest = false;
    /** When the engine of the first run leaves. */
    Milliseconds leaveTime{leavesAfter};
    /**
     * Whether the first request to stop the run gets no answer and does not stop it, and the stream
     * loses its connection.
     */
    bool losesFirstRequest = false;
    /** How long the first run is silent once its engine leaves. */
    Milliseconds silence{0};
    /** How long a continuation takes until its response begins. */
    Milliseconds headerTime{0};
    /** The names of the copies from which an engine continues: "r1" is that of the backup. */
    std::set<std::string> usableCopies{"kept"};
    /** The engines in the order in which they ran the call. */
    std::vector<std::string> runs;
    /** The largest number of engines that worked on the run at once. */
    std::size_t mostAtOnce = 0;
    GatewayFixture fixture;

private:
    net::awaitable<void> handle(const std::string &name, const HttpRequest &request,
                                HttpResponder &responder)
    {
        const auto source = findHeader(request.headers, "Source");
        if (source && !this->usableCopies.contains(*source)) {
            HttpResponse refusal = GatewayFixture::refusal(request);
            co_await responder.send(std::move(refusal));
            co_return;
        }
        const bool isFirst = this->runs.empty();
        this->runs.push_back(name);
        this->stopped.erase(name);
        this->working.insert(name);
        this->mostAtOnce = std::max(this->mostAtOnce, this->working.size());
        if (isFirst)
            this->leaveLater(name);
        else
            co_await GatewayFixture::pause(this->headerTime);
        co_await this->work(name, isFirst, request, responder);
        this->working.erase(name);
    }

    void leaveLater(const std::string &name)
    {
        net::co_spawn(
                this->fixture.context,
                [this, name]() -> net::awaitable<void> {
                    co_await GatewayFixture::pause(this->leaveTime);
                    this->fixture.markLeaving(name);
                },
                net::detached);
    }

    net::awaitable<void> work(const std::string &name, bool isFirst, const HttpRequest &request,
                              HttpResponder &responder)
    {
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        std::uint64_t number = std::stoull(findHeader(request.headers, "Last").value_or("0"));
        while (number < lastEvent && !this->stopped.contains(name)) {
            ++number;
            if (isFirst && number == silentBefore)
                co_await GatewayFixture::pause(this->silence);
            co_await GatewayFixture::pause(eventInterval);
            if (isOpen && this->disconnected.erase(name) > 0) {
                responder.abort();
                isOpen = false;
            }
            if (isOpen) {
                const std::string text = "id: " + std::to_string(number) + "\ndata: t\n\n";
                isOpen = co_await responder.write(text);
            }
        }
        if (isOpen && number == lastEvent)
            co_await responder.finish();
        else
            responder.abort();
    }

    RunStopResult stop(const MoveOrder &order)
    {
        RunStopResult result;
        result.state = RunStopResult::State::Stopped;
        result.hasAnswered = true;
        const std::string name = this->nameOf(order.sourceAddress);
        const Milliseconds now = Clock::steady().now();
        const bool isFirstRequest = this->fixture.stops.size() == 1;
        if (this->exitsAtRequest)
            return this->exit(name, isFirstRequest);
        if (now < this->copiesUntil) {
            result.state = RunStopResult::State::Busy;
            result.isInProgress = true;
            if (std::exchange(this->losesConnectionAtCopy, false))
                this->disconnected.insert(name);
            return result;
        }
        if (!this->working.contains(name))
            return result;
        if (std::exchange(this->losesFirstRequest, false)) {
            this->disconnected.insert(name);
            return {};
        }
        this->stopped.insert(name);
        this->working.erase(name);
        result.memory = MemoryCopy{order.sourceAddress, "kept"};
        return result;
    }

    /** Ends the process of an engine. @return what its host sees of that. */
    RunStopResult exit(const std::string &name, bool isFirstRequest)
    {
        this->stopped.insert(name);
        this->working.erase(name);
        RunStopResult result;
        if (!isFirstRequest)
            result.state = RunStopResult::State::Unreachable;
        return result;
    }

    std::string nameOf(const std::string &address)
    {
        for (const char *name : {"a", "b", "c"}) {
            if (this->fixture.addressOf(name) == address)
                return name;
        }
        return {};
    }

    std::set<std::string> working;
    std::set<std::string> stopped;
    /** The engines that close the connection of their stream and work on. */
    std::set<std::string> disconnected;
};

} // namespace

// Guards against a run on two engines at once, because the connection to the first one was lost for
// another reason after that was asked to stop the run.
TEST_CASE("A run continues elsewhere after the answer to the request to stop it", "[stopanswer]")
{
    MovingEngines engines;
    engines.usableCopies = {"r1", "kept"};
    engines.answerTime = Milliseconds(300);
    engines.losesFirstRequest = true;
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
    REQUIRE(engines.fixture.stops.size() == 2);
}

// Guards against a run on two engines at once, because the connection to the first one is lost
// while that declines to stop the run until a copy is complete.
TEST_CASE("A run that is being copied is stopped before it goes on elsewhere", "[stopanswer]")
{
    constexpr Milliseconds copyTime{800};
    EngineProperties properties = makeEngineProperties();
    properties.supportsBackup = false;
    properties.copyLifetime = Milliseconds(600);
    MovingEngines engines({"a", "b"}, properties);
    engines.usableCopies = {"handle", "kept"};
    engines.leaveTime = Milliseconds(1600);
    engines.losesConnectionAtCopy = true;
    engines.answerTime = GENERATE(Milliseconds(0), Milliseconds(300));
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
    engines.fixture.moveAnswerTime = [&](const MoveOrder &) {
        const bool isFirst = engines.fixture.moves.size() == 1;
        if (!isFirst)
            engines.copiesUntil = Clock::steady().now() + copyTime;
        return isFirst ? Milliseconds(0) : copyTime;
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
    REQUIRE_FALSE(engines.losesConnectionAtCopy);
}

// Guards against a run on two engines at once, because an engine that is busy for a reason of its
// own is taken for one that is busy with the request to stop the run.
TEST_CASE("An engine that is busy for another reason has not stopped the run", "[stopanswer]")
{
    MovingEngines engines;
    engines.usableCopies = {"r1", "kept"};
    engines.losesConnectionAtCopy = true;
    engines.fixture.spawn([&]() -> net::awaitable<void> {
        co_await GatewayFixture::pause(leavesAfter);
        engines.copiesUntil = Clock::steady().now() + Milliseconds(1200);
    });
    engines.fixture.stopAnswerTime = [](const MoveOrder &) {
        return Milliseconds(15);
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
    REQUIRE_FALSE(engines.losesConnectionAtCopy);
}

// Guards against a stream that waits until its stopped run was copied, although the engine says at
// once that it does not work on the run any more.
TEST_CASE("A run that was stopped goes on before it is copied", "[stopanswer]")
{
    MovingEngines engines;
    engines.usableCopies = {"r1", "kept"};
    engines.answerTime = Milliseconds(1500);
    engines.fixture.isRunAbsentDuringStop = GENERATE(true, false);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
    REQUIRE(engines.fixture.longestPause < Milliseconds(500));
}

// Guards against a stream that waits for the answer of an engine whose process has ended.
TEST_CASE("A run goes on elsewhere if its engine exits instead of an answer", "[stopanswer]")
{
    MovingEngines engines;
    engines.usableCopies = {"r1", "kept"};
    engines.exitsAtRequest = true;
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
    REQUIRE(engines.fixture.longestPause < Milliseconds(1000));
}

// Guards against a run on two engines at once, because its connection is reset while its engine
// does not take requests to stop it, whatever the framing and the kind of its stream.
TEST_CASE("A run whose engine is busy is stopped before it goes on elsewhere", "[stopanswer]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const bool isResumable : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.isChunked = isChunked;
                engines.stopsRuns = false;
                engines.losesConnectionBefore = 48;
                engines.changeAnswer = [&engines](RunStopResult answer) {
                    if (answer.state == RunStopResult::State::Declined)
                        answer.state = RunStopResult::State::Busy;
                    engines.stopsRuns = engines.fixture.stops.size() >= 4;
                    return answer;
                };
            };
            const auto check = [](UnframedEngines &engines) {
                CHECK(engines.answer->body == UnframedEngines::events());
                CHECK(engines.mostAtOnce == 1);
                CHECK(engines.runs.size() == 2);
            };
            cases.add(prepare, check,
                      isResumable ? UnframedEngines::makeResumableRoute()
                                  : UnframedEngines::makeRoute());
        }
    }
    cases.run();
}

// Guards against a continuation that is cancelled before its response, because the host closes the
// stream of the stopped run a moment after the request to stop it.
TEST_CASE("A continuation has its time until the response begins", "[runmoves]")
{
    MovingEngines engines;
    engines.usableCopies = {"r1", "kept"};
    engines.answerTime = Milliseconds(100);
    engines.headerTime = Milliseconds(600);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
}

// Guards against a request to an engine that has been leaving for longer than the drain time.
TEST_CASE("A stopped run does not return after the drain time", "[runmoves]")
{
    MovingEngines engines;
    engines.answerTime = Milliseconds(2100);
    REQUIRE(engines.call().status == 0);
    REQUIRE(engines.runs.size() == 1);
    REQUIRE(engines.fixture.callCount(engines.runs[0]) == 1);
}

// Guards against a stream that is cut although its stopped run could go on in the memory of its
// leaving engine, because the answer to the request to stop was late.
TEST_CASE("A stopped run returns to its leaving engine within the drain time", "[drain]")
{
    MovingEngines engines;
    engines.answerTime = Milliseconds(1200);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] == engines.runs[1]);
    REQUIRE(engines.mostAtOnce == 1);
}

// Guards against a drain time that begins with the next event instead of with the leaving.
TEST_CASE("A run that can't return any more is not stopped without a complete copy", "[drain]")
{
    MovingEngines engines;
    engines.silence = Milliseconds(1700);
    engines.answerTime = Milliseconds(700);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.runs.size() == 1);
    REQUIRE(engines.fixture.stops.empty());
}
