#include "configuration/documents/configurationfault.h"

namespace sassafrasyard {

std::string_view toString(ConfigurationFaultKind kind)
{
    switch (kind) {
    case ConfigurationFaultKind::MalformedDocument:
        return "malformed_document";
    case ConfigurationFaultKind::UnknownField:
        return "unknown_field";
    case ConfigurationFaultKind::MissingField:
        return "missing_field";
    case ConfigurationFaultKind::WrongType:
        return "wrong_type";
    case ConfigurationFaultKind::OutOfRange:
        return "out_of_range";
    case ConfigurationFaultKind::UnknownReference:
        return "unknown_reference";
    case ConfigurationFaultKind::MissingParameter:
        return "missing_parameter";
    case ConfigurationFaultKind::UnknownParameter:
        return "unknown_parameter";
    case ConfigurationFaultKind::Duplicate:
        return "duplicate";
    }
    return "malformed_document";
}

std::string ConfigurationFault::toString() const
{
    std::string line = this->document;
    if (!this->place.empty())
        line += ": " + this->place;
    return line + ": " + this->problem + "; " + this->remedy;
}

Error toError(const std::vector<ConfigurationFault> &faults)
{
    std::string detail = std::to_string(faults.size()) + " fault(s)";
    if (!faults.empty())
        detail += "; the first: " + faults.front().toString();
    return {ErrorCode::ConfigurationInvalid, RunState::NotRun, std::move(detail), {}};
}

} // namespace sassafrasyard
