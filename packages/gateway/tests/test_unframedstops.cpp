#include "leavingcaller.h"
#include "logcapture.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using State = RunStopResult::State;
using Ending = UnframedEngines::Ending;

/** Later than the close of the stream that it answers for. */
constexpr Milliseconds lateAnswer{300};
/** Longer than the host waits for an answer. */
constexpr Milliseconds beyondTimeout{4000};
/** Longer than the host takes to notice a silent engine twice, after which it stops the run. */
constexpr Milliseconds shortSilence{2200};
/** Longer than the engine has to be silent until the host stops the run. */
constexpr Milliseconds longSilence{4000};

RunStopResult loseAnswer(const RunStopResult &)
{
    return {};
}

RunStopResult answerWith(State state)
{
    RunStopResult answer;
    answer.state = state;
    answer.hasAnswered =
            state == State::Stopped || state == State::Busy || state == State::Declined;
    return answer;
}

/**
 * Lets the engines answer all requests to stop a run in one way; an engine declines only while it
 * works on the run, and has no such run afterwards.
 */
void answerAll(UnframedEngines &engines, State state)
{
    engines.stopsRuns = false;
    engines.changeAnswer = [state](const RunStopResult &answer) {
        const bool hasEnded = answer.state == State::Stopped;
        const bool isDeclined = state == State::Busy || state == State::Declined;
        return isDeclined && hasEnded ? answer : answerWith(state);
    };
}

/** Loses the answer to the first request to stop a run. */
void loseFirstAnswer(UnframedEngines &engines)
{
    engines.changeAnswer = [&engines](const RunStopResult &answer) {
        return engines.fixture.stops.size() == 1 ? RunStopResult{} : answer;
    };
}

/** Leaves a run whose first copy is refused one other place to go on. */
void keepOneCopy(UnframedEngines &engines, bool isCopied)
{
    engines.hasBackups = false;
    engines.copiesMemory = isCopied;
    engines.keepsMemory = !isCopied;
}

/** Lets the first run be silent until the host has copied it and asks its engine to stop it. */
void makeSilent(UnframedEngines &engines, std::uint64_t before, Milliseconds silence)
{
    engines.leavesBefore = 0;
    engines.hasBackups = false;
    engines.silentBefore = before;
    engines.silence = silence;
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
}

/** Lets the host give a request up whose answer was lost; its engine acts on it later. */
void actAfterGivenUp(UnframedEngines &engines, State secondAnswer)
{
    engines.stopsRuns = false;
    engines.changeAnswer = [&engines, secondAnswer](const RunStopResult &answer) {
        if (engines.fixture.stops.size() == 1)
            return RunStopResult{};
        if (engines.fixture.stops.size() > 2)
            return answer;
        engines.stopLater(Milliseconds(100));
        return answerWith(secondAnswer);
    };
}

/** Lets a run that has lost its connection return to its engine, after a first answer was lost. */
void returnAfterLostAnswer(UnframedEngines &engines)
{
    keepOneCopy(engines, false);
    engines.leavesBefore = 0;
    engines.losesConnectionBefore = 20;
    engines.stopsRuns = false;
    engines.changeAnswer = [&engines](const RunStopResult &answer) {
        return std::exchange(engines.stopsRuns, true) ? answer : RunStopResult{};
    };
}

/** Lets the engine act on that first request after the return. */
void actAfterReturn(UnframedEngines &engines, bool hasBackups)
{
    returnAfterLostAnswer(engines);
    engines.fixture.spawn([&engines, hasBackups]() -> net::awaitable<void> {
        while (engines.runs.size() < 2)
            co_await GatewayFixture::pause(Milliseconds(5));
        co_await GatewayFixture::pause(Milliseconds(100));
        engines.hasBackups = hasBackups;
        engines.stopLater(Milliseconds(0));
    });
}

/** Returns a field of the line that the end of the call wrote. */
std::string endField(const LogCapture &capture, std::string_view name)
{
    const auto lines = capture.lines("call_answered");
    REQUIRE(lines.size() == 1);
    return LogCapture::field(lines[0], name);
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

// Guards against a stream that ends as complete because the answer to the request that stopped its
// run comes after the close of the stream.
TEST_CASE("An unframed stream goes on although the answer to its stop is late", "[unframed]")
{
    UnframedCases cases;
    for (const bool isCopied : {true, false}) {
        for (const bool isChunked : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.isChunked = isChunked;
                keepOneCopy(engines, isCopied);
                engines.answerAfter(lateAnswer);
            };
            cases.add(prepare, checkContinued);
        }
    }
    cases.run();
}

