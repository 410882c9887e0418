#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr std::uint64_t lastEvent = 150;
constexpr Milliseconds eventInterval{20};
/** Longer than the gateway waits for an event of the route below. */
constexpr Milliseconds shortSilence{1250};
/** Longer than the gateway takes to copy the run elsewhere after that. */
constexpr Milliseconds longSilence{4000};
constexpr std::uint64_t silentBefore = 20;

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

std::string eventText(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
}

std::string allEvents()
{
    std::string all;
    for (std::uint64_t number = 1; number <= lastEvent; ++number)
        all += eventText(number);
    return all;
}

/** Two engines that work on a run to its end, also without its connection, unless told to stop. */
class PersistentEngines
{
public:
    explicit PersistentEngines(Route route = makeStreamRoute())
    {
        this->fixture.addRoute(std::move(route), makeEngineProperties());
        for (const std::string name : {"a", "b"}) {
            this->fixture.addServer(name,
                                    [this, name](const HttpRequest &request,
                                                 HttpResponder &responder) -> net::awaitable<void> {
                                        co_await this->handle(name, request, responder);
                                    });
        }
        this->fixture.answerStop = [this](const MoveOrder &order) {
            return this->stop(order);
        };
        this->fixture.allowsMove = [](const MoveOrder &) {
            return false;
        };
    }

    /** Sends the call of the test. @return its response. */
    HttpResponse call(const std::string &patience = "12000")
    {
        return this->fixture.call("/stream/", "r1", {{"Patience", patience}});
    }

    /** Ends the first run, as its engine does after a request to stop it. */
    void endFirstRun() { this->working.erase(this->runs.front()); }

    /** Lets the engine of the first run leave after a time. */
    Milliseconds leavesAfter{0};
    /** Whether the first run is silent for a time before an event. */
    bool isSilent = false;
    Milliseconds silence{shortSilence};
    /** Whether the engine of the first run refuses new connections from then on. */
    bool refusesConnections = false;
    /** Whether the first run loses its connection before an event, although it goes on. */
    bool losesConnection = false;
    /** The runs, counted from 1, that lose their connection before the header but go on. */
    std::set<std::size_t> headerless;
    /** The runs, counted from 1, that lose their connection after the header but go on. */
    std::set<std::size_t> eventless;
    /** Whether an engine has a copy of the run of the other one. */
    bool hasBackups = true;
    /** What engines answer to a request to stop a run that they work on. */
    RunStopResult::State stopState = RunStopResult::State::Declined;
    /** Whether engines say that they have no such run, as of a preempted one that waits. */
    bool isPreempted = false;
    /** Whether an engine that stops a run keeps its memory, and copies it. */
    bool keepsMemory = false;
    bool copiesMemory = false;
    /** The largest number of engines that worked on the run at once. */
    std::size_t mostAtOnce = 0;
    /** The engines in the order in which they ran the call. */
    std::vector<std::string> runs;
    GatewayFixture fixture;

private:
    net::awaitable<void> handle(const std::string &name, const HttpRequest &request,
                                HttpResponder &responder)
    {
        const auto source = findHeader(request.headers, "Source");
        if (source && !this->hasMemory(name, *source)) {
            HttpResponse refusal = GatewayFixture::refusal(request);
            co_await responder.send(std::move(refusal));
            co_return;
        }
        this->runs.push_back(name);
        const std::size_t run = this->runs.size();
        this->working[name] = run;
        this->mostAtOnce = std::max(this->mostAtOnce, this->working.size());
        if (run == 1 && this->leavesAfter > Milliseconds(0))
            this->leaveLater(name);
        if (this->headerless.contains(run))
            co_await this->workWithoutConnection(run, responder);
        else if (this->eventless.contains(run))
            co_await this->workWithoutEvents(run, request, responder);
        else
            co_await this->work(run, request, responder);
        if (this->isWorking(run))
            this->working.erase(name);
    }

