#include "scenarios/runner/configurationobjects.h"

#include "configuration/configuration.h"
#include "configuration/revisions/snapshot.h"
#include "scenarios/runner/scenarioerror.h"

#include <nlohmann/json.hpp>

#include <set>

namespace sassafrasyard {

using nlohmann::json;

namespace {

/** The number of changes listed in the head, so that hosts need not read a whole snapshot. */
constexpr std::uint64_t headChangeCount = 4;

json serverDocument(json server)
{
    server["document"] = "server/" + server["name"].get<std::string>();
    server.erase("name");
    if (server["kind"] == "service") {
        server["service"] = server["models"][0];
        server.erase("models");
    }
    return server;
}

json proposedDocuments(const json &servers, const json &accounts)
{
    json documents = json::array();
    std::set<std::string> models;
    for (const json &server : servers) {
        documents.push_back(serverDocument(server));
        if (server["kind"] == "engine")
            models.insert(server["models"][0].get<std::string>());
    }
    for (const json &account : accounts) {
        for (const json &model : account["models"])
            models.insert(model["name"].get<std::string>());
        const std::string name = account["name"];
        json body = account;
        body.erase("name");
        documents.push_back({{"document", "template/" + name}, {"account", body}});
        documents.push_back({{"document", "account/" + name}, {"template", name}});
    }
    for (const std::string &model : models)
        documents.push_back({{"document", "model/" + model}, {"versions", {"v1"}}});
    return documents;
}

} // namespace

std::vector<std::pair<std::string, std::string>> configurationObjects(std::uint64_t revision,
                                                                      const json &servers,
                                                                      const json &accounts)
{
    std::vector<ConfigurationFault> faults;
    const auto proposals =
            parseProposedDocuments(proposedDocuments(servers, accounts).dump(), faults);
    const DocumentSet documents = applyProposals({}, proposals, revision);
    resolveConfiguration(documents, revision, faults);
    if (!faults.empty())
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, toError(faults).detail);
    Snapshot snapshot = makeSnapshot(documents);
    RevisionHead head;
    head.revision = revision;
    head.snapshot = snapshot.digest;
    head.snapshotRevision = revision;
    for (std::uint64_t listed = revision > headChangeCount ? revision - headChangeCount + 1 : 1;
         listed <= revision; ++listed) {
        ChangeRecord record;
        record.revision = listed;
        record.identifier = "scenario-" + std::to_string(listed);
        record.contentDigest = snapshot.digest;
        record.author = "scenario";
        for (const auto &[key, document] : documents)
            record.documents.push_back({key, document.digest});
        head.changes.push_back(std::move(record));
    }
    std::vector<std::pair<std::string, std::string>> objects = std::move(snapshot.objects);
    for (const auto &[key, document] : documents)
        objects.emplace_back(documentObjectName(document.digest), *document.body);
    objects.emplace_back(headObjectName, formatHead(head));
    return objects;
}

} // namespace sassafrasyard