// Guards against a stream that ends as complete because an answer is lost: all of them, only the
// first one, or one that does not come within the time for which the host waits.
TEST_CASE("An unframed stream goes on although the answer to its stop is lost", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        const auto prepareFirst = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            loseFirstAnswer(engines);
        };
        cases.add(prepareFirst, checkContinued);
        const auto prepareAll = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.changeAnswer = loseAnswer;
        };
        cases.add(prepareAll, checkContinued);
        const auto prepareTimeout = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.answerAfter(beyondTimeout);
        };
        cases.add(prepareTimeout, checkContinued);
    }
    cases.run();
}

// Guards against a stream that ends as complete because a repeated request finds no run, although
// the first one has stopped it, and against a log that does not show that.
TEST_CASE("An unframed stream without a copy is broken off after a lost answer", "[unframed]")
{
    UnframedEngines engines;
    engines.hasBackups = false;
    loseFirstAnswer(engines);
    const LogCapture capture;
    engines.call();
    checkBrokenOff(engines);
    const auto cuts = capture.lines("stream_cut");
    REQUIRE(cuts.size() == 1);
    CHECK(LogCapture::field(cuts[0], "stop_effect") == "unknown");
    CHECK(LogCapture::field(cuts[0], "framing") == "close");
    CHECK(endField(capture, "status") == "cut");
}

// Guards against a stream that ends as complete because its engine, which was busy with an earlier
// request, takes a later one.
TEST_CASE("An unframed stream goes on if its engine stops it after it was busy", "[unframed]")
{
    UnframedEngines engines;
    engines.stopsRuns = false;
    engines.changeAnswer = [&engines](const RunStopResult &answer) {
        engines.stopsRuns = true;
        return engines.fixture.stops.size() == 1 ? answerWith(State::Busy) : answer;
    };
    engines.call();
    checkContinued(engines);
}

// Guards against a stream that ends as complete because its host has given a request up whose
// answer was lost, while the engine still acts on it.
TEST_CASE("An unframed stream goes on after a request that its host gave up", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const State state : {State::Unreachable, State::Declined}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.isChunked = isChunked;
                actAfterGivenUp(engines, state);
            };
            cases.add(prepare, checkContinued);
        }
        const auto prepareAlone = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.hasBackups = false;
            actAfterGivenUp(engines, State::Unreachable);
        };
        cases.add(prepareAlone, checkBrokenOff);
    }
    cases.run();
}

// Guards against a second run after a sound end that a lost answer leaves unknown, and against a
// complete response that nothing shows to be so.
TEST_CASE("An unframed run that ends by itself after a lost answer does not run again",
          "[unframed]")
{
    const auto loseThenRefuse = [](UnframedEngines &engines, std::uint64_t remaining) {
        engines.leavesBefore = UnframedEngines::lastEvent - remaining;
        engines.stopsRuns = false;
        engines.changeAnswer = [&engines](const RunStopResult &answer) {
            if (engines.fixture.stops.size() == 1)
                return RunStopResult{};
            return engines.fixture.stops.size() == 2 ? answerWith(State::Unreachable) : answer;
        };
    };
    UnframedCases cases;
    for (const std::uint64_t remaining : {1, 25}) {
        const auto prepare = [&](UnframedEngines &engines) {
            loseThenRefuse(engines, remaining);
        };
        cases.add(prepare, [](UnframedEngines &engines) {
            checkBrokenOff(engines);
            CHECK(engines.fixture.receivedBody == UnframedEngines::events());
        });
        const auto prepareChunked = [&](UnframedEngines &engines) {
            engines.isChunked = true;
            loseThenRefuse(engines, remaining);
        };
        cases.add(prepareChunked, checkComplete);
    }
    cases.run();
}

// Guards against a sound stream that is cut or run again because of requests to stop it that can't
// have arrived, or whose answers, early or late, show that they did nothing.
TEST_CASE("An unframed stream that ends by itself is complete after any answer", "[unframed]")
{
    UnframedCases cases;
    for (const State state : {State::Unreachable, State::Unanswered, State::NotSent, State::Busy,
                              State::Declined, State::Stopped}) {
        for (const Milliseconds answerTime : {Milliseconds(0), Milliseconds(20), lateAnswer}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.leavesBefore = UnframedEngines::lastEvent - 1;
                answerAll(engines, state);
                engines.answerAfter(answerTime);
            };
            cases.add(prepare, [](UnframedEngines &engines) {
                CHECK_FALSE(engines.fixture.stops.empty());
                checkComplete(engines);
            });
        }
    }
    cases.run();
}