    /** Returns whether an engine has the memory that a continuation names. */
    bool hasMemory(const std::string &name, const std::string &source)
    {
        if (source == "r1")
            return this->hasBackups;
        if (source == "kept")
            return this->kept.erase(name) > 0;
        return name != this->runs.front();
    }

    bool isWorking(std::size_t run) const
    {
        const auto found = this->working.find(this->runs[run - 1]);
        return found != this->working.end() && found->second == run;
    }

    net::awaitable<void> workWithoutConnection(std::size_t run, HttpResponder &responder)
    {
        constexpr Milliseconds prefillTime{100};
        constexpr int steps = 75;
        co_await GatewayFixture::pause(prefillTime);
        responder.abort();
        for (int step = 0; step < steps && this->isWorking(run); ++step)
            co_await GatewayFixture::pause(eventInterval);
    }

    net::awaitable<void> workWithoutEvents(std::size_t run, const HttpRequest &request,
                                           HttpResponder &responder)
    {
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        co_await responder.startStream(200, headers);
        co_await this->workWithoutConnection(run, responder);
    }

    void leaveLater(const std::string &name)
    {
        net::co_spawn(
                this->fixture.context,
                [this, name]() -> net::awaitable<void> {
                    co_await GatewayFixture::pause(this->leavesAfter);
                    this->fixture.markLeaving(name);
                },
                net::detached);
    }

    net::awaitable<void> work(std::size_t run, const HttpRequest &request, HttpResponder &responder)
    {
        const std::string name = this->runs[run - 1];
        const bool isFirst = run == 1;
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        std::uint64_t number = std::stoull(findHeader(request.headers, "Last").value_or("0"));
        while (number < lastEvent && this->isWorking(run)) {
            ++number;
            if (isFirst && this->refusesConnections && number == silentBefore)
                this->fixture.refuseConnections(name);
            if (isFirst && this->isSilent && number == silentBefore)
                co_await GatewayFixture::pause(this->silence);
            if (isFirst && this->losesConnection && number == silentBefore) {
                responder.abort();
                isOpen = false;
            }
            co_await GatewayFixture::pause(eventInterval);
            if (isOpen) {
                const std::string text = eventText(number);
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
        const std::string name = this->nameOf(order.sourceAddress);
        if (!this->working.contains(name) || this->isPreempted) {
            result.state = RunStopResult::State::Stopped;
            return result;
        }
        result.state = this->stopState;
        if (this->stopState != RunStopResult::State::Stopped)
            return result;
        this->working.erase(name);
        if (this->keepsMemory)
            this->kept.insert(name);
        if (this->keepsMemory || this->copiesMemory)
            result.memory = MemoryCopy{order.sourceAddress, this->copiesMemory ? "copied" : "kept"};
        result.isCopied = this->copiesMemory;
        return result;
    }

    std::string nameOf(const std::string &address)
    {
        return this->fixture.addressOf("a") == address ? "a" : "b";
    }

    /** The engines that work on the run, with the number of theirs. */
    std::map<std::string, std::size_t> working;
    /** The engines that keep the memory of a run that they stopped. */
    std::set<std::string> kept;
};

} // namespace

// Guards against a run on two engines at once, because the first one is silent for a moment and
// works on after its connection was closed.
TEST_CASE("A stream stays on a silent engine that does not stop the run", "[runstops]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    engines.hasBackups = GENERATE(true, false);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
}

// Guards against a run on two engines at once, because a leaving one works on after its connection
// was closed.
TEST_CASE("A stream stays on a leaving engine that does not stop the run", "[runstops]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
    REQUIRE_FALSE(engines.fixture.stops.empty());
}

// Guards against a stream that is cut because a live, silent engine is told to stop its run
// although no other engine has room for it.
TEST_CASE("The run of a silent engine is not stopped without a copy that has a place", "[runstops]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    engines.silence = longSilence;
    engines.hasBackups = false;
    engines.stopState = RunStopResult::State::Stopped;
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.fixture.stops.empty());
    REQUIRE(engines.runs.size() == 1);
}

