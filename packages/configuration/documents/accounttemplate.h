// Internal to the package: includes the JSON header.
#pragma once

#include "configuration/documents/configurationdocument.h"
#include "configuration/documents/configurationfault.h"
#include "configuration/documents/documentkey.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The models and services that documents may refer to. */
struct ReferenceTargets
{
    /** The declared versions by model name. */
    std::map<std::string, std::set<std::string>> models;
    /** The names of plain services. */
    std::set<std::string> services;
};

/** A parameter of a template. */
struct TemplateParameter
{
    /** "string", "number", "integer", "boolean", "strings" or "models". */
    std::string type;
    /** The value for accounts that do not set the parameter; if absent, it is required. */
    std::optional<nlohmann::json> defaultValue;
};

/** A template for client accounts. */
struct AccountTemplate
{
    /** The parameters by name. */
    std::map<std::string, TemplateParameter> parameters;
    /** The account's fields; a value {"parameter": NAME} is replaced by the parameter's value. */
    nlohmann::json account;
};

/** Parses a template. @param faults receives the faults that do not depend on parameter values. */
AccountTemplate readTemplate(const DocumentKey &key, const nlohmann::json &body,
                             std::vector<ConfigurationFault> &faults);

/**
 * Parses a client account document and substitutes its parameters in the template.
 *
 * @param faults receives the faults of the account; the returned account is usable if there are
 * none.
 */
ClientAccount fillTemplate(const DocumentKey &key, const nlohmann::json &body,
                           const std::map<std::string, AccountTemplate> &templates,
                           const ReferenceTargets &targets,
                           std::vector<ConfigurationFault> &faults);

} // namespace sassafrasyard
