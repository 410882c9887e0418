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
    /** Estimated requests running or waiting there. */
    double runningEstimate = 0.0;
    /** Estimated memory in use and reserved there, in tokens. */
    double memoryEstimate = 0.0;
    /** Memory in all, in tokens; 0 for a server whose memory does not count. */
    double memoryTotal = 0.0;
    /** Memory that the request would reserve there, in tokens. */
    double memoryNeeded = 0.0;
    /** Tokens of prompts sent there that have produced nothing yet, as far as is known. */
    double pendingPromptTokens = 0.0;
    /** This host's own outstanding requests there. */
    std::uint32_t ownRunning = 0;
    /** Whether the prompt's prefix is believed to be cached there. */
    bool hasPrefix = false;
    /** Time per token relative to the median of its peers; 1 is normal, more is slower. */
    double paceRatio = 1.0;
    /** Whether it stands in this host's failure domain. */
    bool isSameDomain = false;
};

/**
 * Chooses a backend server for a request.
 *
 * The result is an index into the candidates, or nothing if none should take the request now.
 */
using PlacementPolicy = std::function<std::optional<std::size_t>(
        const WorkRequest &request, std::span<const PlacementCandidate> candidates)>;

/** Returns a policy that takes the candidates in turn. A baseline. */
PlacementPolicy roundRobinPlacement();

/** Returns a policy that takes the candidate with the fewest own requests. A baseline. */
PlacementPolicy leastOutstandingPlacement();

/**
 * Returns a policy that weighs estimated load, memory, pace, prefix affinity and nearness.
 *
 * It draws a few candidates at random, near ones first, and takes the cheapest of them, so hosts
 * with the same old view do not all choose the same server.
 *
 * @param seed seed of the draws; hosts should differ in it.
 */
PlacementPolicy estimatedLoadPlacement(std::uint64_t seed);

/**
 * Returns a policy that keeps prompts from queuing behind each other.
 *
 * An engine reads prompts one after another, so a prompt that is sent to an engine with another one
 * still to be read waits for it whatever else the engine's load is. The policy takes the engine
 * with the least prompt tokens ahead, then the least decode load and memory; hosts must hear of
 * each other's prompts sooner than one is read. Requests without a prompt are placed as by
 * estimatedLoadPlacement().
 *
 * @param seed seed of the jitter that keeps hosts with the same view apart; hosts should differ.
 */
PlacementPolicy promptQueuePlacement(std::uint64_t seed);

} // namespace sassafrasyard
