#include "leavingcaller.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using State = RunStopResult::State;

/** Longer than the host waits for an answer to a request to stop a run. */
constexpr Milliseconds lostAnswerTime{2200};
constexpr Milliseconds noAnswer{60'000};
/** The longest pause for which no caller leaves, far above the time of a continuation. */
constexpr Milliseconds pauseLimit{600};

/** Lets the engine that has the backup of the first run leave a while after its engine. */
void leaveInTurn(UnframedEngines &engines)
{
    constexpr Milliseconds leaveInterval{500};
    engines.addEngine("c");
    engines.atLeave = [&engines, leaveInterval] {
        engines.fixture.publishServers();
        engines.fixture.spawn([&engines, leaveInterval]() -> net::awaitable<void> {
            co_await GatewayFixture::pause(leaveInterval);
            if (engines.backups.empty())
                co_return;
            engines.fixture.markLeaving(engines.backups.front());
            engines.fixture.publishServers();
        });
    };
}

/** Lets a run go on for long after the engine that took it up has begun to leave. */
void workSlowly(UnframedEngines &engines)
{
    engines.interval = Milliseconds(25);
    engines.leavesBefore = 20;
}

/** Lets the engine of the first run exit in order between two events. */
void exitInOrder(UnframedEngines &engines)
{
    engines.leavesBefore = 0;
    engines.exitsBefore = 45;
    engines.atExit = [&engines] {
        engines.fixture.exitProcess(engines.runs.front());
        engines.changeAnswer = [](const RunStopResult &) {
            RunStopResult answer;
            answer.state = State::Unreachable;
            return answer;
        };
    };
}

/** Lets the engines give an answer to each request to stop a run, whatever they do. */
void answerAll(UnframedEngines &engines, State state)
{
    engines.changeAnswer = [state](const RunStopResult &) {
        RunStopResult answer;
        answer.state = state;
        answer.hasAnswered = true;
        return answer;
    };
}

/** Lets the engines copy a run when they are asked to. */
void allowMoves(UnframedEngines &engines)
{
    engines.fixture.allowsMove = [](const MoveOrder &) {
        return true;
    };
}

/** Returns engines that have no backups, so that runs are copied by moves only. */
EngineProperties makePropertiesWithoutBackup()
{
    EngineProperties engine = UnframedEngines::makeEngineProperties();
    engine.supportsBackup = false;
    return engine;
}

/** Checks that a stream has each event once, without a pause that its caller would notice. */
void checkWhole(UnframedEngines &engines)
{
    CHECK(engines.answer->status == 200);
    CHECK(engines.answer->body == UnframedEngines::events());
    CHECK(engines.mostAtOnce == 1);
    CHECK(engines.fixture.longestPause < pauseLimit);
}

/** Returns the engines where a host has calls or copies, each followed by a space. */
std::string reservedEngines(UnframedEngines &engines)
{
    std::optional<PeerLoadDigest> digest;
    engines.fixture.spawn([&]() -> net::awaitable<void> {
        digest = co_await engines.fixture.dispatchService().loadDigest();
    });
    while (!digest)
        engines.fixture.runOne();
    std::string names;
    for (const PeerLoadEntry &entry : digest->entries)
        names += entry.server.toString() + " ";
    return names;
}

/** Checks that a host has nothing reserved at any engine. */
void checkNothingReserved(UnframedEngines &engines)
{
    // A reservation that was under way when the call ended is released once it is made.
    constexpr Milliseconds releaseTime{200};
    const Milliseconds end = Clock::steady().now() + releaseTime;
    while (!reservedEngines(engines).empty() && Clock::steady().now() < end)
        engines.fixture.runFor(Milliseconds(20));
    const std::string reserved = reservedEngines(engines);
    CAPTURE(reserved);
    CHECK(reserved.empty());
}

using Step = UnframedCases::Step;

/** Returns what can happen to a stream. */
std::vector<Step> streamSteps()
{
    std::vector<Step> steps;
    for (const Milliseconds time : {Milliseconds(0), Milliseconds(150), lostAnswerTime}) {
        for (const bool isCopied : {true, false}) {
            steps.emplace_back([=](UnframedEngines &engines) {
                engines.copiesMemory = isCopied;
                engines.keepsMemory = !isCopied;
                engines.answerAfter(time);
            });
        }
    }
    for (const State state : {State::Busy, State::Declined}) {
        for (const bool stopsRuns : {true, false}) {
            steps.emplace_back([=](UnframedEngines &engines) {
                engines.stopsRuns = stopsRuns;
                answerAll(engines, state);
            });
        }
    }
    steps.emplace_back(exitInOrder);
    steps.emplace_back([](UnframedEngines &engines) { engines.leavesBefore = 0; });
    steps.emplace_back([](UnframedEngines &engines) {
        leaveInTurn(engines);
        workSlowly(engines);
        engines.answerAfter(lostAnswerTime);
    });
    return steps;
}

} // namespace

