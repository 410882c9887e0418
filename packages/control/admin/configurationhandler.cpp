#include "control/admin/configurationhandler.h"

#include "control/admin/adminjson.h"
#include "entry/http/errorresponse.h"

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view serverPrefix = "/v1/backend-servers/";
constexpr std::size_t maximumIdentifierLength = 128;

json faultsToJson(const std::vector<ConfigurationFault> &faults)
{
    json list = json::array();
    for (const ConfigurationFault &fault : faults) {
        json item;
        item["kind"] = std::string(toString(fault.kind));
        item["document"] = fault.document;
        item["place"] = fault.place;
        item["problem"] = fault.problem;
        item["remedy"] = fault.remedy;
        list.push_back(std::move(item));
    }
    return list;
}

HttpResponse changeErrorResponse(const Error &reason, const std::vector<ConfigurationFault> &faults,
                                 std::uint64_t revision)
{
    HttpResponse response = errorResponse(reason);
    json body = json::parse(response.body);
    body["faults"] = faultsToJson(faults);
    body["revision"] = revision;
    response.body = body.dump();
    return response;
}

/** Returns what a proposal changes in its document, as JSON; null if it changes nothing. */
json describeChange(const ProposedDocument &proposal, const DocumentSet &documents)
{
    const auto stored = documents.find(proposal.key);
    const bool exists = stored != documents.end();
    if (exists == proposal.body.has_value() && (!exists || *stored->second.body == *proposal.body))
        return {};
    json item;
    item["document"] = proposal.key.toString();
    item["before"] = exists ? json::parse(*stored->second.body, nullptr, false) : json();
    item["after"] = proposal.body ? json::parse(*proposal.body, nullptr, false) : json();
    item["change"] = !exists ? "added" : proposal.body ? "changed" : "removed";
    return item;
}

std::optional<ChangeRequest> parseChange(const json &body, std::vector<ConfigurationFault> &faults,
                                         Error &reason)
{
    ChangeRequest change;
    change.identifier = stringField(body, "change");
    change.author = stringField(body, "author");
    change.comment = stringField(body, "comment");
    if (change.identifier.empty() || change.identifier.size() > maximumIdentifierLength) {
        reason = {ErrorCode::InvalidRequest,
                  RunState::NotRun,
                  "give a change identifier of 1 to 128 characters in \"change\"",
                  {}};
        return std::nullopt;
    }
    if (body.contains("base_revision") && body["base_revision"].is_number_unsigned())
        change.baseRevision = body["base_revision"].get<std::uint64_t>();
    change.documents =
            parseProposedDocuments(body.value("documents", json::array()).dump(), faults);
    if (!faults.empty()) {
        reason = toError(faults);
        return std::nullopt;
    }
    if (change.documents.empty()) {
        reason = {ErrorCode::InvalidRequest, RunState::NotRun, "the change has no documents", {}};
        return std::nullopt;
    }
    return change;
}

} // namespace

ConfigurationHandler::ConfigurationHandler(EntryState &state, ConfigurationStore &store)
    : entry(state)
    , store(store)
{
}

net::awaitable<std::optional<HttpResponse>> ConfigurationHandler::handleRequest(
        const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (request.method == "GET" && path == "/v1/configuration")
        co_return co_await this->documents();
    if (request.method == "GET" && path == "/v1/configuration/history")
        co_return co_await this->history();
    if (request.method != "POST")
        co_return std::nullopt;
    if (path == "/v1/configuration/validate" || path == "/v1/configuration/diff")
        co_return co_await this->validateAndDiff(request);
    if (path == "/v1/configuration/changes")
        co_return co_await this->apply(request);
    if (!path.starts_with(serverPrefix))
        co_return std::nullopt;
    const std::string_view rest = path.substr(serverPrefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos)
        co_return std::nullopt;
    std::string server = percentDecode(rest.substr(0, slash));
    const std::string_view action = rest.substr(slash + 1);
    if (action != "drain" && action != "undrain")
        co_return std::nullopt;
    co_return co_await this->setLeaving(request, std::move(server), action == "drain");
}

net::awaitable<HttpResponse> ConfigurationHandler::documents()
{
    const auto localSource = configurationSource(*this->entry.configuration.current());
    Error reason;
    const auto source = co_await this->store.loadCurrent(localSource, reason);
    // During a platform outage the response shows the configuration that this host runs.
    const auto displayedSource = source ? source : localSource;
    json body;
    body["revision"] = displayedSource->revision;
    body["from"] = source ? "platform" : "host";
    body["documents"] = json::parse(formatDocuments(displayedSource->documents));
    co_return jsonResponse(200, body);
}

