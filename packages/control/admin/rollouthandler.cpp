#include "control/admin/rollouthandler.h"

#include "control/admin/adminjson.h"
#include "entry/http/errorresponse.h"

#include <algorithm>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view rolloutPathPrefix = "/v1/rollouts/";

Error invalid(std::string detail)
{
    return {ErrorCode::InvalidRequest, RunState::NotRun, std::move(detail), {}};
}

bool isDeclared(const Configuration &configuration, const Rollout &rollout)
{
    const auto source = configurationSource(configuration);
    const auto stored =
            source->documents.find(DocumentKey{DocumentKind::Model, rollout.model.toString()});
    if (stored == source->documents.end())
        return false;
    const json body = json::parse(*stored->second.body, nullptr, false);
    const json versions = body.value("versions", json::array());
    return std::find(versions.begin(), versions.end(), json(rollout.version)) != versions.end();
}

bool servesModel(const BackendServer *server, const ModelName &model)
{
    return server != nullptr && server->kind == BackendServerKind::Engine
            && std::find(server->models.begin(), server->models.end(), model)
            != server->models.end();
}

/** Reads the rollout's limits. @return an error if one is invalid, or nothing. */
std::optional<Error> readLimits(const json &body, Rollout &rollout)
{
    constexpr double smallestShare = 0.001;
    constexpr double largestSlowdown = 100.0;
    for (const char *field : {"parallel_share", "maximum_slowdown", "maximum_loads",
                              "observation_ms", "load_timeout_ms"}) {
        if (body.contains(field) && !body[field].is_number())
            return invalid(std::string(field) + " is not a number");
    }
    rollout.parallelShare = body.value("parallel_share", rollout.parallelShare);
    rollout.maximumSlowdown = body.value("maximum_slowdown", rollout.maximumSlowdown);
    rollout.maximumLoads = body.value("maximum_loads", rollout.maximumLoads);
    rollout.observation = Milliseconds(body.value("observation_ms", rollout.observation.count()));
    rollout.loadTimeout = Milliseconds(body.value("load_timeout_ms", rollout.loadTimeout.count()));
    if (rollout.parallelShare < smallestShare || rollout.parallelShare > 1.0)
        return invalid("parallel_share must be from 0.001 to 1");
    if (rollout.maximumSlowdown < 1.0 || rollout.maximumSlowdown > largestSlowdown)
        return invalid("maximum_slowdown must be from 1 to 100");
    if (rollout.maximumLoads == 0 || rollout.observation.count() < 0
        || rollout.loadTimeout.count() <= 0)
        return invalid("maximum_loads, observation_ms or load_timeout_ms is out of range");
    return std::nullopt;
}

std::optional<Error> readServers(const json &body, const Configuration &configuration,
                                 Rollout &rollout)
{
    const auto add = [&rollout](const BackendServerName &name) {
        RolloutServer server;
        server.name = name;
        rollout.servers.push_back(std::move(server));
    };
    for (const json &name : body.value("servers", json::array())) {
        if (!name.is_string())
            return invalid("servers is not a list of names");
        const BackendServerName server(name.get<std::string>());
        if (!servesModel(configuration.findServer(server), rollout.model))
            return invalid("backend server " + server.toString() + " does not serve "
                           + rollout.model.toString() + "; 'sassafrasyardctl dump' lists them");
        add(server);
    }
    if (!rollout.servers.empty())
        return std::nullopt;
    for (const BackendServer &server : configuration.servers) {
        if (servesModel(&server, rollout.model))
            add(server.name);
    }
    if (rollout.servers.empty())
        return invalid("no backend server serves " + rollout.model.toString());
    return std::nullopt;
}

std::string rolloutObjectName(const std::string &model)
{
    return std::string(rolloutObjectPrefix) + model;
}

} // namespace

RolloutHandler::RolloutHandler(EntryState &state, ObjectClient &platform)
    : entry(state)
    , platform(platform)
{
}

net::awaitable<std::optional<HttpResponse>> RolloutHandler::handleRequest(
        const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/v1/rollouts" && request.method == "GET")
        co_return co_await this->list();
    if (path == "/v1/rollouts" && request.method == "POST")
        co_return co_await this->start(request);
    if (request.method != "POST" || !path.starts_with(rolloutPathPrefix))
        co_return std::nullopt;
    const std::string_view rest = path.substr(rolloutPathPrefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos)
        co_return std::nullopt;
    const std::string_view action = rest.substr(slash + 1);
    if (action != "stop" && action != "resume")
        co_return std::nullopt;
    std::string model = percentDecode(rest.substr(0, slash));
    co_return co_await this->stopOrResume(std::move(model), action == "resume");
}