// Guards against a stream that is cut because a preempted run is taken for one that has ended.
TEST_CASE("A run that its engine has preempted goes on there", "[runstops]")
{
    PersistentEngines engines;
    engines.isPreempted = true;
    engines.hasBackups = GENERATE(true, false);
    engines.leavesAfter = Milliseconds(1400);
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
    REQUIRE_FALSE(engines.fixture.stops.empty());
}

// Guards against a stream that stays on a leaving or a silent engine although it stopped the run,
// and against two engines that work on it at once.
TEST_CASE("A stream goes on at another engine after its run was stopped", "[runstops]")
{
    PersistentEngines engines;
    engines.isSilent = GENERATE(true, false);
    engines.copiesMemory = GENERATE(true, false);
    engines.silence = longSilence;
    if (engines.isSilent) {
        engines.fixture.allowsMove = [](const MoveOrder &) {
            return true;
        };
    } else {
        engines.leavesAfter = Milliseconds(1400);
    }
    engines.stopState = RunStopResult::State::Stopped;
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
}

// Guards against a stream that is cut because the engine with its copy refuses the continuation
// after the run was stopped.
TEST_CASE("A stopped run goes on in the memory of its engine if the copy is refused", "[runstops]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    engines.stopState = RunStopResult::State::Stopped;
    engines.hasBackups = false;
    engines.keepsMemory = true;
    const HttpResponse answer = engines.call();
    REQUIRE(answer.body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() >= 2);
    REQUIRE(engines.runs[0] == engines.runs[1]);
}

