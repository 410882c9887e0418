#include "gateway/relay/runevidence.h"

#include <algorithm>
#include <array>
#include <optional>

namespace sassafrasyard {

namespace {

/** A sound engine may stand still for a second or so. */
constexpr Milliseconds maximumUnansweredTime{1500};
constexpr Milliseconds atOnce{0};

/** How long an engine must not have answered until evidence shows the end; nothing for never. */
struct RunEvidenceRow
{
    RunEvidence evidence;
    std::string_view name;
    std::optional<Milliseconds> whileOpen;
    std::optional<Milliseconds> afterLoss;
};

constexpr std::array evidenceTable{
        RunEvidenceRow{RunEvidence::EngineStopped, "stopped", atOnce, atOnce},
        RunEvidenceRow{RunEvidence::EngineHasNoRun, "absent", std::nullopt, atOnce},
        RunEvidenceRow{RunEvidence::EngineAnswered, "declined", std::nullopt, std::nullopt},
        RunEvidenceRow{RunEvidence::EntryReplaced, "left", std::nullopt, atOnce},
        RunEvidenceRow{RunEvidence::ConnectionRefused, "refused", std::nullopt, atOnce},
        RunEvidenceRow{RunEvidence::ConnectionUnanswered, "unanswered", std::nullopt,
                       maximumUnansweredTime},
        RunEvidenceRow{RunEvidence::AnswerLostEntryMissing, "entry_missing", std::nullopt,
                       maximumUnansweredTime},
        RunEvidenceRow{RunEvidence::AnswerLost, "answer_lost", std::nullopt, std::nullopt},
        RunEvidenceRow{RunEvidence::HostCutOff, "cut_off", std::nullopt, std::nullopt},
};

const RunEvidenceRow &rowOf(RunEvidence evidence)
{
    return *std::find_if(
            evidenceTable.begin(), evidenceTable.end(),
            [evidence](const RunEvidenceRow &row) { return row.evidence == evidence; });
}

/** Returns what the end of a body shows whose run no request can have stopped. */
BodyEnd endByProcess(ProcessState process)
{
    switch (process) {
    case ProcessState::Unasked:
        return BodyEnd::AwaitsProcess;
    case ProcessState::Outlived:
        return BodyEnd::Complete;
    case ProcessState::Unknown:
        return BodyEnd::Doubtful;
    }
    return BodyEnd::Doubtful;
}

} // namespace

std::string_view toString(RunEvidence evidence)
{
    return rowOf(evidence).name;
}

std::string_view toString(RunConnection connection)
{
    switch (connection) {
    case RunConnection::Open:
        return "open";
    case RunConnection::Closed:
        return "closed";
    }
    return "unknown";
}

bool showsRunEnd(RunEvidence evidence, RunConnection connection, Milliseconds unansweredFor)
{
    const RunEvidenceRow &row = rowOf(evidence);
    const auto required = connection == RunConnection::Open ? row.whileOpen : row.afterLoss;
    return required && unansweredFor >= *required;
}

BodyEnd bodyEndOf(BodyFraming framing, StopEffect effect, ProcessState process)
{
    if (framing != BodyFraming::Close)
        return BodyEnd::Complete;
    switch (effect) {
    case StopEffect::None:
        return endByProcess(process);
    case StopEffect::Absent:
        return BodyEnd::Complete;
    case StopEffect::Declined:
        return BodyEnd::Doubtful;
    case StopEffect::Pending:
        return BodyEnd::AwaitsAnswer;
    case StopEffect::Stopped:
    case StopEffect::Unknown:
        return BodyEnd::Broken;
    }
    return BodyEnd::Broken;
}

} // namespace sassafrasyard
