#include "gateway/relay/runevidence.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds atOnce{0};
/** Longer than a sound engine stands still. */
constexpr Milliseconds longTime{60'000};

/** For how long an engine has to be unanswered until evidence shows the end; nothing for never. */
struct ExpectedRow
{
    RunEvidence evidence;
    std::optional<Milliseconds> whileOpen;
    std::optional<Milliseconds> afterClose;
};

std::vector<ExpectedRow> expectedRows()
{
    constexpr Milliseconds pause{1500};
    return {
            {RunEvidence::EngineStopped, atOnce, atOnce},
            {RunEvidence::EngineHasNoRun, {}, atOnce},
            {RunEvidence::EngineAnswered, {}, {}},
            {RunEvidence::EntryReplaced, {}, atOnce},
            {RunEvidence::ConnectionRefused, {}, atOnce},
            {RunEvidence::ConnectionUnanswered, {}, pause},
            {RunEvidence::AnswerLostEntryMissing, {}, pause},
            {RunEvidence::AnswerLost, {}, {}},
            {RunEvidence::HostCutOff, {}, {}},
    };
}

void checkTime(RunEvidence evidence, RunConnection connection, std::optional<Milliseconds> time)
{
    INFO(toString(evidence) << ", connection " << toString(connection));
    CHECK(showsRunEnd(evidence, connection, longTime) == time.has_value());
    CHECK(showsRunEnd(evidence, connection, atOnce) == (time == atOnce));
    if (time && *time > atOnce) {
        CHECK_FALSE(showsRunEnd(evidence, connection, *time - Milliseconds(1)));
        CHECK(showsRunEnd(evidence, connection, *time));
    }
}

} // namespace

// Guards against a run that is taken for ended although its own connection is open.
TEST_CASE("Without new connections or answers a run with an open connection goes on", "[evidence]")
{
    for (const ExpectedRow &row : expectedRows())
        checkTime(row.evidence, RunConnection::Open, row.whileOpen);
}

// Guards against streams that wait for an engine that has ended, and against a run on two engines.
TEST_CASE("A run without its connection has ended by the evidence of the table", "[evidence]")
{
    for (const ExpectedRow &row : expectedRows())
        checkTime(row.evidence, RunConnection::Closed, row.afterClose);
}

// Guards against a stream that counts as complete without evidence that its run came to its end,
// and against one with a length or chunks that waits for such evidence.
TEST_CASE("The end of a body without framing needs evidence", "[evidence]")
{
    struct Row
    {
        StopEffect effect;
        BodyEnd unasked;
        BodyEnd outlived;
        BodyEnd unknown;
    };
    constexpr BodyEnd complete = BodyEnd::Complete;
    constexpr BodyEnd doubtful = BodyEnd::Doubtful;
    constexpr BodyEnd broken = BodyEnd::Broken;
    const std::vector<Row> rows{
            {StopEffect::None, BodyEnd::AwaitsProcess, complete, doubtful},
            {StopEffect::Absent, complete, complete, complete},
            {StopEffect::Declined, doubtful, doubtful, doubtful},
            {StopEffect::Pending, BodyEnd::AwaitsAnswer, BodyEnd::AwaitsAnswer,
             BodyEnd::AwaitsAnswer},
            {StopEffect::Unknown, broken, broken, broken},
            {StopEffect::Stopped, broken, broken, broken},
    };
    for (const Row &row : rows) {
        INFO(toString(row.effect));
        CHECK(bodyEndOf(BodyFraming::Close, row.effect, ProcessState::Unasked) == row.unasked);
        CHECK(bodyEndOf(BodyFraming::Close, row.effect, ProcessState::Outlived) == row.outlived);
        CHECK(bodyEndOf(BodyFraming::Close, row.effect, ProcessState::Unknown) == row.unknown);
        for (const BodyFraming framing : {BodyFraming::Length, BodyFraming::Chunks})
            CHECK(bodyEndOf(framing, row.effect, ProcessState::Unknown) == complete);
    }
}
