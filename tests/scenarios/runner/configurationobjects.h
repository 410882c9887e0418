#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/**
 * Returns the platform objects of a whole configuration at a chosen revision, the head last.
 *
 * Scenarios write them straight into the platform stand-in, so that they can set any revision, also
 * a lower one than before, which no acceptance would do.
 *
 * @param servers as Fleet::backendServers() describes them.
 * @param accounts the client accounts' fields with their names in "name".
 */
std::vector<std::pair<std::string, std::string>> configurationObjects(
        std::uint64_t revision, const nlohmann::json &servers, const nlohmann::json &accounts);

} // namespace sassafrasyard
