#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** A load report of an engine. */
struct LoadReport
{
    /** The engine that sent the report. */
    BackendServerName server;
    /** The age of the figures when the report was received, in milliseconds. */
    Milliseconds age{0};
    /** Requests in decode. */
    std::uint32_t running = 0;
    /** Requests waiting in the engine. */
    std::uint32_t waiting = 0;
    /** Memory in use, in tokens. */
    std::uint32_t memoryUsedTokens = 0;
    /** Total memory, in tokens; 0 if unknown. */
    std::uint32_t memoryTotalTokens = 0;
    /** Time between the tokens of one stream, in milliseconds, as the engine measures it. */
    double tokenIntervalMilliseconds = 0.0;
    /** Number of preemptions since the engine started. */
    std::uint64_t preemptions = 0;
    /** Whether the engine announces that it is leaving. */
    bool isLeaving = false;
};

/** A prompt prefix that an engine stored in its cache or evicted from it. */
struct CacheEvent
{
    /** The engine. */
    BackendServerName server;
    /** The event's sequence number; a gap means that events were lost. */
    std::uint64_t sequence = 0;
    /** The digest of the prefix. */
    std::uint64_t prefixDigest = 0;
    /** Whether the prefix was stored (true) or evicted (false). */
    bool isStored = true;
};

/** One host's own outstanding requests on one backend server. */
struct PeerLoadEntry
{
    /** The backend server. */
    BackendServerName server;
    /** Number of the host's requests running there. */
    std::uint32_t running = 0;
    /** Engine memory that the host has reserved there, in tokens. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of the host's prompts there that have produced no output yet. */
    std::uint32_t pendingPromptTokens = 0;

    /** Compares all fields. */
    bool operator==(const PeerLoadEntry &) const = default;
};

/** One host's own use of a client account's limits. */
struct PeerAccountUse
{
    /** The client account. */
    ClientAccountName account;
    /** Number of waiting and running requests. */
    std::uint32_t running = 0;
    /** Requests started per second, as an exponential average over about 2 s. */
    double startsPerSecond = 0.0;
};

/** A summary of an entry host's own outstanding requests that it sends to its peers. */
struct PeerLoadDigest
{
    /** The host that sent it. */
    HostName host;
    /** Increases with each digest of this host. */
    std::uint64_t sequence = 0;
    /** The backend servers on which the host has outstanding requests; limited in number. */
    std::vector<PeerLoadEntry> entries;
    /** Whether accounts is set; if not, the host's accounts are unknown. */
    bool hasAccounts = false;
    /** The accounts with limits in use, limited to AccountLimiter::reportedAccounts. */
    std::vector<PeerAccountUse> accounts = {};
};

/**
 * Sorts the entries by server name, and drops those with the fewest running requests if there are
 * more than limit.
 */
void keepLargest(PeerLoadDigest &digest, std::size_t limit);

/**
 * One death of a backend server on which a request was running, or a run of the request that did
 * not crash its server.
 */
struct QuarantineRecord
{
    /** WorkRequest::requestDigest of the request. */
    std::uint64_t requestDigest = 0;
    /** Number of backend server deaths that the sender counts for the request. */
    std::uint32_t deaths = 0;
    /** The time for which the record still counts, in milliseconds. */
    Milliseconds remaining{0};
    /**
     * Identifies the death; equal on all hosts that received the record from the same origin. 0 for
     * a run.
     */
    std::uint64_t incident = 0;
    /** A digest of the name of the backend server that died; 0 for a run. */
    std::uint64_t serverDigest = 0;
    /** Identifies the run that did not crash its server; 0 for a death. */
    std::uint64_t crashFreeRun = 0;
};

} // namespace sassafrasyard
