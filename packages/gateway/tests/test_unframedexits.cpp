#include "logcapture.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

using State = RunStopResult::State;

/** What the entry of an engine says when its process ends. */
enum class Entry {
    Stands,
    Removed,
    Leaving,
};

/** Lets the engine of the first run exit in order between two events. */
void exitInOrder(UnframedEngines &engines, Entry entry = Entry::Stands)
{
    engines.leavesBefore = 0;
    engines.exitsBefore = 45;
    engines.atExit = [&engines, entry] {
        const std::string name = engines.runs.front();
        engines.fixture.exitProcess(name);
        engines.changeAnswer = [](const RunStopResult &) {
            RunStopResult answer;
            answer.state = State::Unreachable;
            return answer;
        };
        if (entry == Entry::Removed)
            engines.fixture.removeEntry(name);
        if (entry == Entry::Leaving)
            engines.fixture.markLeaving(name);
    };
}

/**
 * Lets the engines stop a run that a host asks them to stop, or do so after a time, but answer that
 * they decline.
 *
 * @param isAlways whether they answer so to later requests, too, instead of having no such run.
 */
void stopAndDeny(UnframedEngines &engines, State state, bool isAlways, Milliseconds after)
{
    engines.stopsRuns = after == Milliseconds(0);
    engines.changeAnswer = [&engines, state, isAlways,
                            after](const RunStopResult &answer) -> RunStopResult {
        if (after > Milliseconds(0) && engines.fixture.stops.size() == 1)
            engines.stopLater(after);
        const bool hasRun = answer.memory || answer.state == State::Declined;
        if (!hasRun && !isAlways)
            return answer;
        RunStopResult denial;
        denial.state = state;
        denial.hasAnswered = true;
        return denial;
    };
}

/** Returns engines that copy a run as it grows, or by moves only. */
EngineProperties makeEngine(bool hasBackups)
{
    EngineProperties engine = UnframedEngines::makeEngineProperties();
    engine.supportsBackup = hasBackups;
    return engine;
}

/** Lets the engines copy runs by moves if they have no backups. */
void copyRuns(UnframedEngines &engines, bool hasBackups)
{
    engines.hasBackups = hasBackups;
    engines.fixture.allowsMove = [hasBackups](const MoveOrder &) {
        return !hasBackups;
    };
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

/** Checks that a stream was broken off and did not run again. */
void checkBrokenOff(UnframedEngines &engines)
{
    CHECK(engines.answer->status == 0);
    CHECK(engines.runs.size() == 1);
}

} // namespace

// Guards against a stream without a length and chunks that ends as complete with events missing,
// because the process of its engine ends and its operating system closes the connection in order.
TEST_CASE("An unframed stream goes on after its engine exits", "[exits]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        for (const Entry entry : {Entry::Stands, Entry::Removed, Entry::Leaving}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.isChunked = isChunked;
                exitInOrder(engines, entry);
            };
            cases.add(prepare, checkContinued);
            cases.add(prepare, checkContinued, UnframedEngines::makeResumableRoute());
        }
    }
    cases.run();
}

// Guards against the same where no engine can go on: then nothing shows whether the stream is
// complete, and it must not look so.
TEST_CASE("An unframed stream without a copy is broken off after its engine exits", "[exits]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        const auto prepare = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.hasBackups = false;
            exitInOrder(engines);
        };
        cases.add(prepare, checkBrokenOff);
    }
    cases.run();
}

// Guards against a stream that runs a second time at its backup, because its engine is lost before
// the first event, so that the continuation could not say where to go on.
TEST_CASE("A stream that has no event yet does not run again after its engine is lost", "[exits]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        const auto prepareLoss = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.leavesBefore = 0;
            engines.losesConnectionBefore = 1;
        };
        cases.add(prepareLoss, checkBrokenOff);
        const auto prepareExit = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            exitInOrder(engines);
            engines.exitsBefore = 1;
        };
        cases.add(prepareExit, checkBrokenOff);
    }
    cases.run();
}

// Guards against a sound stream that is cut, runs again or ends late because its host looks for
// evidence of its end.
TEST_CASE("An unframed stream is complete at once if its engine lives", "[exits]")
{
    constexpr Milliseconds latestEnd{300};
    UnframedEngines engines(GENERATE(true, false) ? UnframedEngines::makeResumableRoute()
                                                  : UnframedEngines::makeRoute());
    engines.leavesBefore = 0;
    const LogCapture capture;
    engines.start();
    while (engines.fixture.receivedBody != UnframedEngines::events())
        engines.fixture.runOne();
    const Milliseconds lastEventAt = Clock::steady().now();
    while (!engines.hasEnded())
        engines.fixture.runOne();
    CHECK(Clock::steady().now() - lastEventAt < latestEnd);
    checkComplete(engines);
    CHECK(engines.fixture.processChecks == 1);
    const auto lines = capture.lines("call_answered");
    REQUIRE(lines.size() == 1);
    CHECK(LogCapture::field(lines[0], "process") == "outlived");
}

