#include "backends/engine/engineclient.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

Error protocolViolation(std::string detail)
{
    return {ErrorCode::ProtocolViolation, RunState::OutcomeUnknown, std::move(detail), {}};
}

net::awaitable<std::optional<nlohmann::json>> getJson(Endpoint engine, std::string target,
                                                      HttpTimeouts timeouts, Error &reason)
{
    HttpRequest request;
    request.target = std::move(target);
    const auto response = co_await sendHttpRequest(engine, request, timeouts, reason);
    if (!response)
        co_return std::nullopt;
    auto document = nlohmann::json::parse(response->body, nullptr, false);
    if (response->status != 200 || document.is_discarded()) {
        reason = protocolViolation("unexpected response from the engine at " + engine.toString());
        co_return std::nullopt;
    }
    co_return document;
}

HttpRequest makeGenerationRequest(const GenerationName &generation, std::string_view action)
{
    HttpRequest request;
    request.method = "POST";
    request.target =
            "/v1/generations/" + percentEncode(generation.toString()) + "/" + std::string(action);
    return request;
}

EngineStatus toStatus(const nlohmann::json &document, const BackendServerName &server)
{
    EngineStatus status;
    LoadReport &load = status.load;
    load.server = server;
    load.running = document.value("running", 0U);
    load.waiting = document.value("waiting", 0U);
    load.memoryUsedTokens = document.value("memory_used", 0U);
    load.memoryTotalTokens = document.value("memory_total", 0U);
    load.age = Milliseconds(document.value("age_ms", 0));
    load.isLeaving = document.value("leaving", false);
    load.tokenIntervalMilliseconds = document.value("token_interval_ms", 0.0);
    load.preemptions = document.value("preemptions", std::uint64_t{0});
    for (const auto &item : document.value("models", nlohmann::json::array())) {
        LoadedModel loaded;
        loaded.model = ModelName(item.value("model", ""));
        loaded.version = item.value("version", "");
        if (item.contains("running"))
            loaded.running = item.at("running").get<std::uint32_t>();
        status.models.push_back(std::move(loaded));
    }
    return status;
}

} // namespace

net::awaitable<bool> cancelGeneration(const Endpoint &engine, const GenerationName &generation,
                                      Milliseconds unlessReadWithin, HttpTimeouts timeouts,
                                      Error &reason)
{
    HttpRequest request = makeGenerationRequest(generation, "cancel");
    request.body = "{\"unless_read_within_ms\":" + std::to_string(unlessReadWithin.count()) + "}";
    const auto response = co_await sendHttpRequest(engine, request, timeouts, reason);
    co_return response && (response->status == 200 || response->status == 404);
}

net::awaitable<bool> suspendGeneration(const Endpoint &engine, const GenerationName &generation,
                                       HttpTimeouts timeouts, Error &reason)
{
    const HttpRequest request = makeGenerationRequest(generation, "suspend");
    const auto response = co_await sendHttpRequest(engine, request, timeouts, reason);
    co_return response && response->status == 200;
}

net::awaitable<std::optional<EngineStatus>> readEngineStatus(const Endpoint &engine,
                                                             const BackendServerName &server,
                                                             HttpTimeouts timeouts, Error &reason)
{
    const auto document = co_await getJson(engine, "/v1/load", timeouts, reason);
    if (!document)
        co_return std::nullopt;
    try {
        co_return toStatus(*document, server);
    } catch (const nlohmann::json::exception &exception) {
        reason = protocolViolation(exception.what());
        co_return std::nullopt;
    }
}

net::awaitable<std::optional<std::vector<CacheEvent>>> readCacheEvents(
        const Endpoint &engine, const BackendServerName &server, std::uint64_t after,
        HttpTimeouts timeouts, Error &reason)
{
    std::string target = "/v1/cache-events?after=" + std::to_string(after);
    const auto document = co_await getJson(engine, std::move(target), timeouts, reason);
    if (!document)
        co_return std::nullopt;
    std::vector<CacheEvent> events;
    try {
        for (const auto &item : document->at("events")) {
            CacheEvent event;
            event.server = server;
            event.sequence = item.at("sequence").get<std::uint64_t>();
            event.prefixDigest = item.at("prefix").get<std::uint64_t>();
            event.isStored = item.at("stored").get<bool>();
            events.push_back(event);
        }
    } catch (const nlohmann::json::exception &exception) {
        reason = protocolViolation(exception.what());
        co_return std::nullopt;
    }
    co_return events;
}

net::awaitable<bool> sendEngineOrder(const Endpoint &engine, const EngineOrder &order,
                                     HttpTimeouts timeouts, Error &reason)
{
    nlohmann::json body;
    body["order"] = order.order;
    body["fence"] = order.fence;
    body["model"] = order.model.toString();
    body["version"] = order.version;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = body.dump();
    const auto response = co_await sendHttpRequest(engine, request, timeouts, reason);
    if (!response)
        co_return false;
    if (response->status == 409)
        reason = {ErrorCode::StaleFence, RunState::NotRun, "the engine refused the order", {}};
    else if (response->status != 200)
        reason = protocolViolation("the engine answered " + std::to_string(response->status));
    co_return response->status == 200;
}

} // namespace sassafrasyard
