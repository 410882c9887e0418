#pragma once

#include "policy/servers/backendserver.h"
#include "policy/work/workrequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace sassafrasyard {

/** A backend server that could take a request, with this host's estimate of its load. */
struct PlacementCandidate
{
    /** The backend server; valid during the call only. */
    const BackendServer *server = nullptr;
    /** Estimated number of requests running or waiting there. */
    double runningEstimate = 0.0;
    /** Estimated memory in use and reserved there, in tokens. */
    double memoryEstimate = 0.0;
    /** Total memory, in tokens; 0 for a server without a memory limit. */
    double memoryTotal = 0.0;
    /** Memory that the request would reserve there, in tokens. */
    double memoryNeeded = 0.0;
    /** Tokens of prompts sent there by known hosts that have produced no output yet. */
    double pendingPromptTokens = 0.0;
    /** Number of this host's outstanding requests there. */
    std::uint32_t ownRunning = 0;
    /** Whether the prompt's prefix is probably cached there. */
    bool hasPrefix = false;
    /** Tokens at the beginning of the prompt that probably need not be read there. */
    double cachedTokens = 0.0;
    /** Time per token divided by the median of the model, as learned over time; 1 if unknown. */
    double speedRatio = 1.0;
    /** Time per token divided by the median of its peers; 1 is normal, more is slower. */
    double paceRatio = 1.0;
    /** Whether it is in this host's failure domain. */
    bool isSameDomain = false;
};

/**
 * Chooses a backend server for a request.
 *
 * Returns an index into the candidates, or nothing if none should take the request now.
 */
using PlacementPolicy = std::function<std::optional<std::size_t>(
        const WorkRequest &request, std::span<const PlacementCandidate> candidates)>;

/** Returns a policy that cycles through the candidates; a baseline for comparisons. */
PlacementPolicy roundRobinPlacement();

/**
 * Returns a policy that takes the candidate with the fewest own requests; a baseline for
 * comparisons.
 */
PlacementPolicy leastOutstandingPlacement();

/**
 * Returns a policy that weighs estimated load, memory, speed, prefix affinity and failure domain.
 *
 * It takes the cheapest of a few random candidates, preferably from the own failure domain. The
 * random draw keeps hosts with the same outdated load data from all choosing the same server.
 *
 * @param seed seed of the draws; should differ between hosts.
 */
PlacementPolicy estimatedLoadPlacement(std::uint64_t seed);

/**
 * Returns a policy that keeps prompts from queueing behind each other.
 *
 * An engine processes prompts one after another, so a prompt waits for all pending prompts of its
 * engine whatever the decode load. The policy takes the engine at which the first output is
 * expected soonest: the pending prompts and the own one without its cached beginning, at the speed
 * of the engine, then the decode load and memory. Where all engines are equally fast and nothing is
 * cached, these are the fewest pending prompt tokens. It requires that hosts learn of each other's
 * prompts faster than an engine processes one. Requests without a prompt are placed by
 * estimatedLoadPlacement().
 *
 * @param seed seed of the jitter that keeps hosts with equal load data from choosing the same
 *     engine; should differ between hosts.
 */
PlacementPolicy promptQueuePlacement(std::uint64_t seed);

} // namespace sassafrasyard
