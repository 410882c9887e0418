#include "leavingcaller.h"
#include "logcapture.h"
#include "rawserver.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

using Answer = ProcessAnswer::State;

/** How long a question for a process takes whose answer the test gives. */
constexpr Milliseconds questionTime{50};
/** The time between two events of a run whose length does not matter. */
constexpr Milliseconds shortInterval{2};
/** When the process of each engine was started, by its entry. */
constexpr std::int64_t startedAt = 7;
constexpr std::int64_t otherStartedAt = 8;

/** How an engine answers whether its process lives. */
struct Process
{
    ProcessAnswer answer;
    /** How long the answer takes, at most until the host gives up. */
    Milliseconds time = questionTime;
};

/** A process that does not answer. */
const Process silentProcess{{Answer::Unanswered, {}}, Milliseconds(8000)};
/** Another process than the one of the entry. */
const Process otherProcess{{Answer::Answered, otherStartedAt}, questionTime};

net::awaitable<ProcessAnswer> giveAnswer(Process process, Milliseconds timeout)
{
    co_await GatewayFixture::pause(std::min(process.time, timeout));
    co_return process.answer;
}

/**
 * Gives the answers of the engine of the first run to all questions for its process, which has
 * ended by then unless it answers as that of its entry.
 */
void setProcess(UnframedEngines &engines, const Process &process)
{
    GatewayFixture &fixture = engines.fixture;
    for (const std::string name : {"a", "b"})
        fixture.writeEntry(name, fixture.addressOf(name), startedAt);
    fixture.askProcess = [&engines, process](std::string address, Milliseconds timeout) {
        const std::string &first = engines.runs.front();
        const bool isFirst = engines.fixture.addressOf(first) == address;
        const auto &stated = process.answer.startedAt;
        const bool lives =
                process.answer.state == Answer::Answered && stated.value_or(startedAt) == startedAt;
        if (isFirst && !lives)
            engines.fixture.closeConnections(first);
        const Process living{{Answer::Answered, startedAt}, questionTime};
        return giveAnswer(isFirst ? process : living, timeout);
    };
}

/** Lets the engine of the first run exit in order between two events. */
void exitInOrder(UnframedEngines &engines)
{
    engines.leavesBefore = 0;
    engines.exitsBefore = 45;
}

/** Checks that a stream has each event once and needed one more run. */
void checkContinued(UnframedEngines &engines)
{
    CHECK(engines.answer->status == 200);
    CHECK(engines.answer->body == UnframedEngines::events());
    CHECK(engines.runs.size() == 2);
    CHECK(engines.mostAtOnce == 1);
}

/** Checks that a stream ended as complete with its first run. */
void checkComplete(UnframedEngines &engines)
{
    CHECK(engines.answer->status == 200);
    CHECK(engines.answer->body == UnframedEngines::events());
    CHECK(engines.runs.size() == 1);
}

/** Checks that a stream whose run had come to its end was broken off. */
void checkBrokenOff(UnframedEngines &engines)
{
    CHECK(engines.answer->status == 0);
    CHECK(engines.fixture.receivedBody == UnframedEngines::events());
    CHECK(engines.runs.size() == 1);
}

/** Adds the cases of a process that has ended, or may have, with what evidence is left. */
void addLostProcess(UnframedCases &cases, const Process &process)
{
    const auto exit = [process](UnframedEngines &engines) {
        exitInOrder(engines);
        setProcess(engines, process);
    };
    // The stand-in frees the backup of a run that comes to its end.
    const auto end = [process](UnframedEngines &engines) {
        engines.leavesBefore = 0;
        setProcess(engines, process);
    };
    cases.add(exit, checkContinued);
    cases.add(end, checkBrokenOff);
    for (const auto &prepare : {UnframedCases::Step(exit), UnframedCases::Step(end)})
        cases.add(prepare, checkContinued, UnframedEngines::makeResumableRoute());
}

/** Several streams of one engine that it closes in the same moment, after their last event. */
class ClosingTogether
{
public:
    explicit ClosingTogether(int count)
        : count(count)
    {
        this->fixture.addRoute(UnframedEngines::makeRoute(),
                               UnframedEngines::makeEngineProperties());
        this->fixture.addRawServer("a",
                                   [this](tcp::socket &socket) { return this->serve(socket); });
    }

    GatewayFixture fixture;

private:
    net::awaitable<void> serve(tcp::socket &socket)
    {
        const std::string head = co_await readHead(socket);
        if (head.empty())
            co_return;
        const std::string response = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + fieldOf(head, "Id")
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                + UnframedEngines::events();
        co_await sendText(socket, response);
        ++this->written;
        while (this->written < this->count)
            co_await GatewayFixture::pause(Milliseconds(1));
    }

    int count;
    int written = 0;
};

} // namespace

// Guards against a question to the engine for each of many streams that end in the same moment.
TEST_CASE("Unframed streams that end together share the check of their process", "[exits]")
{
    constexpr int streamCount = 5;
    ClosingTogether engine(streamCount);
    const auto answers = engine.fixture.callConcurrently("/stream/", streamCount);
    for (const HttpResponse &answer : answers) {
        CHECK(answer.status == 200);
        CHECK(answer.body == UnframedEngines::events());
    }
    CHECK(engine.fixture.processChecks >= 1);
    CHECK(engine.fixture.processChecks <= 2);
}

