#pragma once

#include "standins/common/standinserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A stand-in for a model engine that speaks the engine protocol. */
class EngineServer
{
public:
    /** Starts decoding. Flags: name, model, version, interval-ms, retain-ms, check-fence. */
    EngineServer(boost::asio::io_context &context, const StandinFlags &flags);
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    /** Answers one request. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    struct Generation
    {
        std::string name;
        std::uint64_t seed = 0;
        std::uint64_t length = 0;
        std::vector<std::string> tokens;
        bool isSuspended = false;
        bool isCancelled = false;
        int readers = 0;
        std::uint64_t readerEpoch = 0;
        std::int64_t lastReadMilliseconds = 0;
    };

    boost::asio::awaitable<void> decode();
    boost::asio::awaitable<void> start(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> act(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> stream(std::shared_ptr<Generation> generation, std::uint64_t from,
                                        HttpResponder &responder);
    HttpResponse cancel(Generation &generation, const HttpRequest &request);
    HttpResponse order(const HttpRequest &request);
    HttpResponse load() const;

    boost::asio::io_context &context;
    std::string name;
    std::string model;
    std::string version;
    double intervalMilliseconds;
    bool checksFence;
    std::uint64_t highestFence = 0;
    bool isLeaving = false;
    std::string runName;
    std::uint64_t generationCount = 0;
    std::map<std::string, std::shared_ptr<Generation>> generations;
    boost::asio::steady_timer step;
};

} // namespace sassafrasyard
