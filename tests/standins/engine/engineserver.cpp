#include "engineserver.h"

#include "configuration/configuration.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::string_view generationPrefix = "/v1/generations/";
/** The entry hosts digest this many leading prompt characters, in 16 hexadecimal digits. */
constexpr std::size_t prefixCharacters = 256;
constexpr std::size_t prefixDigits = 16;
/** A longer pause of the process is not made up for: the engine's clock advances only this far. */
constexpr ModelTime maximumClockAdvance{200000};
/** How often a stream without new tokens checks that its caller is still connected. */
constexpr std::chrono::milliseconds callerCheckInterval{500};
constexpr std::chrono::milliseconds housekeepingInterval{250};

EngineModelOptions modelOptions(const StandinFlags &flags)
{
    const auto microseconds = [&flags](const char *name, double otherwise) {
        return ModelTime(static_cast<std::int64_t>(flags.number(name, otherwise) * 1000.0));
    };
    const auto tokens = [&flags](const char *name, std::uint32_t otherwise) {
        return static_cast<std::uint32_t>(flags.number(name, otherwise));
    };
    EngineModelOptions options;
    options.slots = tokens("slots", options.slots);
    options.memoryTokens = tokens("memory-tokens", options.memoryTokens);
    options.cacheTokens = tokens("cache-tokens", options.cacheTokens);
    options.fixedStep = microseconds("interval-ms", 0.0);
    options.unloadedStep = microseconds("unloaded-step-ms", 20.0);
    options.fullStep = microseconds("full-step-ms", 30.0);
    options.reportLag = microseconds("report-lag-ms", 1000.0);
    options.cacheEventLossShare = flags.number("event-loss", options.cacheEventLossShare);
    options.outputLength =
            flags.text("length", "max") == "tail" ? OutputLength::Tail : OutputLength::Maximum;
    options.seed = static_cast<std::uint64_t>(flags.number("seed", 0.0));
    return options;
}

std::uint64_t prefixDigest(const std::string &prompt)
{
    const std::string hex = sha256Hex(std::string_view(prompt).substr(0, prefixCharacters));
    std::uint64_t value = 0;
    std::from_chars(hex.data(), hex.data() + prefixDigits, value, 16);
    return value;
}

HttpResponse notRunResponse()
{
    return jsonResponse(409, "{\"not_run\":true}");
}

} // namespace

EngineServer::EngineServer(net::io_context &context, const StandinFlags &flags)
    : context(context)
    , name(flags.text("name", "engine"))
    , loadedVersions({{flags.text("model", "plan"), flags.text("version", "v1")}})
    , retainMilliseconds(static_cast<std::int64_t>(flags.number("retain-ms", 60000)))
    , loadDuration(static_cast<std::int64_t>(flags.number("load-ms", 500)))
    , checksFence(flags.text("check-fence", "false") == "true")
    , hasTimestamps(flags.text("stamp", "false") == "true")
    , releaseGroups(
              std::max<std::uint64_t>(1, static_cast<std::uint64_t>(flags.number("phases", 1))))
    , releaseInterval(modelOptions(flags).fixedStep
                      / static_cast<std::int64_t>(this->releaseGroups))
    , runIdentifier(RandomSource::fromSystem().nextHex())
    , model(modelOptions(flags))
    , lastClockReading(SteadyClock::now())
    , decodeTimer(context)
{
    for (std::size_t group = 0; group < this->releaseGroups; ++group) {
        this->readerTimers.emplace_back(context);
        this->wakeReaders(group);
    }
    net::co_spawn(
            context, [this] { return this->decode(); }, net::detached);
}

net::awaitable<void> EngineServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    if (path == "/v1/completions") {
        co_await this->handleCompletion(request, responder);
    } else if (path.starts_with(generationPrefix)) {
        co_await this->handleGenerationAction(request, responder);
    } else if (path == "/v1/load") {
        co_await responder.send(this->load());
    } else if (path == "/v1/orders") {
        co_await responder.send(this->order(request));
    } else if (path == "/v1/cache-events") {
        co_await responder.send(this->cacheEvents(request));
    } else if (path == "/control") {
        co_await responder.send(this->control(request));
    } else {
        co_await responder.send(jsonResponse(404, "{}"));
    }
}

