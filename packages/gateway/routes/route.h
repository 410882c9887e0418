#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** What may be repeated of the calls on a route. */
enum class CallKind {
    /** May run more than once. */
    Idempotent,
    /** May run at most once. */
    NonIdempotent,
    /** Answers with a series of events; may run at most once unless the route is resumable. */
    Stream,
};

/** A service that gets a part of a route's calls. */
struct ServiceShare
{
    /** The service. */
    std::string service;
    /** Its part relative to the other shares of the route. */
    double weight = 1.0;
};

/** Where the calls below one path of one host name go, and how they are treated. */
struct Route
{
    /** The route's name. */
    std::string name;
    /** The host name that callers use. */
    std::string host;
    /** The beginning of the path; it begins and ends with a slash. */
    std::string pathPrefix;
    /** What may be repeated. */
    CallKind kind = CallKind::NonIdempotent;
    /** Whether a stream may go on at another server after its last event. */
    bool isResumable = false;
    /** The services; at least one. */
    std::vector<ServiceShare> services;
    /** How long a caller is kept waiting at most, in milliseconds. */
    Milliseconds timeout{30000};
    /** The time within which a response, or a stream's first event, is on time. */
    Milliseconds targetLatency{1000};
    /** The longest pause between events with which a stream is on time. */
    Milliseconds targetPause{1000};
    /** To how many servers one call may be sent. */
    std::uint32_t maximumAttempts = 1;
    /** The rank among routes; 0 is the most urgent. */
    int rank = 0;
    /** Whether callers need no key. */
    bool isPublic = false;
};

/** What is common to the servers of a service that run a model. */
struct EngineProperties
{
    /** How many requests one server runs at a time. */
    std::uint32_t slots = 1;
    /** A server's memory in tokens. */
    std::uint32_t memoryTokens = 0;
    /** How many tokens one event of a stream stands for. */
    std::uint32_t tokensPerEvent = 1;
    /** Whether a run's memory can be copied to another server as it grows. */
    bool supportsBackup = false;
    /** Whether a run can be moved to another server. */
    bool supportsMoves = false;
    /** How long a server keeps a moved copy that is not asked for, in milliseconds. */
    Milliseconds copyLifetime{5000};
};

/** A service that calls are routed to. */
struct Service
{
    /** Its name. */
    std::string name;
    /** How many connections one server accepts from all entry hosts together; 0 if unknown. */
    std::uint32_t maximumConnections = 0;
    /** Set if its servers are engines. */
    std::optional<EngineProperties> engine;
};

/** What a caller may send and how long it may take. */
struct CallerLimits
{
    /** The largest header, in bytes. */
    std::size_t headerBytes = 16U << 10U;
    /** The largest body, in bytes. */
    std::size_t bodyBytes = 4U << 20U;
    /** How long a request may take to arrive from its first byte on, in milliseconds. */
    Milliseconds readTimeout{60000};
    /** How long a connection may stay idle between requests, in milliseconds. */
    Milliseconds idleTimeout{60000};
};

/** A client account as routed calls see it. */
struct RoutedAccount
{
    /** Its name. */
    ClientAccountName name;
    /** The digests of its keys; see sha256Hex(). */
    std::vector<std::string> keyDigests;
    /** Its rank; goes before the rank of the route. */
    std::optional<int> rank;
};

} // namespace sassafrasyard
