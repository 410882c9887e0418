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

/** What client accounts may refer to. */
struct ReferenceTargets
{
    /** Each model with its versions. */
    std::map<std::string, std::set<std::string>> models;
    /** The names of plain services. */
    std::set<std::string> services;
};

/** A parameter of a template. */
struct TemplateParameter
{
    /** "string", "number", "integer", "boolean", "strings" or "models". */
    std::string type;
    /** The value of accounts that give none; a parameter without one is required. */
    std::optional<nlohmann::json> defaultValue;
};

/** A template for client accounts. */
struct AccountTemplate
{
    /** The parameters by name. */
    std::map<std::string, TemplateParameter> parameters;
    /** The account's fields; a value {"parameter": NAME} is replaced. */
    nlohmann::json account;
};

/** Reads a template; faults are added for what is wrong whatever an account fills in. */
AccountTemplate readTemplate(const DocumentKey &key, const nlohmann::json &body,
                             std::vector<ConfigurationFault> &faults);

/** Reads a client account and fills its template. */
ClientAccount fillTemplate(const DocumentKey &key, const nlohmann::json &body,
                           const std::map<std::string, AccountTemplate> &templates,
                           const ReferenceTargets &targets,
                           std::vector<ConfigurationFault> &faults);

} // namespace sassafrasyard