net::awaitable<void> EngineServer::decode()
{
    auto nextHousekeeping = SteadyClock::now() + housekeepingInterval;
    while (true) {
        const ModelTime now = this->advanceClock();
        this->model.advance(now);
        this->recordTokens();
        if (SteadyClock::now() >= nextHousekeeping) {
            nextHousekeeping = SteadyClock::now() + housekeepingInterval;
            this->removeUnreadGenerations();
            for (std::size_t group = 0; group < this->releaseGroups; ++group)
                this->wakeReaders(group);
        }
        const auto stepEnd = this->model.stepEnd();
        // The wait is at most half of maximumClockAdvance, so that no time is lost in normal
        // operation.
        const ModelTime untilEnd = stepEnd ? *stepEnd - now : ModelTime(housekeepingInterval);
        this->decodeTimer.expires_after(
                std::clamp(untilEnd, ModelTime(0), ModelTime(maximumClockAdvance) / 2));
        boost::system::error_code ignored;
        co_await this->decodeTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
}

void EngineServer::recordTokens()
{
    if (this->model.hasCrashed())
        std::abort();
    std::vector<std::vector<std::uint64_t>> groups(this->releaseGroups);
    for (const ProducedToken &token : this->model.takeTokens())
        groups[token.generation % this->releaseGroups].push_back(token.generation);
    if (!groups.front().empty()) {
        this->addTokens(groups.front());
        this->wakeReaders(0);
    }
    for (std::size_t group = 1; group < groups.size(); ++group) {
        if (groups[group].empty())
            continue;
        net::co_spawn(
                this->context,
                [this, group, generationNumbers = std::move(groups[group])] {
                    return this->releaseTokens(generationNumbers, group);
                },
                net::detached);
    }
}

net::awaitable<void> EngineServer::releaseTokens(std::vector<std::uint64_t> generationNumbers,
                                                 std::size_t group)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(this->releaseInterval * group);
    co_await timer.async_wait(net::use_awaitable);
    this->addTokens(generationNumbers);
    this->wakeReaders(group);
}

void EngineServer::addTokens(const std::vector<std::uint64_t> &generationNumbers)
{
    for (const std::uint64_t number : generationNumbers) {
        const auto known = this->byNumber.find(number);
        if (known != this->byNumber.end())
            known->second->addToken();
    }
}

ModelTime EngineServer::advanceClock()
{
    const auto reading = SteadyClock::now();
    const auto passed = std::chrono::duration_cast<ModelTime>(reading - this->lastClockReading);
    this->lastClockReading += passed;
    this->modelNow += std::min(passed, maximumClockAdvance);
    return this->modelNow;
}

void EngineServer::wakeReaders(std::size_t group)
{
    this->readerTimers[group].cancel();
    this->readerTimers[group].expires_at(net::steady_timer::time_point::max());
}

void EngineServer::wakeDecoder()
{
    this->decodeTimer.cancel();
}

void EngineServer::removeUnreadGenerations()
{
    for (auto item = this->generations.begin(); item != this->generations.end();) {
        const std::shared_ptr<Generation> generation = item->second;
        if (generation->unreadMilliseconds() < this->retainMilliseconds) {
            ++item;
            continue;
        }
        this->model.cancel(generation->number(), this->modelNow);
        this->model.forget(generation->number());
        this->byNumber.erase(generation->number());
        item = this->generations.erase(item);
    }
}

bool EngineServer::isRefused(const std::string &model, const std::string &version) const
{
    return this->isLeaving
            || std::none_of(this->loadedVersions.begin(), this->loadedVersions.end(),
                            [&](const auto &candidate) {
                                return candidate.first == model
                                        && (version.empty() || candidate.second == version);
                            });
}

