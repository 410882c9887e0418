#pragma once

#include "core/core.h"
#include "network/network.h"
#include "policy/policy.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An order to an engine, sent with POST /v1/orders. */
struct EngineOrder
{
    /** "load", "unload", "drain" or "undrain". */
    std::string order;
    /** The fencing token; engines that check it refuse a token lower than the highest received. */
    std::uint64_t fence = 0;
    /** The model that the order refers to. */
    ModelName model;
    /** The model's version. */
    std::string version;
};

/** A model version that an engine has loaded. */
struct LoadedModel
{
    /** The model. */
    ModelName model;
    /** The version. */
    std::string version;
    /** The number of streams that run on the version; nothing if the engine does not report it. */
    std::optional<std::uint32_t> running;
};

/** An engine's load and its loaded models. */
struct EngineStatus
{
    /** The load. */
    LoadReport load;
    /** The loaded model versions. */
    std::vector<LoadedModel> models;
};

/**
 * Cancels a generation unless it is being read.
 *
 * @param unlessReadWithin the engine keeps the generation if it is being read or was read within
 *     this time, in milliseconds; 0 cancels at once. The caller may have resumed the generation
 *     through another entry host, which this host cannot detect.
 * @return whether the engine accepted the request or does not know the generation.
 */
boost::asio::awaitable<bool> cancelGeneration(const Endpoint &engine,
                                              const GenerationName &generation,
                                              Milliseconds unlessReadWithin, HttpTimeouts timeouts,
                                              Error &reason);

/** Removes a generation from the engine's batch until it is resumed. @return whether it was. */
boost::asio::awaitable<bool> suspendGeneration(const Endpoint &engine,
                                               const GenerationName &generation,
                                               HttpTimeouts timeouts, Error &reason);

/** Reads an engine's status. @param server the backend server name for the load report. */
boost::asio::awaitable<std::optional<EngineStatus>> readEngineStatus(
        const Endpoint &engine, const BackendServerName &server, HttpTimeouts timeouts,
        Error &reason);

/** Reads the cache events after a sequence number, in the order of the reply. */
boost::asio::awaitable<std::optional<std::vector<CacheEvent>>> readCacheEvents(
        const Endpoint &engine, const BackendServerName &server, std::uint64_t after,
        HttpTimeouts timeouts, Error &reason);

/** Sends an order. @param reason receives StaleFence with NotRun if the engine refused it. */
boost::asio::awaitable<bool> sendEngineOrder(const Endpoint &engine, const EngineOrder &order,
                                             HttpTimeouts timeouts, Error &reason);

} // namespace sassafrasyard
