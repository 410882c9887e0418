#include "configuration/documents/accounttemplate.h"

#include "configuration/documents/fieldreader.h"

#include <algorithm>

namespace sassafrasyard {

using nlohmann::json;

namespace {

constexpr double maximumWeight = 1000.0;
constexpr double maximumRequestsPerSecond = 1000000.0;
constexpr std::uint32_t maximumRunningLimit = 1000000;
constexpr std::uint32_t highestPriorityLimit = static_cast<std::uint32_t>(Priority::High);
constexpr std::size_t digestLength = 64;

bool isArrayOf(const json &value, bool (json::*isElement)() const noexcept)
{
    return value.is_array() && std::all_of(value.begin(), value.end(), [&](const json &element) {
               return (element.*isElement)();
           });
}

bool hasType(const json &value, const std::string &type)
{
    if (type == "string")
        return value.is_string();
    if (type == "number")
        return value.is_number();
    if (type == "integer")
        return value.is_number_integer();
    if (type == "boolean")
        return value.is_boolean();
    if (type == "strings")
        return isArrayOf(value, &json::is_string);
    return type == "models" && isArrayOf(value, &json::is_object);
}

bool isKnownType(const std::string &type)
{
    const auto types = {"string", "number", "integer", "boolean", "strings", "models"};
    return std::find(types.begin(), types.end(), type) != types.end();
}

bool isDigest(const std::string &text)
{
    return text.size() == digestLength
            && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/** Reads the account's fields. Without targets, it skips references and template parameters. */
ClientAccount readAccountFields(const json &account, const std::string &document,
                                const std::string &place, const ReferenceTargets *targets,
                                std::vector<ConfigurationFault> &faults)
{
    FieldReader fields(account, document, place, faults);
    if (targets == nullptr)
        fields.allowParameterReferences();
    ClientAccount result;
    result.limits.weight = fields.number("weight", 1.0, 0.001, maximumWeight);
    result.limits.maximumRunning = fields.integer("maximum_running", 0, 0, maximumRunningLimit);
    result.limits.requestsPerSecond =
            fields.number("requests_per_second", 0.0, 0.0, maximumRequestsPerSecond);
    result.limits.highestPriority = static_cast<Priority>(
            fields.integer("highest_priority", highestPriorityLimit, 0, highestPriorityLimit));
    result.keyDigests = fields.texts("key_digests", FieldPresence::Required);
    for (const std::string &digest : result.keyDigests) {
        if (!isDigest(digest))
            fields.addFault(ConfigurationFaultKind::OutOfRange, "key_digests",
                            "not a SHA-256 digest",
                            "give 64 lower-case hexadecimal digits, never the key itself");
    }
    std::size_t index = 0;
    for (const json &item : fields.list("models", FieldPresence::Required)) {
        const std::string itemPlace = "models[" + std::to_string(index++) + "]";
        if (targets == nullptr && isParameterReference(item))
            continue;
        FieldReader model(item, document, fields.fieldPlace(itemPlace), faults);
        if (targets == nullptr)
            model.allowParameterReferences();
        const std::string name = model.text("name", FieldPresence::Required);
        const std::string version = model.text("version", FieldPresence::Optional);
        model.reportUnknownFields();
        result.models.emplace_back(ModelName(name), version);
        if (targets == nullptr || name.empty())
            continue;
        const auto found = targets->models.find(name);
        if (found == targets->models.end())
            model.addFault(ConfigurationFaultKind::UnknownReference, "name",
                           "unknown model " + name,
                           "add document model/" + name + " or correct the name");
        else if (!version.empty() && !found->second.contains(version))
            model.addFault(ConfigurationFaultKind::UnknownReference, "version",
                           "unknown version " + version + " of this model",
                           "add it to model/" + name + " or leave it empty for any");
    }
    result.services = fields.texts("services", FieldPresence::Optional);
    for (const std::string &service : result.services) {
        if (targets != nullptr && !targets->services.contains(service))
            fields.addFault(ConfigurationFaultKind::UnknownReference, "services",
                            "unknown service " + service,
                            "add a server document of kind service for it");
    }
    fields.reportUnknownFields();
    return result;
}

void checkReferences(const json &value, const AccountTemplate &accountTemplate,
                     const std::string &document, std::vector<ConfigurationFault> &faults)
{
    if (isParameterReference(value)) {
        const std::string name = value["parameter"].get<std::string>();
        if (!accountTemplate.parameters.contains(name))
            faults.push_back({ConfigurationFaultKind::UnknownParameter, document, "account",
                              "refers to the undeclared parameter " + name,
                              "declare it under parameters"});
        return;
    }
    if (value.is_structured()) {
        for (const json &element : value)
            checkReferences(element, accountTemplate, document, faults);
    }
}

json substituteParameters(const json &value, const std::map<std::string, json> &parameters)
{
    if (isParameterReference(value)) {
        const auto parameter = parameters.find(value["parameter"].get<std::string>());
        return parameter == parameters.end() ? json() : parameter->second;
    }
    if (!value.is_structured())
        return value;
    json result = value;
    for (json &element : result)
        element = substituteParameters(element, parameters);
    return result;
}

/** @return the values of all parameters, or nothing after a fault. */
std::optional<std::map<std::string, json>> readParameters(const AccountTemplate &accountTemplate,
                                                          const json &accountValues,
                                                          const DocumentKey &key,
                                                          const std::string &templateName,
                                                          std::vector<ConfigurationFault> &faults)
{
    const std::size_t previousFaultCount = faults.size();
    const std::string document = key.toString();
    std::map<std::string, json> values;
    for (const auto &[name, parameter] : accountTemplate.parameters) {
        const auto value = accountValues.find(name);
        const std::string place = "parameters." + name;
        if (value == accountValues.end()) {
            if (parameter.defaultValue)
                values[name] = *parameter.defaultValue;
            else
                faults.push_back({ConfigurationFaultKind::MissingParameter, document, place,
                                  "template/" + templateName + " requires this parameter",
                                  "fill it in, or give the template's parameter a default"});
        } else if (!hasType(*value, parameter.type)) {
            faults.push_back({ConfigurationFaultKind::WrongType, document, place,
                              "not of the type that template/" + templateName + " declares",
                              "give a value of type " + parameter.type});
        } else {
            values[name] = *value;
        }
    }
    for (const auto &[name, value] : accountValues.items()) {
        if (!accountTemplate.parameters.contains(name))
            faults.push_back({ConfigurationFaultKind::UnknownParameter, document,
                              "parameters." + name,
                              "template/" + templateName + " has no such parameter",
                              "remove it or correct its spelling"});
    }
    if (faults.size() != previousFaultCount)
        return std::nullopt;
    return values;
}

} // namespace

AccountTemplate readTemplate(const DocumentKey &key, const json &body,
                             std::vector<ConfigurationFault> &faults)
{
    AccountTemplate result;
    FieldReader fields(body, key.toString(), "", faults);
    fields.text("description", FieldPresence::Optional);
    for (const auto &[name, declaration] :
         fields.object("parameters", FieldPresence::Optional).items()) {
        FieldReader parameter(declaration, key.toString(), "parameters." + name, faults);
        TemplateParameter newParameter;
        newParameter.type = parameter.text("type", FieldPresence::Required, "string");
        parameter.text("description", FieldPresence::Optional);
        const json *defaultValue = parameter.anyField("default");
        parameter.reportUnknownFields();
        if (!isKnownType(newParameter.type)) {
            parameter.addFault(ConfigurationFaultKind::OutOfRange, "type",
                               "unknown type " + newParameter.type,
                               "give string, number, integer, boolean, strings or models");
        } else if (defaultValue != nullptr && !hasType(*defaultValue, newParameter.type)) {
            parameter.addFault(ConfigurationFaultKind::WrongType, "default",
                               "not of the declared type",
                               "give a value of type " + newParameter.type);
        }
        if (defaultValue != nullptr)
            newParameter.defaultValue = *defaultValue;
        result.parameters.emplace(name, std::move(newParameter));
    }
    result.account = fields.object("account", FieldPresence::Required);
    fields.reportUnknownFields();
    readAccountFields(result.account, key.toString(), "account", nullptr, faults);
    checkReferences(result.account, result, key.toString(), faults);
    return result;
}

ClientAccount fillTemplate(const DocumentKey &key, const json &body,
                           const std::map<std::string, AccountTemplate> &templates,
                           const ReferenceTargets &targets, std::vector<ConfigurationFault> &faults)
{
    FieldReader fields(body, key.toString(), "", faults);
    const std::string name = fields.text("template", FieldPresence::Required);
    fields.text("description", FieldPresence::Optional);
    const json &accountValues = fields.object("parameters", FieldPresence::Optional);
    fields.reportUnknownFields();
    ClientAccount account;
    const auto found = templates.find(name);
    if (found != templates.end()) {
        const auto values = readParameters(found->second, accountValues, key, name, faults);
        if (values) {
            const json substituted = substituteParameters(found->second.account, *values);
            account = readAccountFields(substituted, key.toString(),
                                        "(template/" + name + ") account", &targets, faults);
        }
    } else if (!name.empty()) {
        fields.addFault(ConfigurationFaultKind::UnknownReference, "template",
                        "unknown template " + name,
                        "add document template/" + name + " or name another");
    }
    account.limits.account = ClientAccountName(key.name);
    return account;
}

} // namespace sassafrasyard