net::awaitable<void> EngineServer::handleCompletion(const HttpRequest &request,
                                                    HttpResponder &responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        co_await responder.send(jsonResponse(400, "{\"not_run\":true}"));
        co_return;
    }
    EngineRequest engineRequest;
    engineRequest.prompt = body.value("prompt", "");
    engineRequest.prefixDigest = prefixDigest(engineRequest.prompt);
    engineRequest.maximumTokens = body.value("max_tokens", 0U);
    engineRequest.seed = body.value("seed", std::uint64_t{0});
    engineRequest.priority = body.value("priority", 0);
    std::optional<std::uint64_t> number;
    if (!this->isRefused(body.value("model", ""), body.value("version", "")))
        number = this->model.submit(engineRequest, this->advanceClock());
    if (!number) {
        co_await responder.send(notRunResponse());
        co_return;
    }
    const std::string generationName = this->runIdentifier + "-" + std::to_string(*number);
    auto generation = std::make_shared<Generation>(generationName, *number, engineRequest.seed,
                                                   this->hasTimestamps);
    this->generations.emplace(generationName, generation);
    this->byNumber.emplace(*number, generation);
    this->wakeDecoder();
    co_await this->stream(generation, 0, responder);
}

net::awaitable<void> EngineServer::handleGenerationAction(const HttpRequest &request,
                                                          HttpResponder &responder)
{
    const std::string_view pathSuffix = request.path().substr(generationPrefix.size());
    const std::size_t slash = pathSuffix.find('/');
    const auto known = this->generations.find(percentDecode(pathSuffix.substr(0, slash)));
    if (slash == std::string_view::npos || known == this->generations.end()) {
        co_await responder.send(jsonResponse(404, "{}"));
        co_return;
    }
    const auto generation = known->second;
    const std::string_view action = pathSuffix.substr(slash + 1);
    const bool isCancelled = this->model.phase(generation->number()) == GenerationPhase::Cancelled;
    if (action == "resume" && !isCancelled) {
        const json body = json::parse(request.body, nullptr, false);
        this->model.resume(generation->number(), this->advanceClock());
        this->wakeDecoder();
        const std::uint64_t firstIndex =
                body.is_object() ? body.value("from", std::uint64_t{0}) : 0;
        co_await this->stream(generation, firstIndex, responder);
    } else if (action == "suspend") {
        this->model.suspend(generation->number(), this->advanceClock());
        this->wakeDecoder();
        co_await responder.send(jsonResponse(200, "{}"));
    } else if (action == "cancel") {
        co_await responder.send(this->cancel(*generation, request));
    } else {
        co_await responder.send(jsonResponse(404, "{}"));
    }
}

net::awaitable<void> EngineServer::stream(std::shared_ptr<Generation> generation,
                                          std::uint64_t firstIndex, HttpResponder &responder)
{
    const std::uint64_t epoch = generation->addReader();
    this->wakeReaders(generation->number() % this->releaseGroups);
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Generation", generation->protocolName());
    bool isOpen = co_await responder.startStream(200, std::move(headers));
    std::uint64_t index = firstIndex;
    std::string text;
    auto nextCallerCheck = SteadyClock::now() + callerCheckInterval;
    while (isOpen && generation->isCurrentReader(epoch)) {
        const bool isStalled = SteadyClock::now() < this->stalledUntil;
        if (!isStalled && index < generation->tokenCount()) {
            text.clear();
            while (index < generation->tokenCount())
                generation->appendEvent(index++, text);
            isOpen = co_await responder.write(text);
            continue;
        }
        const auto phase = this->model.phase(generation->number());
        if (!isStalled && phase == GenerationPhase::Finished
            && index >= this->model.outputTokens(generation->number())) {
            co_await responder.write(generation->finishEvent(index, "length"));
            co_await responder.finish();
            break;
        }
        if (phase == GenerationPhase::Cancelled || !phase) {
            co_await responder.finish();
            break;
        }
        boost::system::error_code ignored;
        net::steady_timer &timer = this->readerTimers[generation->number() % this->releaseGroups];
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
        if (SteadyClock::now() >= nextCallerCheck) {
            nextCallerCheck = SteadyClock::now() + callerCheckInterval;
            isOpen = !responder.isCallerGone();
        }
    }
    generation->removeReader();
}

