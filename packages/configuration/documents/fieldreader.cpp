#include "configuration/documents/fieldreader.h"

namespace sassafrasyard {

using nlohmann::json;

namespace {

const json emptyList = json::array();
const json emptyObject = json::object();

std::string formatLimit(double value)
{
    return json(value).dump();
}

} // namespace

FieldReader::FieldReader(const json &object, std::string document, std::string place,
                         std::vector<ConfigurationFault> &faults)
    : source(object)
    , document(std::move(document))
    , place(std::move(place))
    , faults(faults)
{
    if (!object.is_object())
        this->addFault(ConfigurationFaultKind::MalformedDocument, "", "not a JSON object",
                       "write an object with named fields");
}

void FieldReader::allowParameterReferences()
{
    this->allowsReferences = true;
}

std::string FieldReader::text(const std::string &field, FieldPresence presence,
                              std::string defaultValue)
{
    const json *value = this->find(field, presence);
    if (value == nullptr)
        return defaultValue;
    if (!value->is_string()) {
        this->addTypeFault(field, "a string");
        return defaultValue;
    }
    return value->get<std::string>();
}

double FieldReader::number(const std::string &field, double defaultValue, double minimum,
                           double maximum)
{
    const json *value = this->find(field, FieldPresence::Optional);
    if (value == nullptr)
        return defaultValue;
    if (!value->is_number()) {
        this->addTypeFault(field, "a number");
        return defaultValue;
    }
    const double result = value->get<double>();
    if (result < minimum || result > maximum) {
        this->addRangeFault(field, formatLimit(minimum), formatLimit(maximum));
        return defaultValue;
    }
    return result;
}

std::uint32_t FieldReader::integer(const std::string &field, std::uint32_t defaultValue,
                                   std::uint32_t minimum, std::uint32_t maximum)
{
    const json *value = this->find(field, FieldPresence::Optional);
    if (value == nullptr)
        return defaultValue;
    if (!value->is_number_integer()) {
        this->addTypeFault(field, "an integer");
        return defaultValue;
    }
    const bool isNegative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    if (isNegative || value->get<std::uint64_t>() < minimum
        || value->get<std::uint64_t>() > maximum) {
        this->addRangeFault(field, std::to_string(minimum), std::to_string(maximum));
        return defaultValue;
    }
    return value->get<std::uint32_t>();
}

bool FieldReader::flag(const std::string &field, bool defaultValue)
{
    const json *value = this->find(field, FieldPresence::Optional);
    if (value == nullptr)
        return defaultValue;
    if (!value->is_boolean()) {
        this->addTypeFault(field, "true or false");
        return defaultValue;
    }
    return value->get<bool>();
}

const json &FieldReader::list(const std::string &field, FieldPresence presence)
{
    const json *value = this->find(field, presence);
    if (value == nullptr)
        return emptyList;
    if (!value->is_array()) {
        this->addTypeFault(field, "a list");
        return emptyList;
    }
    return *value;
}

std::vector<std::string> FieldReader::texts(const std::string &field, FieldPresence presence)
{
    std::vector<std::string> result;
    std::size_t index = 0;
    for (const json &item : this->list(field, presence)) {
        if (item.is_string())
            result.push_back(item.get<std::string>());
        else if (!this->allowsReferences || !isParameterReference(item))
            this->addTypeFault(field + "[" + std::to_string(index) + "]", "a string");
        ++index;
    }
    return result;
}

const json &FieldReader::object(const std::string &field, FieldPresence presence)
{
    const json *value = this->find(field, presence);
    if (value == nullptr)
        return emptyObject;
    if (!value->is_object()) {
        this->addTypeFault(field, "an object");
        return emptyObject;
    }
    return *value;
}

const json *FieldReader::anyField(const std::string &field)
{
    return this->find(field, FieldPresence::Optional);
}

void FieldReader::reportUnknownFields()
{
    if (!this->source.is_object())
        return;
    for (const auto &[field, value] : this->source.items()) {
        if (!this->requestedFields.contains(field))
            this->addFault(ConfigurationFaultKind::UnknownField, field, "unknown field",
                           "remove it or correct its spelling");
    }
}

void FieldReader::addFault(ConfigurationFaultKind kind, const std::string &field,
                           std::string problem, std::string remedy)
{
    this->faults.push_back(
            {kind, this->document, this->fieldPlace(field), std::move(problem), std::move(remedy)});
}

std::string FieldReader::fieldPlace(const std::string &field) const
{
    if (this->place.empty() || field.empty())
        return this->place + field;
    return this->place + "." + field;
}

const json *FieldReader::find(const std::string &field, FieldPresence presence)
{
    this->requestedFields.insert(field);
    if (!this->source.is_object())
        return nullptr;
    const auto value = this->source.find(field);
    if (value == this->source.end()) {
        if (presence == FieldPresence::Required)
            this->addFault(ConfigurationFaultKind::MissingField, field, "missing field", "add it");
        return nullptr;
    }
    if (this->allowsReferences && isParameterReference(*value))
        return nullptr;
    return &*value;
}

void FieldReader::addTypeFault(const std::string &field, std::string_view expected)
{
    this->addFault(ConfigurationFaultKind::WrongType, field, "wrong type",
                   "give " + std::string(expected));
}

void FieldReader::addRangeFault(const std::string &field, const std::string &minimum,
                                const std::string &maximum)
{
    this->addFault(ConfigurationFaultKind::OutOfRange, field, "out of range",
                   "give a value from " + minimum + " to " + maximum);
}

bool isParameterReference(const json &value)
{
    return value.is_object() && value.size() == 1 && value.contains("parameter")
            && value["parameter"].is_string();
}

} // namespace sassafrasyard
