#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using StopState = RunStopResult::State;

constexpr std::uint64_t lastEvent = 150;
constexpr std::uint64_t eventsBeforeCut = 30;
constexpr Milliseconds eventInterval{20};
/** For how long an engine must not have answered until its run counts as ended. */
constexpr Milliseconds unansweredTime{1500};

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

/** A stream whose connection is lost when its host is cut off; its engine works on. */
class CutOffRun
{
public:
    explicit CutOffRun(const Route &route)
        : stranded(
                route, StrandedHosts::Cut::Refused,
                [this](const HttpRequest &request, HttpResponder &responder) {
                    return this->work(request, responder);
                },
                3, makeEngineProperties())
    {
        this->stranded.usePaths();
        this->stranded.hosts.hosts[0]->answerStop = [this](const MoveOrder &) {
            return this->stop();
        };
    }

    /** Sends the call of the test and waits for its end. @return its response. */
    HttpResponse call()
    {
        const HttpHeaders headers{{"Patience", "12000"}};
        return this->stranded.call("/stream/", headers);
    }

    /** Returns the time since the engine was first asked to stop the run. */
    Milliseconds timeSinceFirstStop() const
    {
        return this->askedAt ? Clock::steady().now() - *this->askedAt : Milliseconds(0);
    }

    /** What a request to stop the run meets while the host is cut off. */
    StopState cutState = StopState::Unanswered;
    /** After which time since the first request the cut ends; the present request still fails. */
    Milliseconds cutTime{unansweredTime};
    /** Whether the servers are down for all hosts. */
    bool areServersDown = false;
    /** The largest number of engines that worked on the run at once. */
    std::size_t mostAtOnce = 0;
    /** The engines in the order in which they ran the call. */
    std::vector<std::string> runs;
    /** When the connection of the run was lost, and when the run of the engine was stopped. */
    std::optional<Milliseconds> lostAt;
    std::optional<Milliseconds> stoppedAt;
    StrandedHosts stranded;

private:
    net::awaitable<void> work(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string name = findHeader(request.headers, "Server-Name").value_or("");
        const bool isFirst = this->runs.empty();
        this->runs.push_back(name);
        this->working.insert(name);
        this->mostAtOnce = std::max(this->mostAtOnce, this->working.size());
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        std::uint64_t number = std::stoull(findHeader(request.headers, "Last").value_or("0"));
        while (number < lastEvent && this->working.contains(name)) {
            if (isFirst && number == eventsBeforeCut) {
                this->strand();
                responder.abort();
                isOpen = false;
            }
            ++number;
            // Without its connection the run takes longer than the cut.
            co_await GatewayFixture::pause(isOpen ? eventInterval : 3 * eventInterval);
            if (isOpen) {
                const std::string text = eventText(number);
                isOpen = co_await responder.write(text);
            }
        }
        this->working.erase(name);
        if (isOpen)
            co_await responder.finish();
    }

    void strand()
    {
        this->lostAt = Clock::steady().now();
        this->stranded.cutPaths();
        for (std::size_t host = 1; this->areServersDown && host < this->stranded.hosts.size();
             ++host)
            this->stranded.strand(host);
        this->isCutOff = true;
    }

    RunStopResult stop()
    {
        if (!this->askedAt)
            this->askedAt = Clock::steady().now();
        RunStopResult result;
        result.state = this->cutState;
        if (this->isCutOff && this->timeSinceFirstStop() < this->cutTime)
            return result;
        if (this->isCutOff) {
            this->isCutOff = false;
            this->stranded.restorePaths();
            return result;
        }
        result.state = StopState::Stopped;
        if (!this->stoppedAt)
            this->stoppedAt = Clock::steady().now();
        if (!this->runs.empty())
            this->working.erase(this->runs.front());
        return result;
    }

    std::set<std::string> working;
    std::optional<Milliseconds> askedAt;
    bool isCutOff = false;
};

} // namespace

// Guards against a run on two engines at once, because a host that is cut off from all servers
// takes the lack of an answer for the end of the engine's process.
TEST_CASE("A host that is cut off does not take a run for ended", "[cutoff]")
{
    CutOffRun run(makeStreamRoute());
    run.cutState = GENERATE(StopState::Unanswered, StopState::Unreachable);
    const HttpResponse response = run.call();
    CHECK(run.mostAtOnce == 1);
    CHECK(response.status == 200);
    CHECK((response.body == allEvents()));
    CHECK(run.stoppedAt);
    CHECK(run.runs.size() == 2);
}

// Guards against a stream that is cut although its engine can be asked again after the partition.
TEST_CASE("A stream whose host is cut off for a time goes on after that", "[cutoff]")
{
    CutOffRun run(makeStreamRoute());
    run.cutState = GENERATE(StopState::Unanswered, StopState::Unreachable, StopState::Unknown);
    run.cutTime = Milliseconds(600);
    const HttpResponse response = run.call();
    CHECK(run.mostAtOnce == 1);
    CHECK(response.status == 200);
    CHECK((response.body == allEvents()));
    CHECK(run.stoppedAt);
    CHECK(run.runs.size() == 2);
}

// Guards against a caller that waits for its host to reach servers again, although another host can
// go on with the stream.
TEST_CASE("A resumable stream ends at once if its host is cut off", "[cutoff]")
{
    Route route = makeStreamRoute();
    route.isResumable = true;
    CutOffRun run(route);
    run.cutState = GENERATE(StopState::Unanswered, StopState::Unreachable);
    CHECK(run.call().status == 0);
    REQUIRE(run.lostAt);
    CHECK(Clock::steady().now() - *run.lostAt < Milliseconds(1000));
    CHECK_FALSE(run.stoppedAt);
    CHECK(run.runs.size() == 1);
}

// Guards against a stream that waits for an engine whose process has ended, because no server of
// its service can be reached by any host.
TEST_CASE("A refused connection counts if no peer reaches the service", "[cutoff]")
{
    CutOffRun run(makeStreamRoute());
    run.areServersDown = true;
    run.cutState = StopState::Unreachable;
    run.cutTime = Milliseconds(60'000);
    CHECK(run.call().status == 0);
    REQUIRE(run.lostAt);
    CHECK(Clock::steady().now() - *run.lostAt < Milliseconds(3000));
    CHECK_FALSE(run.stoppedAt);
}
