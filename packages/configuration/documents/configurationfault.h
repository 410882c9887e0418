#pragma once

#include "core/core.h"

#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Why a configuration document is invalid. */
enum class ConfigurationFaultKind {
    MalformedDocument,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    UnknownReference,
    MissingParameter,
    UnknownParameter,
    Duplicate,
};

/** Returns the kind's name in HTTP responses, such as "unknown_field". */
std::string_view toString(ConfigurationFaultKind kind);

/** One fault of a set of documents. */
struct ConfigurationFault
{
    /** The kind of fault. */
    ConfigurationFaultKind kind = ConfigurationFaultKind::MalformedDocument;
    /** The document's key, such as "account/demo". */
    std::string document;
    /** The place inside the document, such as "models[0].version". */
    std::string place;
    /** What is wrong. */
    std::string problem;
    /** What the operator can do about it. */
    std::string remedy;

    /** Returns a one-line description for operators. */
    std::string toString() const;
};

/** Returns a ConfigurationInvalid error with the number of faults and the first one. */
Error toError(const std::vector<ConfigurationFault> &faults);

} // namespace sassafrasyard
