#include "logcapture.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

RunStopResult loseAnswer(RunStopResult)
{
    return {};
}

/** Returns an answer that lacks the memory of the run, as one to a repeated request. */
RunStopResult withoutMemory(RunStopResult answer)
{
    answer.memory.reset();
    answer.isCopied = false;
    return answer;
}

} // namespace

// Guards against a stream without a length and chunks that ends as complete where its engine
// stopped the run at this host's request.
TEST_CASE("An unframed stream goes on after its run was stopped", "[unframed]")
{
    UnframedEngines engines;
    engines.copiesMemory = GENERATE(true, false);
    engines.keepsMemory = !engines.copiesMemory;
    engines.hasBackups = GENERATE(true, false);
    const Milliseconds answerTime = GENERATE(Milliseconds(0), Milliseconds(150));
    engines.fixture.stopAnswerTime = [=](const MoveOrder &) {
        return answerTime;
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    // A run that returns to its leaving engine is asked to stop again.
    const bool isReturn = engines.keepsMemory && !engines.hasBackups;
    CHECK(engines.runs.size() >= 2);
    CHECK((isReturn || engines.runs.size() == 2));
}

// Guards against the same where the answer to the request was lost.
TEST_CASE("An unframed stream goes on after the answer to its stop was lost", "[unframed]")
{
    UnframedEngines engines;
    engines.changeAnswer = loseAnswer;
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    CHECK(engines.runs.size() == 2);
}

// Guards against a complete response although the end is unknown and no copy is left.
TEST_CASE("An unframed stream whose end is unknown does not look complete", "[unframed]")
{
    UnframedEngines engines;
    bool isFirst = true;
    engines.changeAnswer = [&](RunStopResult answer) {
        // The backup is lost with the stop.
        engines.hasBackups = false;
        return std::exchange(isFirst, false) ? RunStopResult{} : withoutMemory(answer);
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 0);
    CHECK(engines.runs.size() == 1);
}

// Guards against a sound stream that is cut or run again, because its run ends by itself while a
// request to stop it is under way, is declined or was never made.
TEST_CASE("An unframed stream that ends by itself is complete", "[unframed]")
{
    UnframedEngines engines;
    const bool isLeaving = GENERATE(true, false);
    engines.leavesBefore = isLeaving ? UnframedEngines::lastEvent - 1 : 0;
    engines.stopsRuns = false;
    engines.hasBackups = GENERATE(true, false);
    const bool isAbsent = GENERATE(true, false);
    engines.changeAnswer = [=](RunStopResult answer) {
        if (isAbsent)
            answer.state = RunStopResult::State::Stopped;
        return answer;
    };
    const Milliseconds answerTime = GENERATE(Milliseconds(0), Milliseconds(150));
    engines.fixture.stopAnswerTime = [=](const MoveOrder &) {
        return answerTime;
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    CHECK(engines.runs.size() == 1);
}

// Guards against a log that does not tell a stream that its engine stopped from one that ended.
TEST_CASE("The log tells what ended the body of a stream and what was asked", "[unframed]")
{
    UnframedEngines engines;
    engines.leavesBefore = 0;
    const LogCapture capture;
    REQUIRE(engines.call().status == 200);
    const auto lines = capture.lines("call_answered");
    REQUIRE(lines.size() == 1);
    CHECK(LogCapture::field(lines[0], "framing") == "close");
    CHECK(LogCapture::field(lines[0], "stop") == "none");
}