// Guards against a log that does not tell why an unframed stream counts as complete.
TEST_CASE("The log tells what the request to stop an unframed stream has done", "[unframed]")
{
    const auto [state, effect] = GENERATE(table<State, std::string>({
            {State::Unreachable, "none"},
            {State::Busy, "declined"},
            {State::Declined, "declined"},
            {State::Stopped, "absent"},
    }));
    UnframedEngines engines;
    engines.leavesBefore = UnframedEngines::lastEvent - 1;
    answerAll(engines, state);
    engines.answerAfter(lateAnswer);
    const LogCapture capture;
    engines.call();
    checkComplete(engines);
    CHECK(endField(capture, "status") == "complete");
    CHECK(endField(capture, "framing") == "close");
    CHECK(endField(capture, "stop") == effect);
}

// Guards against a sound chunked stream that is cut or run again because of a request to stop it.
TEST_CASE("A chunked stream that ends by itself is complete after any answer", "[unframed]")
{
    UnframedCases cases;
    for (const State state :
         {State::Unreachable, State::Busy, State::Declined, State::Stopped, State::Unknown}) {
        const auto prepare = [&](UnframedEngines &engines) {
            engines.isChunked = true;
            engines.leavesBefore = UnframedEngines::lastEvent - 1;
            answerAll(engines, state);
            engines.answerAfter(lateAnswer);
        };
        cases.add(prepare, checkComplete);
    }
    cases.run();
}

// Guards against a stopped run that is not continued, or looks complete, because its connection was
// reset or closed inside an event.
TEST_CASE("A stopped run whose connection is reset or ends inside an event goes on", "[unframed]")
{
    UnframedCases cases;
    for (const Ending ending : {Ending::Reset, Ending::InsideEvent}) {
        const auto prepare = [&](UnframedEngines &engines) {
            engines.ending = ending;
            engines.changeAnswer = loseAnswer;
        };
        cases.add(prepare, checkContinued);
        const auto prepareAlone = [&](UnframedEngines &engines) {
            engines.ending = ending;
            engines.hasBackups = false;
            loseFirstAnswer(engines);
        };
        cases.add(prepareAlone, checkBrokenOff);
    }
    cases.run();
}

// Guards against streams that are cut or run again although nothing was asked of their engine, or
// it has declined.
TEST_CASE("An unframed stream that its engine closes without a stop is complete", "[unframed]")
{
    const auto [isLeaving, isAsked] =
            GENERATE(table<bool, bool>({{false, false}, {true, false}, {true, true}}));
    UnframedEngines engines;
    engines.exitsBefore = 60;
    // The run has come to its end, so its backup is freed.
    engines.atExit = [&engines] {
        engines.hasBackups = false;
    };
    engines.stopsRuns = false;
    if (!isLeaving)
        engines.leavesBefore = 0;
    // Without another engine there is nowhere to move the run.
    if (!isAsked)
        engines.fixture.removeEntry("b");
    const LogCapture capture;
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events(engines.exitsBefore - 1));
    CHECK(engines.runs.size() == 1);
    CHECK(engines.fixture.stops.empty() == !isAsked);
    CHECK(endField(capture, "status") == "complete");
    CHECK(endField(capture, "stop") == (isAsked ? "declined" : "none"));
}

// Guards against a stream that ends as complete with events missing although its engine, which has
// declined to stop the run, still has a copy of it elsewhere: a run that ends frees its backup.
TEST_CASE("An unframed stream goes on whose engine declined and has kept its backup", "[unframed]")
{
    UnframedEngines engines;
    engines.exitsBefore = 60;
    engines.stopsRuns = false;
    engines.call();
    checkContinued(engines);
}

// Guards against a stream that ends as complete inside an event, because its engine has exited.
TEST_CASE("An unframed stream that ends inside an event is broken off", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        for (const bool hasBackups : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.leavesBefore = 0;
                engines.exitsBefore = 30;
                engines.ending = Ending::InsideEvent;
                engines.isChunked = isChunked;
                engines.hasBackups = hasBackups;
            };
            cases.add(prepare, hasBackups ? checkContinued : checkBrokenOff);
        }
    }
    cases.run();
}

