#include "control/rollouts/rollout.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace sassafrasyard {

using nlohmann::json;

namespace {

constexpr std::array states = {RolloutState::Running, RolloutState::Stopped,
                               RolloutState::Completed};
constexpr std::array phases = {ServerPhase::Pending, ServerPhase::Loading,  ServerPhase::Serving,
                               ServerPhase::Done,    ServerPhase::Reverted, ServerPhase::Skipped};

template <typename Values>
auto enumFromName(const Values &values, const json &name)
{
    for (const auto value : values) {
        if (toString(value) == name.get<std::string>())
            return value;
    }
    throw json::other_error::create(501, "unknown state", &name);
}

} // namespace

std::string_view toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Stopped:
        return "stopped";
    case RolloutState::Completed:
        return "completed";
    }
    return "stopped";
}

std::string_view toString(ServerPhase phase)
{
    switch (phase) {
    case ServerPhase::Pending:
        return "pending";
    case ServerPhase::Loading:
        return "loading";
    case ServerPhase::Serving:
        return "serving";
    case ServerPhase::Done:
        return "done";
    case ServerPhase::Reverted:
        return "reverted";
    case ServerPhase::Skipped:
        return "skipped";
    }
    return "pending";
}

std::size_t countLoads(const Rollout &rollout)
{
    if (rollout.state != RolloutState::Running)
        return 0;
    const auto count =
            std::count_if(rollout.servers.begin(), rollout.servers.end(),
                          [](const auto &server) { return server.phase == ServerPhase::Loading; });
    return static_cast<std::size_t>(count);
}

std::string formatRollout(const Rollout &rollout)
{
    json item;
    item["name"] = rollout.model.toString();
    item["identifier"] = rollout.identifier;
    item["model"] = rollout.model.toString();
    item["version"] = rollout.version;
    item["author"] = rollout.author;
    item["parallel_share"] = rollout.parallelShare;
    item["maximum_loads"] = rollout.maximumLoads;
    item["maximum_slowdown"] = rollout.maximumSlowdown;
    item["load_timeout_ms"] = rollout.loadTimeout.count();
    item["observation_ms"] = rollout.observation.count();
    item["state"] = std::string(toString(rollout.state));
    item["reason"] = rollout.reason;
    item["fence"] = rollout.fence;
    item["servers"] = json::array();
    for (const RolloutServer &server : rollout.servers) {
        json entry;
        entry["name"] = server.name.toString();
        entry["phase"] = std::string(toString(server.phase));
        entry["old_version"] = server.oldVersion;
        entry["baseline_interval_ms"] = server.baselineInterval;
        entry["since_ms"] = server.since.count();
        item["servers"].push_back(std::move(entry));
    }
    return item.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Rollout> parseRollout(std::string_view text, Error &reason)
{
    try {
        const json item = json::parse(text);
        Rollout rollout;
        rollout.identifier = item.at("identifier").get<std::string>();
        rollout.model = ModelName(item.at("model").get<std::string>());
        rollout.version = item.at("version").get<std::string>();
        rollout.author = item.at("author").get<std::string>();
        rollout.parallelShare = item.at("parallel_share").get<double>();
        rollout.maximumLoads = item.at("maximum_loads").get<std::uint32_t>();
        rollout.maximumSlowdown = item.at("maximum_slowdown").get<double>();
        rollout.loadTimeout = Milliseconds(item.at("load_timeout_ms").get<std::int64_t>());
        rollout.observation = Milliseconds(item.at("observation_ms").get<std::int64_t>());
        rollout.state = enumFromName(states, item.at("state"));
        rollout.reason = item.at("reason").get<std::string>();
        rollout.fence = item.at("fence").get<std::uint64_t>();
        for (const json &entry : item.at("servers")) {
            RolloutServer server;
            server.name = BackendServerName(entry.at("name").get<std::string>());
            server.phase = enumFromName(phases, entry.at("phase"));
            server.oldVersion = entry.at("old_version").get<std::string>();
            server.baselineInterval = entry.at("baseline_interval_ms").get<double>();
            server.since = Milliseconds(entry.at("since_ms").get<std::int64_t>());
            rollout.servers.push_back(std::move(server));
        }
        return rollout;
    } catch (const json::exception &exception) {
        reason = {ErrorCode::ConfigurationInvalid,
                  RunState::NotRun,
                  std::string("malformed rollout: ") + exception.what(),
                  {}};
        return std::nullopt;
    }
}

} // namespace sassafrasyard