// Guards against a sound stream that is cut or runs again because its engine, which leaves, has
// closed its listener and can't be asked any more; its process still lives.
TEST_CASE("An unframed stream of an engine without a listener is complete", "[exits]")
{
    UnframedCases cases;
    const auto prepare = [](UnframedEngines &engines) {
        engines.leavesBefore = 0;
        engines.hasBackups = false;
        engines.fixture.spawn([&engines]() -> boost::asio::awaitable<void> {
            while (engines.runs.empty())
                co_await GatewayFixture::pause(Milliseconds(5));
            co_await GatewayFixture::pause(Milliseconds(200));
            engines.fixture.closeListener(engines.runs.front());
        });
    };
    cases.add(prepare, checkComplete);
    cases.add(prepare, checkComplete, UnframedEngines::makeResumableRoute());
    cases.run();
}

// Guards against a request to the engine at the end of each stream, although only the close of an
// event stream without framing needs it.
TEST_CASE("A chunked stream is complete without a question to its engine", "[exits]")
{
    UnframedEngines engines;
    engines.isChunked = true;
    engines.leavesBefore = 0;
    engines.call();
    checkComplete(engines);
    CHECK(engines.fixture.processChecks == 0);
}

// Guards against a stream that ends as complete with events missing, because its engine stops the
// run although it declines the request to do so, at once or later.
TEST_CASE("An unframed stream goes on if its engine stops it but denies that", "[exits]")
{
    UnframedCases cases;
    for (const bool isAlways : {false, true}) {
        for (const State state : {State::Busy, State::Declined}) {
            for (const Milliseconds after : {Milliseconds(0), Milliseconds(100)}) {
                for (const bool hasBackups : {true, false}) {
                    const auto prepare = [&](UnframedEngines &engines) {
                        copyRuns(engines, hasBackups);
                        stopAndDeny(engines, state, isAlways, after);
                    };
                    cases.add(prepare, checkContinued, UnframedEngines::makeRoute(),
                              makeEngine(hasBackups));
                }
            }
        }
    }
    cases.run();
}

// Guards against the same where no copy is left: nothing shows whether the stream is complete.
TEST_CASE("An unframed stream without a copy is broken off if its engine denies a stop", "[exits]")
{
    UnframedCases cases;
    for (const State state : {State::Busy, State::Declined}) {
        const auto prepare = [&](UnframedEngines &engines) {
            engines.hasBackups = false;
            stopAndDeny(engines, state, true, Milliseconds(0));
        };
        cases.add(prepare, checkBrokenOff);
    }
    cases.run();
}

// Guards against a sound stream that is cut or runs again, because its engine declines to stop the
// run, which comes to its end before or after the answer.
TEST_CASE("An unframed stream that its engine declined to stop is complete at its end", "[exits]")
{
    UnframedCases cases;
    for (const State state : {State::Busy, State::Declined}) {
        for (const bool hasBackups : {true, false}) {
            for (const std::uint64_t remaining : {1, 20}) {
                const auto prepare = [&](UnframedEngines &engines) {
                    copyRuns(engines, hasBackups);
                    engines.leavesBefore = UnframedEngines::lastEvent - remaining;
                    engines.stopsRuns = false;
                    engines.changeAnswer = [state](RunStopResult answer) {
                        // A run that has ended is answered as the pages say.
                        if (answer.state == State::Declined)
                            answer.state = state;
                        return answer;
                    };
                    engines.answerAfter(Milliseconds(150));
                };
                cases.add(
                        prepare,
                        [hasBackups](UnframedEngines &engines) {
                            CHECK(engines.answer->status == 200);
                            CHECK(engines.answer->body == UnframedEngines::events());
                            CHECK(engines.mostAtOnce == 1);
                            // A moved copy outlives its run; its continuation adds nothing.
                            CHECK(engines.runs.size() <= (hasBackups ? 1 : 2));
                        },
                        UnframedEngines::makeRoute(), makeEngine(hasBackups));
            }
        }
    }
    cases.run();
}
