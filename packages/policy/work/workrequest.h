#pragma once

#include "core/core.h"

#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** The order in which work gives way under load; a higher value goes first. */
enum class Priority : std::uint8_t {
    Low = 0,
    Normal = 1,
    High = 2,
};

/** One request as the policy sees it. */
struct WorkRequest
{
    /** The request's name, unique inside this entry host. */
    RequestName name;
    /** The client account that pays for it. */
    ClientAccountName account;
    /** The model that has to run it; for a plain call, the service's name. */
    ModelName model;
    /** The model's version, or empty for any. */
    std::string version;
    /** The prompt's size in tokens. */
    std::uint32_t promptTokens = 0;
    /** The caller's limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** Whether the server has to read the prompt; a copy of a run's memory needs no reading. */
    bool isPrefillNeeded = true;
    /** A digest of the prompt's leading part, for prefix cache affinity; 0 for none. */
    std::uint64_t prefixDigest = 0;
    /** Identifies the request to the crash quarantine, see makeRequestDigest(); 0 for none. */
    std::uint64_t requestDigest = 0;
    /** The caller's priority, limited by the account's. */
    Priority priority = Priority::Normal;
    /** Whether the request may be run twice. */
    bool isIdempotent = true;
    /** Whether this is a further attempt at a request that was placed before. */
    bool isRetry = false;
    /** Backend servers that an earlier attempt failed on; chosen only if there is no other. */
    std::vector<BackendServerName> avoided;
    /** The running request that this one hedges, or empty; a hedge avoids its server. */
    RequestName hedgeOf;
};

/** How a piece of work ended. */
enum class WorkOutcome {
    Completed,
    Cancelled,
    RefusedByServer,
    ServerLost,
    Failed,
};

} // namespace sassafrasyard
