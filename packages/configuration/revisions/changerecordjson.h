// Internal to the package: includes the JSON header.
#pragma once

#include "configuration/revisions/revisionhead.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

/** Returns a change record as JSON. */
nlohmann::json toJson(const ChangeRecord &record);
/** Parses a change record; throws nlohmann::json::exception if it is malformed. */
ChangeRecord changeRecordFromJson(const nlohmann::json &item);
/** Parses a document key; throws nlohmann::json::exception if it is malformed. */
DocumentKey documentKeyFromJson(const nlohmann::json &item);

} // namespace sassafrasyard
