#include "configuration/documents/documentset.h"

#include "configuration/documents/accounttemplate.h"
#include "configuration/documents/fieldreader.h"
#include "core/text/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sassafrasyard {

using nlohmann::json;

namespace {

constexpr std::uint32_t maximumSlots = 65536;
constexpr std::uint32_t maximumMemoryTokens = 1U << 30U;

using ParsedDocuments = std::map<DocumentKey, json>;

std::map<std::string, std::set<std::string>> readModels(const ParsedDocuments &documents,
                                                        std::vector<ConfigurationFault> &faults)
{
    std::map<std::string, std::set<std::string>> models;
    for (const auto &[key, body] : documents) {
        if (key.kind != DocumentKind::Model)
            continue;
        FieldReader fields(body, key.toString(), "", faults);
        const auto versions = fields.texts("versions", FieldPresence::Required);
        fields.text("description", FieldPresence::Optional);
        fields.reportUnknownFields();
        models[key.name] = {versions.begin(), versions.end()};
    }
    return models;
}

std::map<ModelName, std::string> readServedVersions(const json &versions,
                                                    const BackendServer &server,
                                                    const ReferenceTargets &targets,
                                                    FieldReader &fields)
{
    std::map<ModelName, std::string> result;
    for (const auto &[name, version] : versions.items()) {
        const ModelName model(name);
        const auto declared = targets.models.find(name);
        const bool isServed =
                std::find(server.models.begin(), server.models.end(), model) != server.models.end();
        if (!isServed || !version.is_string() || declared == targets.models.end()
            || !declared->second.contains(version.get<std::string>())) {
            fields.addFault(ConfigurationFaultKind::UnknownReference, "versions." + name,
                            "unknown model or version",
                            "name a model of this server and a version of model/" + name);
            continue;
        }
        result.emplace(model, version.get<std::string>());
    }
    return result;
}

BackendServer readServer(const DocumentKey &key, const json &body, const ReferenceTargets &targets,
                         std::map<ModelName, std::string> &servedVersions,
                         std::vector<ConfigurationFault> &faults)
{
    FieldReader fields(body, key.toString(), "", faults);
    BackendServer server;
    server.name = BackendServerName(key.name);
    const std::string kind = fields.text("kind", FieldPresence::Required, "engine");
    if (kind != "engine" && kind != "service")
        fields.addFault(ConfigurationFaultKind::OutOfRange, "kind", "unknown kind " + kind,
                        "give engine or service");
    server.kind = kind == "service" ? BackendServerKind::Service : BackendServerKind::Engine;
    server.address = fields.text("address", FieldPresence::Required);
    const bool hasPort = server.address.find(':') != std::string::npos;
    if (!server.address.empty() && !hasPort)
        fields.addFault(ConfigurationFaultKind::OutOfRange, "address", "not an address",
                        "give IP:port");
    server.failureDomain =
            FailureDomainName(fields.text("failure_domain", FieldPresence::Optional));
    if (server.kind == BackendServerKind::Service) {
        server.models.emplace_back(fields.text("service", FieldPresence::Required));
    } else {
        std::size_t index = 0;
        for (const std::string &model : fields.texts("models", FieldPresence::Required)) {
            if (!targets.models.contains(model))
                fields.addFault(ConfigurationFaultKind::UnknownReference,
                                "models[" + std::to_string(index) + "]", "unknown model " + model,
                                "add document model/" + model + " in the same change");
            server.models.emplace_back(model);
            ++index;
        }
    }
    servedVersions = readServedVersions(fields.object("versions", FieldPresence::Optional), server,
                                        targets, fields);
    server.slots = fields.integer("slots", server.slots, 1, maximumSlots);
    server.memoryTokens =
            fields.integer("memory_tokens", server.memoryTokens, 1, maximumMemoryTokens);
    server.checksFencing = fields.flag("checks_fencing", false);
    server.isLeaving = fields.flag("leaving", false);
    fields.reportUnknownFields();
    return server;
}

ParsedDocuments parseBodies(const DocumentSet &documents, std::vector<ConfigurationFault> &faults)
{
    ParsedDocuments parsedDocuments;
    for (const auto &[key, document] : documents) {
        json body = json::parse(*document.body, nullptr, false);
        if (body.is_discarded()) {
            faults.push_back({ConfigurationFaultKind::MalformedDocument, key.toString(), "",
                              "not JSON", "correct the syntax"});
            continue;
        }
        parsedDocuments.emplace(key, std::move(body));
    }
    return parsedDocuments;
}

void indexKeyDigests(Configuration &configuration, std::vector<ConfigurationFault> &faults)
{
    for (std::size_t index = 0; index < configuration.accounts.size(); ++index) {
        const ClientAccount &account = configuration.accounts[index];
        for (const std::string &digest : account.keyDigests) {
            const auto [entry, isNew] = configuration.accountsByKeyDigest.emplace(digest, index);
            if (isNew)
                continue;
            const auto &owner = configuration.accounts[entry->second].limits.account;
            faults.push_back({ConfigurationFaultKind::Duplicate,
                              "account/" + account.limits.account.toString(), "key_digests",
                              "a key that account/" + owner.toString() + " already uses",
                              "give each client account its own keys"});
        }
    }
}

} // namespace

