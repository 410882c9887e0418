#pragma once

#include "core/core.h"
#include "policy/policy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

struct ConfigurationSource;

/** A client account with all parameters of its template filled in. */
struct ClientAccount
{
    /** Its name, limits and share. */
    AccountLimits limits;
    /** The SHA-256 digests of its bearer keys, in hexadecimal digits. */
    std::vector<std::string> keyDigests;
    /** The models it may use, with the version for new work (empty for any). */
    std::vector<std::pair<ModelName, std::string>> models;
    /** The plain services it may call. */
    std::vector<std::string> services;
};

/** The whole configuration of one revision. */
struct Configuration
{
    /** Rises with every accepted change. */
    std::uint64_t revision = 0;
    /** All client accounts. */
    std::vector<ClientAccount> accounts;
    /** All backend servers. */
    std::vector<BackendServer> servers;
    /** The versions that new work gets, by backend server and model; a rollout sets them. */
    std::map<BackendServerName, std::map<ModelName, std::string>> servedVersions;
    /** The accounts' places by key digest; empty for a configuration that was not resolved from
     * documents. */
    std::map<std::string, std::size_t, std::less<>> accountsByKeyDigest;
    /** The documents behind it; null for a configuration that was not read from documents. */
    std::shared_ptr<const ConfigurationSource> source;

    /** Returns the account of a bearer key, or null. @param keyDigest in hexadecimal digits. */
    const ClientAccount *findByKeyDigest(std::string_view keyDigest) const;
    /** Returns a backend server by name, or null. */
    const BackendServer *findServer(const BackendServerName &name) const;
};

/** Returns the SHA-256 digest of a text in hexadecimal digits. */
std::string sha256Hex(std::string_view text);

/**
 * Reads a configuration from its JSON text.
 *
 * @param reason receives ConfigurationInvalid with the place of the fault.
 */
std::optional<Configuration> parseConfiguration(std::string_view text, Error &reason);

/** Writes a configuration as JSON text that parseConfiguration() reads. */
std::string formatConfiguration(const Configuration &configuration);

} // namespace sassafrasyard