// Guards against a stream that ends as complete after its silent engine has stopped the run.
TEST_CASE("An unframed stream goes on after its silent engine stopped it", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const bool isLost : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                makeSilent(engines, 20, longSilence);
                engines.isChunked = isChunked;
                if (isLost)
                    engines.changeAnswer = loseAnswer;
            };
            cases.add(prepare, [](UnframedEngines &engines) {
                CHECK_FALSE(engines.fixture.stops.empty());
                checkContinued(engines);
            });
        }
    }
    cases.run();
}

// Guards against a resumable stream that ends as complete because its run was stopped, with and
// without a copy at which it goes on.
TEST_CASE("An unframed resumable stream goes on after its run was stopped", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const bool hasMovedCopies : {true, false}) {
            for (const bool isLost : {true, false}) {
                const auto prepare = [&](UnframedEngines &engines) {
                    makeSilent(engines, 20, longSilence);
                    engines.isChunked = isChunked;
                    engines.hasMovedCopies = hasMovedCopies;
                    if (isLost)
                        loseFirstAnswer(engines);
                };
                cases.add(prepare, checkContinued, UnframedEngines::makeResumableRoute());
            }
        }
    }
    cases.run();
}

// Guards against a stream that is cut, or a run that is repeated, because a silent engine ends the
// run by itself while it is asked to stop it.
TEST_CASE("An unframed stream of a silent engine that ends by itself is complete", "[unframed]")
{
    UnframedCases cases;
    for (const bool isResumable : {true, false}) {
        for (const State state : {State::Stopped, State::Declined, State::Unreachable}) {
            const auto prepare = [&](UnframedEngines &engines) {
                makeSilent(engines, UnframedEngines::lastEvent, shortSilence);
                answerAll(engines, state);
                engines.answerAfter(lateAnswer);
            };
            const auto check = [state](UnframedEngines &engines) {
                // The moved copy outlives its run, and is the only evidence after a refusal.
                CHECK(engines.runs.size() == (state == State::Declined ? 2 : 1));
                CHECK(engines.answer->status == 200);
                CHECK(engines.answer->body == UnframedEngines::events());
                CHECK(engines.mostAtOnce == 1);
            };
            cases.add(prepare, check,
                      isResumable ? UnframedEngines::makeResumableRoute()
                                  : UnframedEngines::makeRoute());
        }
    }
    cases.run();
}

// Guards against events that are missing, repeated or added, because the end of a silent run stays
// unknown after a lost answer; it goes on only from a copy or, if resumable, after its last event.
TEST_CASE("An unframed stream of a silent engine has no event twice after a lost answer",
          "[unframed]")
{
    UnframedCases cases;
    for (const bool isResumable : {true, false}) {
        for (const bool hasMovedCopies : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                makeSilent(engines, UnframedEngines::lastEvent, shortSilence);
                engines.hasMovedCopies = hasMovedCopies;
                engines.stopsRuns = false;
                loseFirstAnswer(engines);
                engines.answerAfter(lateAnswer);
            };
            const bool isContinued = isResumable || hasMovedCopies;
            const auto check = [isContinued](UnframedEngines &engines) {
                CHECK(engines.answer->status == (isContinued ? 200 : 0));
                CHECK(engines.fixture.receivedBody == UnframedEngines::events());
                CHECK(engines.runs.size() == (isContinued ? 2 : 1));
                CHECK(engines.mostAtOnce == 1);
            };
            cases.add(prepare, check,
                      isResumable ? UnframedEngines::makeResumableRoute()
                                  : UnframedEngines::makeRoute());
        }
    }
    cases.run();
}

// Guards against a stream that is cut because a request for an earlier part at another engine,
// whose answer was lost, is taken for one that may stop the present part.
TEST_CASE("A request for a part at another engine does not concern an unframed end", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const bool isLost : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.leavesBefore = 0;
                engines.losesConnectionBefore = 30;
                engines.isChunked = isChunked;
                if (isLost)
                    loseFirstAnswer(engines);
            };
            cases.add(prepare, checkContinued);
        }
    }
    cases.run();
}

