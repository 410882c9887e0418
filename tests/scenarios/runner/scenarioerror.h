#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Every way in which a scenario can end early. */
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

/** Returns the code's name as it is printed, such as "unknown_statement". */
std::string_view toString(ScenarioErrorCode code);

/** Ends a scenario; the runner adds the file and the line. */
class ScenarioError : public std::runtime_error
{
public:
    /** Creates an error. @param detail a sentence for people. */
    ScenarioError(ScenarioErrorCode code, const std::string &detail);

    /** Returns the kind of error. */
    ScenarioErrorCode code() const;
    /** Returns whether a condition did not hold, as opposed to a faulty file or environment. */
    bool isConditionFailure() const;

private:
    ScenarioErrorCode errorCode;
};

} // namespace sassafrasyard