net::awaitable<HttpResponse> ConfigurationHandler::history()
{
    const auto localSource = configurationSource(*this->entry.configuration.current());
    Error reason;
    const auto source = co_await this->store.loadCurrent(localSource, reason);
    const auto displayedSource = source ? source : localSource;
    json body;
    body["revision"] = displayedSource->revision;
    body["from"] = source ? "platform" : "host";
    body["changes"] = json::parse(formatChangeRecords(displayedSource->changes));
    co_return jsonResponse(200, body);
}

net::awaitable<HttpResponse> ConfigurationHandler::validateAndDiff(const HttpRequest &request)
{
    Error reason;
    const auto body = parseJsonObject(request, reason);
    if (!body)
        co_return errorResponse(reason);
    std::vector<ConfigurationFault> faults;
    const std::string text = body->value("documents", json::array()).dump();
    const auto proposals = parseProposedDocuments(text, faults);
    const auto localSource = configurationSource(*this->entry.configuration.current());
    const auto source = co_await this->store.loadCurrent(localSource, reason);
    if (!source)
        co_return errorResponse(reason);
    const DocumentSet next = applyProposals(source->documents, proposals, source->revision + 1);
    resolveConfiguration(next, source->revision + 1, faults);
    json result;
    result["revision"] = source->revision;
    result["valid"] = faults.empty();
    result["faults"] = faultsToJson(faults);
    result["changes"] = json::array();
    for (const ProposedDocument &proposal : proposals) {
        json item = describeChange(proposal, source->documents);
        if (!item.is_null())
            result["changes"].push_back(std::move(item));
    }
    co_return jsonResponse(200, result);
}

net::awaitable<HttpResponse> ConfigurationHandler::apply(const HttpRequest &request)
{
    Error reason;
    const auto body = parseJsonObject(request, reason);
    if (!body)
        co_return errorResponse(reason);
    std::vector<ConfigurationFault> faults;
    auto change = parseChange(*body, faults, reason);
    if (!change)
        co_return changeErrorResponse(reason, faults,
                                      this->entry.configuration.current()->revision);
    co_return co_await this->accept(std::move(*change));
}

net::awaitable<HttpResponse> ConfigurationHandler::setLeaving(const HttpRequest &request,
                                                              std::string server, bool isLeaving)
{
    Error reason;
    const auto body = parseJsonObject(request, reason);
    if (!body)
        co_return errorResponse(reason);
    const auto localSource = configurationSource(*this->entry.configuration.current());
    const auto source = co_await this->store.loadCurrent(localSource, reason);
    if (!source)
        co_return errorResponse(reason);
    const DocumentKey key{DocumentKind::Server, server};
    const auto stored = source->documents.find(key);
    if (stored == source->documents.end()) {
        reason = {ErrorCode::NotFound,
                  RunState::NotRun,
                  "no backend server " + server + "; 'sassafrasyardctl dump' lists them",
                  {}};
        co_return errorResponse(reason);
    }
    json document = json::parse(*stored->second.body);
    document["leaving"] = isLeaving;
    ChangeRequest change;
    change.identifier = stringField(*body, "change", RandomSource::fromSystem().nextHex());
    change.author = stringField(*body, "author");
    change.comment = stringField(*body, "comment", isLeaving ? "drain" : "undrain");
    change.baseRevision = source->revision;
    ProposedDocument proposal;
    proposal.key = key;
    proposal.body = document.dump();
    change.documents.push_back(std::move(proposal));
    co_return co_await this->accept(std::move(change));
}

net::awaitable<HttpResponse> ConfigurationHandler::accept(ChangeRequest change)
{
    const std::string identifier = change.identifier;
    const std::string author = change.author;
    const auto localSource = configurationSource(*this->entry.configuration.current());
    const ChangeOutcome outcome = co_await this->store.accept(std::move(change), localSource);
    if (!outcome.isAccepted)
        co_return changeErrorResponse(outcome.reason, outcome.faults, outcome.revision);
    logEvent(LogEvent::ConfigurationAccepted, "revision", std::to_string(outcome.revision),
             "change", identifier, "author", author);
    if (outcome.source) {
        std::vector<ConfigurationFault> faults;
        auto configuration = resolveSource(outcome.source, faults);
        if (configuration && this->entry.configuration.offer(std::move(*configuration)))
            logEvent(LogEvent::ConfigurationApplied, "revision", std::to_string(outcome.revision),
                     "from", "acceptance");
    }
    json body;
    body["revision"] = outcome.revision;
    body["change"] = identifier;
    co_return jsonResponse(200, body);
}

} // namespace sassafrasyard
