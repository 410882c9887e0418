#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** The reasons for which a scenario fails or cannot be run. */
enum class ScenarioErrorCode {
    FileUnreadable,
    UnknownStatement,
    MissingArgument,
    InvalidArgument,
    UnknownName,
    NameInUse,
    ProcessFailed,
    RequestFailed,
    ConditionFailed,
    ConditionTimeout,
};

/** Returns the code's name in error reports, such as "unknown_statement". */
std::string_view toString(ScenarioErrorCode code);

/** Thrown to end a scenario. The runner reports it with the file and the line of the statement. */
class ScenarioError : public std::runtime_error
{
public:
    /** Creates an error. @param detail a message for the scenario's author. */
    ScenarioError(ScenarioErrorCode code, const std::string &detail);

    /** Returns the error code. */
    ScenarioErrorCode code() const;
    /** Returns whether a condition did not hold, as opposed to a faulty file or process. */
    bool isConditionFailure() const;

private:
    ScenarioErrorCode errorCode;
};

} // namespace sassafrasyard
