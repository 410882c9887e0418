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
    /** The account's name, limits and weight. */
    AccountLimits limits;
    /** The SHA-256 digests of its bearer keys, in hexadecimal digits. */
    std::vector<std::string> keyDigests;
    /** The models it may use, each with the version for its requests (empty for any). */
    std::vector<std::pair<ModelName, std::string>> models;
    /** The plain services it may call. */
    std::vector<std::string> services;
};

/** The whole configuration of one revision. */
struct Configuration
{
    /** Increases by one with every accepted change. */
    std::uint64_t revision = 0;
    /** All client accounts. */
    std::vector<ClientAccount> accounts;
    /** All backend servers. */
    std::vector<BackendServer> servers;
    /** The versions for new requests, by backend server and model; set by rollouts. */
    std::map<BackendServerName, std::map<ModelName, std::string>> servedVersions;
    /** The index in accounts by key digest; empty for a configuration that was not resolved from
     * documents. */
    std::map<std::string, std::size_t, std::less<>> accountsByKeyDigest;
    /** The documents it was resolved from; null if it was not resolved from documents. */
    std::shared_ptr<const ConfigurationSource> source;

    /** Returns the account of a bearer key, or null. @param keyDigest in hexadecimal digits. */
    const ClientAccount *findByKeyDigest(std::string_view keyDigest) const;
    /** Returns a backend server by name, or null. */
    const BackendServer *findServer(const BackendServerName &name) const;
};

/** Returns the SHA-256 digest of a text in hexadecimal digits. */
std::string sha256Hex(std::string_view text);

/**
 * Parses a configuration from JSON text.
 *
 * @param reason receives ConfigurationInvalid with a description of the error.
 */
std::optional<Configuration> parseConfiguration(std::string_view text, Error &reason);

/** Formats a configuration as JSON text for parseConfiguration(). */
std::string formatConfiguration(const Configuration &configuration);

} // namespace sassafrasyard