// Guards against a sound stream that is cut or runs again although the process of its engine says
// that it is the one of the entry, or answers a later question after it stood still for a moment.
TEST_CASE("An unframed stream is complete if the process of its entry answers", "[exits]")
{
    constexpr int unanswered = 2;
    UnframedCases cases;
    for (const std::optional<std::int64_t> &stated : {std::optional(startedAt), {}}) {
        const auto prepare = [stated](UnframedEngines &engines) {
            engines.interval = shortInterval;
            engines.leavesBefore = 0;
            setProcess(engines, {{Answer::Answered, stated}});
        };
        cases.add(prepare, checkComplete);
    }
    const auto answerLater = [](UnframedEngines &engines) {
        engines.interval = shortInterval;
        engines.leavesBefore = 0;
        engines.fixture.askProcess = [&engines](std::string, Milliseconds timeout) {
            const bool isAnswered = engines.fixture.processChecks > unanswered;
            return giveAnswer({{isAnswered ? Answer::Answered : Answer::Unanswered, {}}}, timeout);
        };
    };
    cases.add(answerLater, [](UnframedEngines &engines) {
        checkComplete(engines);
        CHECK(engines.fixture.processChecks == unanswered + 1);
    });
    cases.run();
}

// Guards against a stream that ends as complete with events missing, is cut although something
// shows how to go on, or gets events twice, because its engine does not answer after the close, or
// another process answers at its address.
TEST_CASE("An unframed stream whose engine does not answer needs other evidence", "[exits]")
{
    UnframedCases cases;
    for (const Process &process : {silentProcess, otherProcess})
        addLostProcess(cases, process);
    cases.run();
}

// Guards against a call that goes on after its caller has left while its engine is asked.
TEST_CASE("The wait for the process of an engine ends when the caller leaves", "[exits]")
{
    constexpr Milliseconds latestEnd{3000};
    UnframedEngines engines;
    engines.interval = shortInterval;
    engines.leavesBefore = 0;
    setProcess(engines, silentProcess);
    const LogCapture capture;
    LeavingCaller caller(engines);
    caller.start();
    REQUIRE(runUntil(engines, [&] { return engines.fixture.processChecks > 0; }));
    CHECK_FALSE(caller.isComplete);
    CHECK(engines.fixture.entryState().activeRequests == 1);
    const Milliseconds leftAt = Clock::steady().now();
    caller.leave();
    REQUIRE(runUntil(engines, [&] { return engines.fixture.entryState().activeRequests == 0; }));
    CHECK(Clock::steady().now() - leftAt < latestEnd);
    const auto lines = capture.lines("call_answered");
    REQUIRE(lines.size() == 1);
    CHECK(LogCapture::field(lines[0], "status") == "caller_gone");
    CHECK(engines.runs.size() == 1);
}

// Guards against a complete response, or one that ends late, because the time of the call is over
// while its engine is asked.
TEST_CASE("An unframed stream is broken off if its deadline passes during the check", "[exits]")
{
    constexpr Milliseconds timeLimit{1000};
    constexpr Milliseconds latestEnd = timeLimit + Milliseconds(500);
    UnframedCases cases;
    const LogCapture capture;
    const Milliseconds start = Clock::steady().now();
    for (const bool hasBackups : {true, false}) {
        const auto prepare = [hasBackups](UnframedEngines &engines) {
            exitInOrder(engines);
            engines.hasBackups = hasBackups;
            setProcess(engines, silentProcess);
        };
        cases.add(prepare, [start, latestEnd](UnframedEngines &engines) {
            CHECK(engines.fixture.processChecks > 0);
            CHECK(engines.answer->status == 0);
            CHECK(engines.runs.size() == 1);
            CHECK(engines.answeredAt - start < latestEnd);
        });
    }
    cases.run(std::to_string(timeLimit.count()));
    const auto lines = capture.lines("call_answered");
    CHECK(lines.size() == 2);
    for (const std::string &line : lines)
        CHECK(LogCapture::field(line, "status") == "cut");
}

// Guards against a question to the engine, and a doubt, at the end of a body that is no stream: it
// is complete when its connection is closed in order.
TEST_CASE("An unframed body without events is complete without a check", "[exits]")
{
    GatewayFixture fixture;
    fixture.addRoute(UnframedEngines::makeRoute(), UnframedEngines::makeEngineProperties());
    const std::string body = "{\"text\":\"whole\"}";
    fixture.addRawServer("a", [body](tcp::socket &socket) -> net::awaitable<void> {
        const std::string head = co_await readHead(socket);
        const std::string response = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + fieldOf(head, "Id")
                + "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body;
        co_await sendText(socket, response);
    });
    fixture.askProcess = [](std::string, Milliseconds timeout) {
        return giveAnswer(silentProcess, timeout);
    };
    const HttpResponse answer = fixture.call("/stream/", "r1");
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
    CHECK(fixture.processChecks == 0);
}
