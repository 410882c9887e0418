// Internal to the package: includes the JSON header.
#pragma once

#include "configuration/documents/configurationfault.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Whether a field is required. */
enum class FieldPresence {
    Optional,
    Required,
};

/** Reads the fields of one JSON object and collects all faults with their places. */
class FieldReader
{
public:
    /** Creates a reader. @param place the object's place in the document, empty for the whole. */
    FieldReader(const nlohmann::json &object, std::string document, std::string place,
                std::vector<ConfigurationFault> &faults);
    FieldReader(const FieldReader &) = delete;
    FieldReader &operator=(const FieldReader &) = delete;

    /** Treats fields that refer to a template parameter as absent and skips their checks. */
    void allowParameterReferences();

    /** Returns a string field; the default value after a fault or if it is absent. */
    std::string text(const std::string &field, FieldPresence presence,
                     std::string defaultValue = {});
    /** Returns a number; the default value if it is absent, faulty or outside the limits. */
    double number(const std::string &field, double defaultValue, double minimum,
                  double maximum = std::numeric_limits<double>::max());
    /** Returns an integer; the default value if it is absent, faulty or outside the limits. */
    std::uint32_t integer(const std::string &field, std::uint32_t defaultValue,
                          std::uint32_t minimum, std::uint32_t maximum);
    /** Returns a Boolean field; the default value after a fault or if it is absent. */
    bool flag(const std::string &field, bool defaultValue);
    /** Returns a list field; an empty list if it is absent or not a list. */
    const nlohmann::json &list(const std::string &field, FieldPresence presence);
    /** Returns the strings of a list field and adds a fault for each element of another type. */
    std::vector<std::string> texts(const std::string &field, FieldPresence presence);
    /** Returns an object field; an empty object if it is absent or not an object. */
    const nlohmann::json &object(const std::string &field, FieldPresence presence);
    /** Returns an optional field of any type, or null if it is absent. */
    const nlohmann::json *anyField(const std::string &field);
    /** Adds a fault for each field that was not read; call it after reading all fields. */
    void reportUnknownFields();

    /** Adds a fault about a field of this object. */
    void addFault(ConfigurationFaultKind kind, const std::string &field, std::string problem,
                  std::string remedy);
    /** Returns the place of a field in the document. */
    std::string fieldPlace(const std::string &field) const;

private:
    const nlohmann::json *find(const std::string &field, FieldPresence presence);
    void addTypeFault(const std::string &field, std::string_view expected);
    void addRangeFault(const std::string &field, const std::string &minimum,
                       const std::string &maximum);

    const nlohmann::json &source;
    std::string document;
    std::string place;
    std::vector<ConfigurationFault> &faults;
    std::set<std::string> requestedFields;
    bool allowsReferences = false;
};

/** Returns whether a value is a reference {"parameter": NAME}. */
bool isParameterReference(const nlohmann::json &value);

} // namespace sassafrasyard
