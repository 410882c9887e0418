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

/** Whether a field has to be there. */
enum class FieldPresence {
    Optional,
    Required,
};

/** Reads the fields of one JSON object and collects every fault with its place. */
class FieldReader
{
public:
    /** Creates a reader. @param place the object's place in the document, empty for the whole. */
    FieldReader(const nlohmann::json &object, std::string document, std::string place,
                std::vector<ConfigurationFault> &faults);
    FieldReader(const FieldReader &) = delete;
    FieldReader &operator=(const FieldReader &) = delete;

    /** Skips the value checks of fields that refer to a template's parameter. */
    void allowParameterReferences();

    /** Returns a text field. */
    std::string text(const std::string &field, FieldPresence presence,
                     std::string defaultValue = {});
    /** Returns a number within the limits. */
    double number(const std::string &field, double defaultValue, double minimum,
                  double maximum = std::numeric_limits<double>::max());
    /** Returns an integer within the limits. */
    std::uint32_t integer(const std::string &field, std::uint32_t defaultValue,
                          std::uint32_t minimum, std::uint32_t maximum);
    /** Returns a truth value. */
    bool flag(const std::string &field, bool defaultValue);
    /** Returns the elements of a list; empty if it is absent or faulty. */
    const nlohmann::json &list(const std::string &field, FieldPresence presence);
    /** Returns the elements of a list of texts. */
    std::vector<std::string> texts(const std::string &field, FieldPresence presence);
    /** Returns an object field; empty if it is absent or faulty. */
    const nlohmann::json &object(const std::string &field, FieldPresence presence);
    /** Returns any field, or null. */
    const nlohmann::json *anyField(const std::string &field);
    /** Reports the fields that were not asked for. */
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
