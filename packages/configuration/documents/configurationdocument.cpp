#include "configuration/documents/configurationdocument.h"

#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <array>

namespace sassafrasyard {

namespace {

using nlohmann::json;

ClientAccount parseAccount(const json &item)
{
    ClientAccount account;
    account.limits.account = ClientAccountName(item.at("name").get<std::string>());
    account.limits.weight = item.value("weight", 1.0);
    account.limits.maximumRunning = item.value("maximum_running", 0U);
    account.limits.requestsPerSecond = item.value("requests_per_second", 0.0);
    account.limits.highestPriority = static_cast<Priority>(item.value("highest_priority", 2));
    account.keyDigests = item.at("key_digests").get<std::vector<std::string>>();
    for (const json &model : item.at("models"))
        account.models.emplace_back(model.at("name").get<std::string>(),
                                    model.value("version", ""));
    account.services = item.value("services", std::vector<std::string>{});
    return account;
}

json formatAccount(const ClientAccount &account)
{
    json models = json::array();
    for (const auto &[name, version] : account.models)
        models.push_back({{"name", name.toString()}, {"version", version}});
    return {{"name", account.limits.account.toString()},
            {"weight", account.limits.weight},
            {"maximum_running", account.limits.maximumRunning},
            {"requests_per_second", account.limits.requestsPerSecond},
            {"highest_priority", static_cast<int>(account.limits.highestPriority)},
            {"key_digests", account.keyDigests},
            {"models", models},
            {"services", account.services}};
}

BackendServer parseServer(const json &item)
{
    BackendServer server;
    server.name = BackendServerName(item.at("name").get<std::string>());
    server.kind = item.value("kind", "engine") == "service" ? BackendServerKind::Service
                                                            : BackendServerKind::Engine;
    server.address = item.at("address").get<std::string>();
    server.failureDomain = FailureDomainName(item.value("failure_domain", ""));
    for (const json &model : item.at("models"))
        server.models.emplace_back(model.get<std::string>());
    server.slots = item.value("slots", server.slots);
    server.memoryTokens = item.value("memory_tokens", server.memoryTokens);
    server.checksFencing = item.value("checks_fencing", false);
    server.isLeaving = item.value("leaving", false);
    return server;
}

json formatServer(const BackendServer &server)
{
    json models = json::array();
    for (const ModelName &model : server.models)
        models.push_back(model.toString());
    return {{"name", server.name.toString()},
            {"kind", server.kind == BackendServerKind::Service ? "service" : "engine"},
            {"address", server.address},
            {"failure_domain", server.failureDomain.toString()},
            {"models", models},
            {"slots", server.slots},
            {"memory_tokens", server.memoryTokens},
            {"checks_fencing", server.checksFencing},
            {"leaving", server.isLeaving}};
}

} // namespace

const ClientAccount *Configuration::findByKeyDigest(std::string_view keyDigest) const
{
    if (!this->accountsByKeyDigest.empty()) {
        const auto found = this->accountsByKeyDigest.find(keyDigest);
        return found == this->accountsByKeyDigest.end() ? nullptr : &this->accounts[found->second];
    }
    for (const ClientAccount &account : this->accounts) {
        for (const std::string &digest : account.keyDigests) {
            if (digest == keyDigest)
                return &account;
        }
    }
    return nullptr;
}

const BackendServer *Configuration::findServer(const BackendServerName &name) const
{
    for (const BackendServer &server : this->servers) {
        if (server.name == name)
            return &server;
    }
    return nullptr;
}

std::string sha256Hex(std::string_view text)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

std::optional<Configuration> parseConfiguration(std::string_view text, Error &reason)
{
    try {
        const json document = json::parse(text);
        Configuration configuration;
        configuration.revision = document.at("revision").get<std::uint64_t>();
        for (const json &item : document.at("accounts"))
            configuration.accounts.push_back(parseAccount(item));
        for (const json &item : document.at("servers"))
            configuration.servers.push_back(parseServer(item));
        return configuration;
    } catch (const json::exception &exception) {
        reason = {ErrorCode::ConfigurationInvalid, RunState::NotRun, exception.what(), {}};
        return std::nullopt;
    }
}

std::string formatConfiguration(const Configuration &configuration)
{
    json accounts = json::array();
    for (const ClientAccount &account : configuration.accounts)
        accounts.push_back(formatAccount(account));
    json servers = json::array();
    for (const BackendServer &server : configuration.servers)
        servers.push_back(formatServer(server));
    const json document = {
            {"revision", configuration.revision}, {"accounts", accounts}, {"servers", servers}};
    return document.dump();
}

} // namespace sassafrasyard