HttpResponse EngineServer::cancel(Generation &generation, const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t gracePeriod = body.is_object() ? body.value("unless_read_within_ms", 0) : 0;
    if (gracePeriod > 0 && generation.unreadMilliseconds() < gracePeriod)
        return jsonResponse(200, "{\"cancelled\":false}");
    this->model.cancel(generation.number(), this->advanceClock());
    this->wakeReaders(generation.number() % this->releaseGroups);
    this->wakeDecoder();
    return jsonResponse(200, "{\"cancelled\":true}");
}

HttpResponse EngineServer::order(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonResponse(400, "{}");
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (this->checksFence && fence < this->highestFence)
        return notRunResponse();
    this->highestFence = std::max(this->highestFence, fence);
    const std::string kind = body.value("order", "");
    LoadedVersion target{body.value("model", ""), body.value("version", "")};
    if (target.first.empty())
        target.first = this->loadedVersions.empty() ? "" : this->loadedVersions.front().first;
    if (kind == "drain" || kind == "undrain") {
        this->isLeaving = kind == "drain";
    } else if (kind == "load") {
        net::co_spawn(
                this->context, [this, target] { return this->loadVersion(target); }, net::detached);
    } else if (kind == "unload") {
        std::erase(this->loadedVersions, target);
    } else {
        return jsonResponse(400, "{}");
    }
    return jsonResponse(200, "{}");
}

net::awaitable<void> EngineServer::loadVersion(LoadedVersion target)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(this->loadDuration);
    co_await timer.async_wait(net::use_awaitable);
    if (std::find(this->loadedVersions.begin(), this->loadedVersions.end(), target)
        == this->loadedVersions.end())
        this->loadedVersions.push_back(target);
}

HttpResponse EngineServer::control(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || body.value("slowdown", 1.0) <= 0.0)
        return jsonResponse(400, "{}");
    if (body.contains("slowdown"))
        this->model.setSlowdown(body.value("slowdown", 1.0));
    const std::chrono::milliseconds stall(body.value("stall_ms", std::int64_t{0}));
    this->stalledUntil = std::max(this->stalledUntil, SteadyClock::now() + stall);
    return jsonResponse(200, "{}");
}

HttpResponse EngineServer::cacheEvents(const HttpRequest &request)
{
    const std::string after = request.query("after").value_or("0");
    std::uint64_t number = 0;
    std::from_chars(after.data(), after.data() + after.size(), number);
    json events = json::array();
    for (const PrefixCacheEvent &event : this->model.cacheEvents(number, this->advanceClock())) {
        json item;
        item["sequence"] = event.sequence;
        item["prefix"] = event.prefixDigest;
        item["stored"] = event.isStored;
        events.push_back(std::move(item));
    }
    json body;
    body["events"] = std::move(events);
    return jsonResponse(200, body.dump());
}

HttpResponse EngineServer::load()
{
    const ModelTime now = this->advanceClock();
    this->model.advance(now);
    this->wakeDecoder();
    const EngineLoad reported = this->model.reportedLoad(now);
    constexpr double microsecondsPerMillisecond = 1000.0;
    json body;
    body["running"] = reported.running;
    body["waiting"] = reported.waiting;
    body["memory_used"] = reported.memoryUsedTokens;
    body["memory_total"] = this->model.memoryTokens();
    body["age_ms"] = std::chrono::duration_cast<Milliseconds>(now - reported.at).count();
    body["leaving"] = this->isLeaving;
    body["token_interval_ms"] =
            static_cast<double>(reported.tokenInterval.count()) / microsecondsPerMillisecond;
    body["preemptions"] = reported.preemptions;
    body["stall_ms"] = std::chrono::duration_cast<Milliseconds>(reported.stallTime).count();
    json models = json::array();
    for (const auto &[model, version] : this->loadedVersions) {
        json item;
        item["model"] = model;
        item["version"] = version;
        models.push_back(std::move(item));
    }
    body["models"] = std::move(models);
    return jsonResponse(200, body.dump());
}

} // namespace sassafrasyard