// Guards against a stream that is cut because the engine with its backup begins to leave while the
// answer to the request to stop the run is awaited.
TEST_CASE("An unframed stream goes on although the engine of its backup leaves, too", "[exits]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        for (const bool isSlow : {false, true}) {
            for (const Milliseconds time : {Milliseconds(1000), lostAnswerTime}) {
                const auto prepare = [=](UnframedEngines &engines) {
                    engines.isChunked = isChunked;
                    leaveInTurn(engines);
                    if (isSlow)
                        workSlowly(engines);
                    engines.answerAfter(time);
                };
                cases.add(prepare, [isSlow](UnframedEngines &engines) {
                    checkWhole(engines);
                    CHECK(engines.runs.size() == (isSlow ? 3 : 2));
                });
            }
        }
    }
    cases.run();
}

// Guards against a caller that leaves, or gets events late, because its stream waits for the answer
// to the request to stop the run although the backup could go on.
TEST_CASE("An unframed stream with a backup does not pause for a late answer", "[exits]")
{
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        for (const bool isCopied : {false, true}) {
            for (const Milliseconds time : {Milliseconds(1000), lostAnswerTime, noAnswer}) {
                const auto prepare = [=](UnframedEngines &engines) {
                    engines.isChunked = isChunked;
                    engines.copiesMemory = isCopied;
                    engines.answerAfter(time);
                };
                cases.add(prepare, [](UnframedEngines &engines) {
                    checkWhole(engines);
                    CHECK(engines.runs.size() == 2);
                });
            }
        }
    }
    cases.run();
}

// Guards against a sound stream that is cut, runs again or ends late, because its run ends by
// itself while the request to stop it is under way.
TEST_CASE("An unframed stream ends with the answer that its run has ended", "[exits]")
{
    constexpr Milliseconds answerTime{300};
    constexpr Milliseconds latestEnd{300};
    UnframedCases cases;
    for (const bool isChunked : {false, true}) {
        const auto answerAt = std::make_shared<std::optional<Milliseconds>>();
        const auto prepare = [=](UnframedEngines &engines) {
            engines.isChunked = isChunked;
            engines.leavesBefore = UnframedEngines::lastEvent - 1;
            engines.stopsRuns = false;
            answerAll(engines, State::Stopped);
            engines.fixture.stopAnswerTime = [=](const MoveOrder &) {
                if (!*answerAt)
                    *answerAt = Clock::steady().now() + answerTime;
                return answerTime;
            };
        };
        cases.add(prepare, [=](UnframedEngines &engines) {
            CHECK(engines.answer->status == 200);
            CHECK(engines.answer->body == UnframedEngines::events());
            CHECK(engines.runs.size() == 1);
            REQUIRE(*answerAt);
            CHECK(engines.answeredAt - **answerAt < latestEnd);
        });
    }
    cases.run();
}

// Guards against checks of reservations that pass because nothing is reserved for copies at all.
TEST_CASE("A host knows the reservation for the backup of an unframed stream", "[exits]")
{
    UnframedEngines engines;
    engines.interval = Milliseconds(2);
    engines.leavesBefore = 0;
    engines.start();
    while (engines.runs.empty())
        engines.fixture.runOne();
    CHECK(reservedEngines(engines) == "a b ");
    while (!engines.hasEnded())
        engines.fixture.runOne();
    checkNothingReserved(engines);
}

// Guards against engine memory that stays reserved after a stream, until no host can place calls:
// for a backup, for a copy by a move, also one whose engine then declined to stop the run, and for
// the target of a request to stop it.
TEST_CASE("Nothing is reserved after an unframed stream", "[exits]")
{
    UnframedCases cases;
    for (const auto &[isChunked, hasCopies] :
         {std::pair(false, true), {false, false}, {true, true}}) {
        for (const Step &step : streamSteps()) {
            const auto prepare = [=, isChunked = isChunked,
                                  hasCopies = hasCopies](UnframedEngines &engines) {
                step(engines);
                engines.isChunked = isChunked;
                engines.hasBackups = hasCopies;
                engines.hasMovedCopies = hasCopies;
            };
            const auto prepareMoves = [=](UnframedEngines &engines) {
                prepare(engines);
                allowMoves(engines);
            };
            cases.add(prepare, checkNothingReserved);
            cases.add(prepare, checkNothingReserved, UnframedEngines::makeResumableRoute());
            cases.add(prepareMoves, checkNothingReserved, UnframedEngines::makeRoute(),
                      makePropertiesWithoutBackup());
        }
    }
    // Some calls end by themselves, others at their deadline while an answer is awaited.
    cases.run("2000");
}

// Guards against the same while the answer to the request to stop the run is awaited.
TEST_CASE("Nothing is reserved after an unframed stream whose caller leaves", "[exits]")
{
    UnframedEngines engines;
    engines.hasBackups = GENERATE(true, false);
    engines.answerAfter(noAnswer);
    LeavingCaller caller(engines);
    caller.start();
    REQUIRE(runUntil(engines, [&] { return !engines.fixture.stops.empty(); }));
    engines.fixture.runFor(Milliseconds(50));
    caller.leave();
    REQUIRE(runUntil(engines, [&] { return engines.fixture.entryState().activeRequests == 0; }));
    checkNothingReserved(engines);
}