// Guards against a stream that ends as complete because a request for an earlier part at the same
// engine, whose answer was lost, stops the part that returned there.
TEST_CASE("A request for an earlier part may stop the unframed part that returned", "[unframed]")
{
    const auto checkParts = [](UnframedEngines &engines, std::size_t runs) {
        REQUIRE(engines.runs.size() == runs);
        CHECK(engines.runs[0] == engines.runs[1]);
        CHECK(engines.mostAtOnce == 1);
    };
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const bool hasBackups : {true, false}) {
            const auto prepare = [&](UnframedEngines &engines) {
                engines.isChunked = isChunked;
                actAfterReturn(engines, hasBackups);
            };
            cases.add(prepare, [checkParts, hasBackups](UnframedEngines &engines) {
                checkParts(engines, hasBackups ? 3 : 2);
                CHECK(engines.answer->status == (hasBackups ? 200 : 0));
                if (hasBackups)
                    CHECK(engines.answer->body == UnframedEngines::events());
            });
        }
    }
    cases.run();
}

// Guards against a third run after the sound end of such a part, which stays unknown without
// framing.
TEST_CASE("An unframed part that returned after a lost answer does not run again", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        const auto prepare = [&](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            returnAfterLostAnswer(engines);
        };
        cases.add(prepare, [isChunked](UnframedEngines &engines) {
            CHECK(engines.runs.size() == 2);
            CHECK(engines.answer->status == (isChunked ? 200 : 0));
            CHECK(engines.fixture.receivedBody == UnframedEngines::events());
        });
    }
    cases.run();
}

// Guards against a stream that is cut because the part that returned to its engine ends by itself,
// after the request that stopped the first part was answered.
TEST_CASE("An unframed part that returned to its engine is complete at its end", "[unframed]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        const auto prepare = [&](UnframedEngines &engines) {
            keepOneCopy(engines, false);
            engines.isChunked = isChunked;
        };
        cases.add(prepare, [](UnframedEngines &engines) {
            checkContinued(engines);
            REQUIRE(engines.runs.size() == 2);
            CHECK(engines.runs[0] == engines.runs[1]);
        });
    }
    cases.run();
}

// Guards against a call that waits for an answer although its caller has left, and against requests
// that are repeated for it.
TEST_CASE("The wait for the answer to a stop ends when the caller leaves", "[unframed]")
{
    UnframedEngines engines;
    // With a backup the stream would go on without the answer.
    engines.hasBackups = false;
    engines.answerAfter(beyondTimeout);
    const LogCapture capture;
    LeavingCaller caller(engines);
    caller.start();
    REQUIRE(runUntil(engines, [&] { return !engines.fixture.stops.empty(); }));
    // By then the relay has read the close of the stream and waits.
    engines.fixture.runFor(Milliseconds(300));
    CHECK_FALSE(caller.isComplete);
    CHECK(engines.fixture.entryState().activeRequests == 1);
    const Milliseconds left = Clock::steady().now();
    caller.leave();
    REQUIRE(runUntil(engines, [&] { return engines.fixture.entryState().activeRequests == 0; }));
    CHECK(Clock::steady().now() - left < Milliseconds(1000));
    CHECK(endField(capture, "status") == "caller_gone");
    // Longer than the request waits for its answer.
    engines.fixture.runFor(Milliseconds(2500));
    CHECK(engines.fixture.stops.size() == 1);
    CHECK(engines.runs.size() == 1);
}

// Guards against a complete response, or a call without end, because the time of the call is over
// while the answer to the request to stop its run is awaited.
TEST_CASE("An unframed stream is broken off if its deadline passes before the answer", "[unframed]")
{
    UnframedEngines engines;
    // With a backup the stream would go on without the answer.
    engines.hasBackups = false;
    engines.copiesMemory = GENERATE(true, false);
    engines.answerAfter(beyondTimeout);
    const LogCapture capture;
    const Milliseconds start = Clock::steady().now();
    engines.call("1500");
    checkBrokenOff(engines);
    CHECK(Clock::steady().now() - start >= Milliseconds(1400));
    CHECK(endField(capture, "status") == "cut");
}

// Guards against a stream that ends as complete because its engine closes it at the deadline that
// it got, while the host has no processor time and sees the close together with its own deadline.
TEST_CASE("An unframed stream that is closed after its deadline does not look complete",
          "[unframed]")
{
    Route route = UnframedEngines::makeRoute();
    route.timeout = Milliseconds(400);
    UnframedEngines engines(route);
    engines.leavesBefore = 0;
    engines.exitsBefore = 20;
    engines.atExit = [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    };
    engines.call();
    checkBrokenOff(engines);
}