// Guards against a stream that is cut although a copy of its run is complete, because the run was
// stopped for a backup that is refused and its leaving engine accepts no connection to return on.
TEST_CASE("A stopped run goes on from the copy that its silent engine completed", "[runstops]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    engines.silence = Milliseconds(2100);
    engines.refusesConnections = true;
    engines.leavesAfter = Milliseconds(1700);
    engines.hasBackups = false;
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = true;
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
    engines.fixture.moveAnswerTime = [](const MoveOrder &) {
        return Milliseconds(1200);
    };
    const HttpResponse answer = engines.call();
    REQUIRE(answer.body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
    REQUIRE(engines.runs[0] != engines.runs[1]);
}

// Guards against a run on two engines at once, because the connection to the first one was lost
// while it works on.
TEST_CASE("A run without its connection is stopped before it goes on elsewhere", "[runstops]")
{
    PersistentEngines engines;
    engines.losesConnection = true;
    engines.stopState = GENERATE(RunStopResult::State::Stopped, RunStopResult::State::Declined);
    const HttpResponse answer = engines.call();
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE_FALSE(engines.fixture.stops.empty());
    if (engines.stopState == RunStopResult::State::Stopped)
        REQUIRE(answer.body == allEvents());
}

// Guards against a stream that waits for an engine that can't answer any more.
TEST_CASE("A stream goes on from its backup if its engine is unreachable or gone", "[runstops]")
{
    PersistentEngines engines;
    engines.losesConnection = true;
    const bool isGone = GENERATE(true, false);
    engines.fixture.answerStop = [&](const MoveOrder &) {
        if (isGone && !engines.fixture.addressOf(engines.runs.front()).empty())
            engines.fixture.removeEntry(engines.runs.front());
        return RunStopResult{isGone ? RunStopResult::State::Unknown
                                    : RunStopResult::State::Unreachable,
                             {},
                             false};
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.runs.size() == 2);
}

// Guards against a run on two engines at once, because a leaving one closes its listener before it
// has ended its runs.
TEST_CASE("A stream stays on a leaving engine that accepts no connections", "[runstops]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    const auto state =
            GENERATE(RunStopResult::State::Unreachable, RunStopResult::State::Unanswered);
    engines.fixture.answerStop = [state](const MoveOrder &) {
        return RunStopResult{state, {}, false};
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
    REQUIRE_FALSE(engines.fixture.stops.empty());
}

// Guards against a stream that is closed while its events arrive, because its engine was silent and
// did not answer the request to stop the run.
TEST_CASE("Events keep a stream on an engine that does not answer the request to stop it",
          "[runstops]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    // The copy is ready and the request is made after two silence times; the events follow soon.
    engines.silence = Milliseconds(2100);
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
    const auto state =
            GENERATE(RunStopResult::State::Unreachable, RunStopResult::State::Unanswered);
    engines.fixture.answerStop = [state](const MoveOrder &) {
        return RunStopResult{state, {}, false};
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
    REQUIRE_FALSE(engines.fixture.stops.empty());
}

// Guards against a run on two engines at once, because an engine whose entry is missing, but which
// serves on, resets the connection of one request to stop the run.
TEST_CASE("One lost answer of an engine without an entry does not show its end", "[runstops]")
{
    PersistentEngines engines;
    engines.losesConnection = true;
    engines.fixture.answerStop = [&](const MoveOrder &) {
        if (!engines.fixture.addressOf(engines.runs.front()).empty())
            engines.fixture.removeEntry(engines.runs.front());
        const bool isLost = engines.fixture.stops.size() < 3;
        RunStopResult result;
        result.state = isLost ? RunStopResult::State::Unknown : RunStopResult::State::Stopped;
        if (!isLost)
            engines.endFirstRun();
        return result;
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
}

// Guards against a stream that is cut, or a run on two engines, because a silent engine refuses new
// connections while the run's own connection is open, as a leaving server does.
TEST_CASE("A refused connection does not end a run whose own connection is open", "[refused]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    engines.refusesConnections = true;
    engines.hasBackups = GENERATE(true, false);
    const bool hasMoves = GENERATE(true, false);
    if (hasMoves) {
        engines.silence = Milliseconds(2100);
        engines.fixture.allowsMove = [](const MoveOrder &) {
            return true;
        };
    }
    if (GENERATE(false, true))
        engines.leavesAfter = Milliseconds(200);
    engines.fixture.answerStop = [](const MoveOrder &) {
        return RunStopResult{RunStopResult::State::Unreachable, {}, false};
    };
    REQUIRE(engines.call().body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 1);
}

// Guards against a run on two engines, or a stream that is cut, because an entry that was missing
// for a moment returns and is taken for that of another process.
TEST_CASE("A returned entry does not end a run whose own connection is open", "[refused]")
{
    constexpr std::int64_t startedAt = 1000;
    PersistentEngines engines;
    const bool isMissingFirst = GENERATE(true, false);
    engines.hasBackups = GENERATE(true, false);
    engines.isSilent = true;
    engines.silence = Milliseconds(3000);
    const std::map<std::string, std::string> addresses{{"a", engines.fixture.addressOf("a")},
                                                       {"b", engines.fixture.addressOf("b")}};
    for (const auto &[name, address] : addresses)
        engines.fixture.writeEntry(name, address, startedAt);
    if (isMissingFirst) {
        engines.fixture.spawn([&]() -> net::awaitable<void> {
            while (engines.runs.empty())
                co_await GatewayFixture::pause(Milliseconds(5));
            // Shortly before the silence, so that the leaving is seen with the last events.
            co_await GatewayFixture::pause((silentBefore - 2) * eventInterval);
            engines.fixture.removeEntry(engines.runs.front());
        });
    }
    engines.fixture.stopAnswerTime = [](const MoveOrder &) {
        return Milliseconds(500);
    };
    engines.fixture.answerStop = [&](const MoveOrder &) {
        const std::string &name = engines.runs.front();
        engines.fixture.writeEntry(name, addresses.at(name), startedAt);
        return RunStopResult{RunStopResult::State::Unknown, {}, false};
    };
    CHECK(engines.call().body == allEvents());
    CHECK(engines.mostAtOnce == 1);
    CHECK(engines.runs.size() == 1);
}

// Guards against a run on two engines, because the entry of its engine is replaced while the former
// process goes on with the run on its open connection.
TEST_CASE("A replaced entry does not end a run whose own connection is open", "[refused]")
{
    PersistentEngines engines;
    engines.isSilent = true;
    engines.silence = Milliseconds(3500);
    engines.hasBackups = GENERATE(true, false);
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
    for (const std::string name : {"a", "b"})
        engines.fixture.writeEntry(name, engines.fixture.addressOf(name), 1000);
    engines.fixture.answerStop = [&](const MoveOrder &) {
        engines.fixture.writeEntry(engines.runs.front(), "127.0.0.1:9", 2000);
        return RunStopResult{RunStopResult::State::Unreachable, {}, false};
    };
    CHECK(engines.call().body == allEvents());
    CHECK(engines.mostAtOnce == 1);
    CHECK(engines.runs.size() == 1);
}

// Guards against a run on two engines, because the request to stop the former run is taken for the
// end of the next one, whose connection is lost before its header.
TEST_CASE("The end of a former run is not that of the next one", "[formerstop]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = true;
    engines.headerless = {2};
    engines.call();
    REQUIRE(engines.mostAtOnce == 1);
}

// Guards against a run on two engines, because a next part loses its connection in whichever way it
// began: from the backup, from the moved copy, after a return, or after another such part.
TEST_CASE("Each part that lost its connection is stopped before the next one", "[formerstop]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = true;
    engines.copiesMemory = GENERATE(true, false);
    engines.hasBackups = GENERATE(true, false);
    engines.headerless = GENERATE(std::set<std::size_t>{2}, std::set<std::size_t>{2, 3});
    const HttpResponse answer = engines.call();
    CHECK(engines.mostAtOnce == 1);
    CHECK(engines.fixture.stops.size() > engines.headerless.size());
    CHECK(answer.body == allEvents());
}

// Guards against a run on two engines, because a part is lost between its header and its first
// event, when no copy of it exists yet.
TEST_CASE("A part without an event does not go on beside the next one", "[formerstop]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = true;
    engines.hasBackups = GENERATE(true, false);
    engines.eventless = {2};
    engines.call();
    REQUIRE(engines.mostAtOnce == 1);
}

// Guards against a run on two engines, because the engine of the next part does not answer the
// request to stop it while the former engine still keeps the memory of the run.
TEST_CASE("A part that is not known to have ended is not followed by another", "[formerstop]")
{
    PersistentEngines engines;
    engines.leavesAfter = Milliseconds(1400);
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = true;
    engines.headerless = {2};
    const auto stop = engines.fixture.answerStop;
    engines.fixture.answerStop = [&, stop](const MoveOrder &order) {
        const bool isFirstRun = engines.runs.size() == 1;
        return isFirstRun ? stop(order) : RunStopResult{RunStopResult::State::Unknown, {}, false};
    };
    engines.call("4000");
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runs.size() == 2);
}

// Guards against a resumable run on two engines, because the end of its first run is taken for that
// of the new run that followed it.
TEST_CASE("Each new run of a resumable stream is stopped before the next one", "[formerstop]")
{
    Route route = makeStreamRoute();
    route.isResumable = true;
    route.maximumAttempts = 3;
    PersistentEngines engines(std::move(route));
    engines.losesConnection = true;
    engines.stopState = RunStopResult::State::Stopped;
    engines.keepsMemory = GENERATE(true, false);
    engines.headerless = {2};
    const HttpResponse answer = engines.call();
    CHECK(engines.mostAtOnce == 1);
    CHECK(answer.body == allEvents());
}