StoredDocument makeStoredDocument(std::string body, std::uint64_t revision)
{
    StoredDocument document;
    document.digest = sha256Hex(body);
    document.body = std::make_shared<const std::string>(std::move(body));
    document.revision = revision;
    return document;
}

std::vector<ProposedDocument> parseProposedDocuments(std::string_view text,
                                                     std::vector<ConfigurationFault> &faults)
{
    std::vector<ProposedDocument> proposals;
    if (!jsontext::isNestedAtMost(text)) {
        faults.push_back({ConfigurationFaultKind::MalformedDocument, "documents", "",
                          "nested too deeply",
                          "nest at most " + std::to_string(jsontext::maximumNesting) + " levels"});
        return proposals;
    }
    const json list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        faults.push_back({ConfigurationFaultKind::MalformedDocument, "documents", "",
                          "not a JSON list", "write [{\"document\": \"account/NAME\", ...}, ...]"});
        return proposals;
    }
    std::set<DocumentKey> keys;
    for (std::size_t index = 0; index < list.size(); ++index) {
        json body = list[index];
        const std::string place = "[" + std::to_string(index) + "]";
        const bool isNamed =
                body.is_object() && body.contains("document") && body["document"].is_string();
        const auto key =
                isNamed ? parseDocumentKey(body["document"].get<std::string>()) : std::nullopt;
        if (!key) {
            faults.push_back({ConfigurationFaultKind::MalformedDocument, "documents", place,
                              "no valid document key",
                              "add \"document\": \"KIND/NAME\" with KIND template, account, model "
                              "or server"});
            continue;
        }
        if (!keys.insert(*key).second)
            faults.push_back({ConfigurationFaultKind::Duplicate, key->toString(), place,
                              "the document occurs twice in the change", "keep one of them"});
        body.erase("document");
        const bool isRemoval = body.contains("remove") && body["remove"] == true;
        ProposedDocument proposal;
        proposal.key = *key;
        if (!isRemoval)
            proposal.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        proposals.push_back(std::move(proposal));
    }
    return proposals;
}

std::string formatDocuments(const DocumentSet &documents)
{
    json list = json::array();
    for (const auto &[key, document] : documents) {
        json body = json::parse(*document.body, nullptr, false);
        body["document"] = key.toString();
        list.push_back(std::move(body));
    }
    return list.dump(2);
}

DocumentSet applyProposals(DocumentSet documents, const std::vector<ProposedDocument> &proposals,
                           std::uint64_t revision)
{
    for (const ProposedDocument &proposal : proposals) {
        if (proposal.body)
            documents[proposal.key] = makeStoredDocument(*proposal.body, revision);
        else
            documents.erase(proposal.key);
    }
    return documents;
}

std::optional<Configuration> resolveConfiguration(const DocumentSet &documents,
                                                  std::uint64_t revision,
                                                  std::vector<ConfigurationFault> &faults)
{
    const std::size_t previousFaultCount = faults.size();
    const ParsedDocuments parsedDocuments = parseBodies(documents, faults);
    Configuration configuration;
    configuration.revision = revision;
    ReferenceTargets targets;
    targets.models = readModels(parsedDocuments, faults);
    std::map<std::string, AccountTemplate> templates;
    for (const auto &[key, body] : parsedDocuments) {
        if (key.kind == DocumentKind::Server) {
            std::map<ModelName, std::string> versions;
            configuration.servers.push_back(readServer(key, body, targets, versions, faults));
            const BackendServer &server = configuration.servers.back();
            if (!versions.empty())
                configuration.servedVersions.emplace(server.name, std::move(versions));
            if (server.kind == BackendServerKind::Service)
                targets.services.insert(server.models.front().toString());
        } else if (key.kind == DocumentKind::Template) {
            templates.emplace(key.name, readTemplate(key, body, faults));
        }
    }
    for (const auto &[key, body] : parsedDocuments) {
        if (key.kind == DocumentKind::Account)
            configuration.accounts.push_back(fillTemplate(key, body, templates, targets, faults));
    }
    indexKeyDigests(configuration, faults);
    if (faults.size() != previousFaultCount)
        return std::nullopt;
    return configuration;
}

} // namespace sassafrasyard
