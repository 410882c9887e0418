// Internal to the package: includes the JSON header.
#pragma once

#include "core/core.h"
#include "network/network.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace sassafrasyard {

/** Returns a response with a JSON body. */
HttpResponse jsonResponse(int status, const nlohmann::json &body);

/** Parses a request's body as a JSON object. @param reason receives InvalidRequest. */
std::optional<nlohmann::json> parseJsonObject(const HttpRequest &request, Error &reason);

/** Returns a string field, or the default value if it is absent or not a string. */
std::string stringField(const nlohmann::json &object, const char *field,
                        const std::string &defaultValue = {});

} // namespace sassafrasyard
