#include "engineserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view generationPrefix = "/v1/generations/";
constexpr std::uint64_t defaultLength = 32;

std::int64_t nowMilliseconds()
{
    return Clock::steady().now().count();
}

} // namespace

EngineServer::EngineServer(net::io_context &context, const StandinFlags &flags)
    : context(context)
    , name(flags.text("name", "engine"))
    , model(flags.text("model", "plan"))
    , version(flags.text("version", "v1"))
    , intervalMilliseconds(flags.number("interval-ms", 20))
    , checksFence(flags.text("check-fence", "false") == "true")
    , runName(RandomSource::fromSystem().nextHex())
    , step(context)
{
    net::co_spawn(
            context, [this] { return this->decode(); }, net::detached);
}

net::awaitable<void> EngineServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    if (path == "/v1/completions") {
        co_await this->start(request, responder);
    } else if (path.starts_with(generationPrefix)) {
        co_await this->act(request, responder);
    } else if (path == "/v1/load") {
        co_await responder.send(this->load());
    } else if (path == "/v1/orders") {
        co_await responder.send(this->order(request));
    } else if (path == "/v1/cache-events") {
        co_await responder.send(jsonResponse(200, "{\"events\":[]}"));
    } else {
        co_await responder.send(jsonResponse(404, "{}"));
    }
}

net::awaitable<void> EngineServer::decode()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    while (true) {
        timer.expires_after(std::chrono::microseconds(
                static_cast<std::int64_t>(this->intervalMilliseconds * 1000)));
        co_await timer.async_wait(net::use_awaitable);
        for (auto &[key, generation] : this->generations) {
            if (generation->isSuspended || generation->isCancelled
                || generation->tokens.size() >= generation->length) {
                continue;
            }
            const std::uint64_t index = generation->tokens.size();
            generation->tokens.push_back(" w" + std::to_string(generation->seed % 1000) + "."
                                         + std::to_string(index));
        }
        this->step.cancel();
        this->step.expires_at(net::steady_timer::time_point::max());
    }
}

net::awaitable<void> EngineServer::start(const HttpRequest &request, HttpResponder &responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        co_await responder.send(jsonResponse(400, "{\"not_run\":true}"));
        co_return;
    }
    if (this->isLeaving || body.value("model", "") != this->model) {
        co_await responder.send(jsonResponse(409, "{\"not_run\":true}"));
        co_return;
    }
    auto generation = std::make_shared<Generation>();
    generation->name = this->runName + "-" + std::to_string(++this->generationCount);
    generation->seed = body.value("seed", std::uint64_t{0});
    generation->length = body.value("max_tokens", std::uint64_t{0});
    if (generation->length == 0)
        generation->length = defaultLength;
    this->generations.emplace(generation->name, generation);
    co_await this->stream(generation, 0, responder);
}

net::awaitable<void> EngineServer::act(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view rest = request.path().substr(generationPrefix.size());
    const std::size_t slash = rest.find('/');
    const auto known = this->generations.find(percentDecode(rest.substr(0, slash)));
    if (slash == std::string_view::npos || known == this->generations.end()) {
        co_await responder.send(jsonResponse(404, "{}"));
        co_return;
    }
    const auto generation = known->second;
    const std::string_view action = rest.substr(slash + 1);
    if (action == "resume") {
        const json body = json::parse(request.body, nullptr, false);
        generation->isSuspended = false;
        const std::uint64_t from = body.is_object() ? body.value("from", std::uint64_t{0}) : 0;
        co_await this->stream(generation, from, responder);
    } else if (action == "suspend") {
        generation->isSuspended = true;
        co_await responder.send(jsonResponse(200, "{}"));
    } else if (action == "cancel") {
        co_await responder.send(this->cancel(*generation, request));
    } else {
        co_await responder.send(jsonResponse(404, "{}"));
    }
}

net::awaitable<void> EngineServer::stream(std::shared_ptr<Generation> generation,
                                          std::uint64_t from, HttpResponder &responder)
{
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    if (!co_await responder.startStream(200, std::move(headers)))
        co_return;
    const std::uint64_t epoch = ++generation->readerEpoch;
    ++generation->readers;
    std::uint64_t index = from;
    bool isOpen = true;
    ServerEvent event;
    while (isOpen && !generation->isCancelled && generation->readerEpoch == epoch) {
        generation->lastReadMilliseconds = nowMilliseconds();
        json data;
        data["generation"] = generation->name;
        data["index"] = index;
        if (index < generation->tokens.size()) {
            data["token"] = generation->tokens[index];
            event.data = data.dump();
            isOpen = co_await responder.write(formatServerEvent(event));
            ++index;
            continue;
        }
        if (index >= generation->length) {
            data["finish"] = "length";
            event.data = data.dump();
            co_await responder.write(formatServerEvent(event));
            co_await responder.finish();
            break;
        }
        boost::system::error_code ignored;
        co_await this->step.async_wait(net::redirect_error(net::use_awaitable, ignored));
        isOpen = !responder.isCallerGone();
    }
    --generation->readers;
    generation->lastReadMilliseconds = nowMilliseconds();
}

HttpResponse EngineServer::cancel(Generation &generation, const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t grace = body.is_object() ? body.value("unless_read_within_ms", 0) : 0;
    const bool isRead = generation.readers > 0
            || (grace > 0 && nowMilliseconds() - generation.lastReadMilliseconds < grace);
    if (grace > 0 && isRead)
        return jsonResponse(200, "{\"cancelled\":false}");
    generation.isCancelled = true;
    return jsonResponse(200, "{\"cancelled\":true}");
}

HttpResponse EngineServer::order(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonResponse(400, "{}");
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (this->checksFence && fence < this->highestFence)
        return jsonResponse(409, "{\"not_run\":true}");
    this->highestFence = std::max(this->highestFence, fence);
    const std::string kind = body.value("order", "");
    if (kind == "drain" || kind == "undrain")
        this->isLeaving = kind == "drain";
    else if (kind == "load")
        this->version = body.value("version", "");
    else
        return jsonResponse(400, "{}");
    return jsonResponse(200, "{}");
}

HttpResponse EngineServer::load() const
{
    std::size_t running = 0;
    std::size_t memory = 0;
    for (const auto &[key, generation] : this->generations) {
        const bool isRunning = !generation->isCancelled && !generation->isSuspended
                && generation->tokens.size() < generation->length;
        running += isRunning ? 1 : 0;
        memory += isRunning ? generation->tokens.size() : 0;
    }
    json body;
    body["running"] = running;
    body["waiting"] = 0;
    body["memory_used"] = memory;
    body["memory_total"] = 65536;
    body["age_ms"] = 0;
    body["leaving"] = this->isLeaving;
    body["token_interval_ms"] = this->intervalMilliseconds;
    body["preemptions"] = 0;
    json loaded;
    loaded["model"] = this->model;
    loaded["version"] = this->version;
    body["models"] = json::array({loaded});
    return jsonResponse(200, body.dump());
}

} // namespace sassafrasyard