net::awaitable<HttpResponse> RolloutHandler::list()
{
    Error reason;
    const auto objects = co_await this->platform.list(std::string(rolloutObjectPrefix), reason);
    if (!objects)
        co_return errorResponse(reason);
    json rollouts = json::array();
    for (const StoredObject &object : *objects)
        rollouts.push_back(json::parse(object.value, nullptr, false));
    json body;
    body["rollouts"] = std::move(rollouts);
    co_return jsonResponse(200, body);
}

net::awaitable<HttpResponse> RolloutHandler::start(const HttpRequest &request)
{
    Error reason;
    const auto body = parseJsonObject(request, reason);
    if (!body)
        co_return errorResponse(reason);
    const auto configuration = this->entry.configuration.current();
    Rollout rollout;
    rollout.identifier = RandomSource::fromSystem().nextHex();
    rollout.model = ModelName(stringField(*body, "model"));
    rollout.version = stringField(*body, "version");
    rollout.author = stringField(*body, "author");
    if (!isDeclared(*configuration, rollout))
        co_return errorResponse(invalid("model/" + rollout.model.toString()
                                        + " does not declare version " + rollout.version
                                        + "; apply a change that adds it first"));
    auto fault = readLimits(*body, rollout);
    if (!fault)
        fault = readServers(*body, *configuration, rollout);
    if (fault)
        co_return errorResponse(*fault);
    const std::string name = rolloutObjectName(rollout.model.toString());
    const auto existing = co_await this->platform.read(name, reason);
    if (!existing && reason.code != ErrorCode::NotFound)
        co_return errorResponse(reason);
    const auto previous = existing ? parseRollout(existing->value, reason) : std::nullopt;
    if (previous && previous->state == RolloutState::Running) {
        const Error running{ErrorCode::Conflict,
                            RunState::NotRun,
                            "a rollout of this model to " + previous->version
                                    + " is running; stop it first",
                            {}};
        co_return errorResponse(running);
    }
    co_return co_await this->write(std::move(rollout), existing ? existing->version : 0);
}

net::awaitable<HttpResponse> RolloutHandler::stopOrResume(std::string model, bool isResume)
{
    Error reason;
    const std::string name = rolloutObjectName(model);
    const auto object = co_await this->platform.read(name, reason);
    auto rollout = object ? parseRollout(object->value, reason) : std::nullopt;
    if (!rollout)
        co_return errorResponse(reason);
    const RolloutState expected = isResume ? RolloutState::Stopped : RolloutState::Running;
    if (rollout->state != expected) {
        const Error conflict{ErrorCode::Conflict,
                             RunState::NotRun,
                             "the rollout is " + std::string(toString(rollout->state)),
                             {}};
        co_return errorResponse(conflict);
    }
    rollout->state = isResume ? RolloutState::Running : RolloutState::Stopped;
    rollout->reason = isResume ? "" : "stopped by an operator";
    if (isResume) {
        // With the old identifier, changes of the resumed rollout would be taken for repetitions.
        rollout->identifier = RandomSource::fromSystem().nextHex();
        for (RolloutServer &server : rollout->servers) {
            if (server.phase == ServerPhase::Reverted)
                server.phase = ServerPhase::Pending;
        }
    }
    co_return co_await this->write(std::move(*rollout), object->version);
}

net::awaitable<HttpResponse> RolloutHandler::write(Rollout rollout, std::uint64_t version)
{
    WriteCondition condition;
    condition.version = version;
    Error reason;
    std::string text = formatRollout(rollout);
    const std::string name = rolloutObjectName(rollout.model.toString());
    const auto written = co_await this->platform.write(name, std::move(text), condition, reason);
    std::optional<StoredObject> existing;
    Error ignored;
    if (!written && reason.code == ErrorCode::PlatformOutcomeUnknown)
        existing = co_await this->platform.read(name, ignored);
    const auto storedRollout = existing ? parseRollout(existing->value, ignored) : std::nullopt;
    const bool isStored = storedRollout && storedRollout->identifier == rollout.identifier
            && storedRollout->state == rollout.state;
    if (!written && !isStored)
        co_return errorResponse(reason);
    json body;
    body["name"] = rollout.model.toString();
    body["identifier"] = rollout.identifier;
    co_return jsonResponse(200, body);
}

} // namespace sassafrasyard
