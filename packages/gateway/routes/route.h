#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Whether the calls of a route may be repeated. */
enum class CallKind {
    /** May run more than once. */
    Idempotent,
    /** May run at most once. */
    NonIdempotent,
    /** Responds with a stream of events; may run at most once unless the route is resumable. */
    Stream,
};

/** A service that receives a share of the calls of a route. */
struct ServiceShare
{
    /** The name of the service. */
    std::string service;
    /** Its weight relative to the other shares of the route; 0 for no calls. */
    double weight = 1.0;
};

/** The target and the properties of calls to one path prefix of a host name. */
struct Route
{
    /** The route's name. */
    std::string name;
    /** The host name that callers use. */
    std::string host;
    /** The path prefix; it starts and ends with a slash. */
    std::string pathPrefix;
    /** Whether calls may be repeated. */
    CallKind kind = CallKind::NonIdempotent;
    /** Whether a new run may continue a stream on another server after its last event. */
    bool isResumable = false;
    /** The services and their shares; at least one. */
    std::vector<ServiceShare> services;
    /** The longest duration of a call, in milliseconds. */
    Milliseconds timeout{30000};
    /** The target latency of a response, or of the first event of a stream, in milliseconds. */
    Milliseconds targetLatency{1000};
    /** The target for the longest pause between events of a stream, in milliseconds. */
    Milliseconds targetPause{1000};
    /** Whether calls share parts of their prompts, which engines cache. */
    bool sharesPrompts = false;
    /** The largest number of servers that may run one call. */
    std::uint32_t maximumAttempts = 1;
    /** The priority rank of the route; 0 is the most urgent. */
    int rank = 0;
    /** Whether calls need no key. */
    bool isPublic = false;
};

/** The common properties of the engines of a service. */
struct EngineProperties
{
    /** How many requests one engine runs at a time. */
    std::uint32_t slots = 1;
    /** The memory of one engine in tokens. */
    std::uint32_t memoryTokens = 0;
    /** The number of tokens per stream event. */
    std::uint32_t tokensPerEvent = 1;
    /** Whether the engines can copy the memory of a run to another engine as it grows. */
    bool supportsBackup = false;
    /** Whether a run can be moved to another engine. */
    bool supportsMoves = false;
    /** How long an engine keeps a moved copy that is not used, in milliseconds. */
    Milliseconds copyLifetime{5000};
};

/** A service that calls are routed to. */
struct Service
{
    /** Its name. */
    std::string name;
    /**
     * The number of connections that one server accepts from all entry hosts together; 0 if
     * unknown.
     */
    std::uint32_t maximumConnections = 0;
    /**
     * How many calls a second a cold server bears from all entry hosts together; 0 for no limit.
     */
    double coldCallsPerSecond = 0.0;
    /** The properties of its engines; empty for a plain service. */
    std::optional<EngineProperties> engine;
};

/** Limits on the requests of callers. */
struct CallerLimits
{
    /** The largest header, in bytes. */
    std::size_t headerBytes = 16U << 10U;
    /** The largest body, in bytes. */
    std::size_t bodyBytes = 4U << 20U;
    /** The longest time from the first to the last byte of a request, in milliseconds. */
    Milliseconds readTimeout{60000};
    /** How long a connection may stay idle between requests, in milliseconds. */
    Milliseconds idleTimeout{60000};
};

/** The data of a client account that routed calls need. */
struct RoutedAccount
{
    /** Its name. */
    ClientAccountName name;
    /** The digests of its keys; see sha256Hex(). */
    std::vector<std::string> keyDigests;
    /** Its priority rank, which overrides the rank of the route. */
    std::optional<int> rank;
};

} // namespace sassafrasyard
