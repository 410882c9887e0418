#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** What an engine last said about its load. */
struct LoadReport
{
    /** The engine that reports. */
    BackendServerName server;
    /** How old the figures were when the report was received. */
    Milliseconds age{0};
    /** Requests in decode. */
    std::uint32_t running = 0;
    /** Requests waiting in the engine. */
    std::uint32_t waiting = 0;
    /** Memory in use, in tokens. */
    std::uint32_t memoryUsedTokens = 0;
    /** Memory in all, in tokens. */
    std::uint32_t memoryTotalTokens = 0;
    /** Time between the tokens of one stream, in milliseconds, as the engine measures it. */
    double tokenIntervalMilliseconds = 0.0;
    /** Preemptions since the engine's start. */
    std::uint64_t preemptions = 0;
    /** Whether the engine says that it is leaving. */
    bool isLeaving = false;
};

/** A prompt prefix that an engine took into its cache or dropped from it. */
struct CacheEvent
{
    /** The engine. */
    BackendServerName server;
    /** The event's number; a gap means lost events. */
    std::uint64_t sequence = 0;
    /** The digest of the prefix. */
    std::uint64_t prefixDigest = 0;
    /** Whether the prefix was stored (true) or evicted (false). */
    bool isStored = true;
};

/** One host's own outstanding work on one backend server. */
struct PeerLoadEntry
{
    /** The backend server. */
    BackendServerName server;
    /** Requests that the host has running there. */
    std::uint32_t running = 0;
    /** Tokens of engine memory that the host has reserved there. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of prompts that the host sent there and that have produced nothing yet. */
    std::uint32_t pendingPromptTokens = 0;

    /** Compares all fields. */
    bool operator==(const PeerLoadEntry &) const = default;
};

/** One host's own use of a client account's limits. */
struct PeerAccountUse
{
    /** The client account. */
    ClientAccountName account;
    /** Requests that wait or run. */
    std::uint32_t running = 0;
    /** Requests started per second, averaged over some seconds. */
    double startsPerSecond = 0.0;
};

/** What one entry host tells its peers about its own dispatches. */
struct PeerLoadDigest
{
    /** The host that sent it. */
    HostName host;
    /** Rises with every digest of this host. */
    std::uint64_t sequence = 0;
    /** The backend servers on which the host has work; a bounded number. */
    std::vector<PeerLoadEntry> entries;
    /** Whether accounts was filled in; if not, nothing is known about the host's accounts. */
    bool hasAccounts = false;
    /** Accounts that use their limits, a bounded number; see AccountLimiter::reportedAccounts. */
    std::vector<PeerAccountUse> accounts = {};
};

/** Drops the smallest entries beyond a number and sorts the rest by name. */
void keepLargest(PeerLoadDigest &digest, std::size_t limit);

/**
 * One death of a backend server on which a request was running, or a run of the request that did
 * not crash its server.
 */
struct QuarantineRecord
{
    /** WorkRequest::requestDigest of the request. */
    std::uint64_t requestDigest = 0;
    /** How many backend server deaths the sender counts for the request. */
    std::uint32_t deaths = 0;
    /** How long the record still counts. */
    Milliseconds remaining{0};
    /** Names the death; the same on all hosts that heard of it from the same host. 0 for a run. */
    std::uint64_t incident = 0;
    /** A digest of the name of the backend server that died; 0 for a run. */
    std::uint64_t serverDigest = 0;
    /** Names the run that did not crash its server; 0 for a death. */
    std::uint64_t crashFreeRun = 0;
};

} // namespace sassafrasyard
