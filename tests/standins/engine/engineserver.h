#pragma once

#include "enginemodel/enginemodel.h"
#include "generation.h"
#include "standins/common/standinserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasyard {

/**
 * A stand-in for a model engine under load that implements the engine protocol.
 *
 * Flags: name, model, version, retain-ms (how long an unread generation is kept), check-fence,
 * load-ms (time of a "load" order), and the engine's size and speed: slots, memory-tokens,
 * cache-tokens, interval-ms (fixed time of a step; without it the step grows with prefill and with
 * the batch, from unloaded-step-ms to full-step-ms), report-lag-ms, event-loss, length=max|tail,
 * seed. stamp=true adds timestamps to the token texts, see Generation. phases=n releases the tokens
 * of a step in n groups that are spread evenly over the step, as if the streams came from n
 * engines; it requires interval-ms.
 */
class EngineServer
{
public:
    /** Starts decoding in the given context, which must run in one thread. */
    EngineServer(boost::asio::io_context &context, const StandinFlags &flags);
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    /** Handles one request. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    using LoadedVersion = std::pair<std::string, std::string>;

    boost::asio::awaitable<void> decode();
    boost::asio::awaitable<void> loadVersion(LoadedVersion target);
    boost::asio::awaitable<void> handleCompletion(const HttpRequest &request,
                                                  HttpResponder &responder);
    boost::asio::awaitable<void> handleGenerationAction(const HttpRequest &request,
                                                        HttpResponder &responder);
    boost::asio::awaitable<void> stream(std::shared_ptr<Generation> generation,
                                        std::uint64_t firstIndex, HttpResponder &responder);
    void recordTokens();
    boost::asio::awaitable<void> releaseTokens(std::vector<std::uint64_t> generationNumbers,
                                               std::size_t group);
    void addTokens(const std::vector<std::uint64_t> &generationNumbers);
    void wakeDecoder();
    void wakeReaders(std::size_t group);
    void removeUnreadGenerations();
    bool isRefused(const std::string &model, const std::string &version) const;
    ModelTime advanceClock();
    HttpResponse cancel(Generation &generation, const HttpRequest &request);
    HttpResponse order(const HttpRequest &request);
    HttpResponse control(const HttpRequest &request);
    HttpResponse cacheEvents(const HttpRequest &request);
    HttpResponse load();

    boost::asio::io_context &context;
    std::string name;
    std::vector<LoadedVersion> loadedVersions;
    std::int64_t retainMilliseconds;
    Milliseconds loadDuration;
    bool checksFence;
    bool hasTimestamps;
    std::uint64_t releaseGroups;
    ModelTime releaseInterval;
    std::uint64_t highestFence = 0;
    bool isLeaving = false;
    std::string runIdentifier;
    EngineModel model;
    ModelTime modelNow{0};
    boost::asio::steady_timer::time_point lastClockReading;
    boost::asio::steady_timer::time_point stalledUntil{};
    boost::asio::steady_timer decodeTimer;
    /** One timer per release group; its readers share it, which costs less than one each. */
    std::vector<boost::asio::steady_timer> readerTimers;
    std::map<std::string, std::shared_ptr<Generation>> generations;
    std::unordered_map<std::uint64_t, std::shared_ptr<Generation>> byNumber;
};

} // namespace sassafrasyard
