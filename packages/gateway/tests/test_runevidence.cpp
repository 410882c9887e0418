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
