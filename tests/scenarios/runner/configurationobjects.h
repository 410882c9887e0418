#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/**
 * Returns the platform objects that make up a configuration at a given revision, the head last.
 *
 * Scenarios write them directly to the platform stand-in, without the acceptance of a change. This
 * lets a scenario set any revision, including one lower than the current one.
 *
 * @param revision the revision that the head names, from 1.
 * @param servers the backend servers as returned by Fleet::backendServers().
 * @param accounts the fields of each client account, and its name in "name".
 * @return pairs of object name and value, in the order in which they must be written.
 * @throws ScenarioError InvalidArgument if the configuration is invalid.
 */
std::vector<std::pair<std::string, std::string>> configurationObjects(
        std::uint64_t revision, const nlohmann::json &servers, const nlohmann::json &accounts);

} // namespace sassafrasyard
