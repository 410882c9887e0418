#include "scenarios/runner/scenarioerror.h"

namespace sassafrasyard {

std::string_view toString(ScenarioErrorCode code)
{
    switch (code) {
    case ScenarioErrorCode::FileUnreadable:
        return "file_unreadable";
    case ScenarioErrorCode::UnknownStatement:
        return "unknown_statement";
    case ScenarioErrorCode::MissingArgument:
        return "missing_argument";
    case ScenarioErrorCode::InvalidArgument:
        return "invalid_argument";
    case ScenarioErrorCode::UnknownName:
        return "unknown_name";
    case ScenarioErrorCode::NameInUse:
        return "name_in_use";
    case ScenarioErrorCode::ProcessFailed:
        return "process_failed";
    case ScenarioErrorCode::RequestFailed:
        return "request_failed";
    case ScenarioErrorCode::ConditionFailed:
        return "condition_failed";
    case ScenarioErrorCode::ConditionTimeout:
        return "condition_timeout";
    }
    return "condition_failed";
}

ScenarioError::ScenarioError(ScenarioErrorCode code, const std::string &detail)
    : std::runtime_error(detail)
    , errorCode(code)
{
}

ScenarioErrorCode ScenarioError::code() const
{
    return this->errorCode;
}

bool ScenarioError::isConditionFailure() const
{
    return this->errorCode == ScenarioErrorCode::ConditionFailed
            || this->errorCode == ScenarioErrorCode::ConditionTimeout;
}

} // namespace sassafrasyard
