#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** The priority of a request; higher values are served first and refused last. */
enum class Priority : std::uint8_t {
    /** Served last. */
    Low = 0,
    /** The default. */
    Normal = 1,
    /** Served first. */
    High = 2,
};

/** The beginning of a prompt up to the end of a part that other requests may share. */
struct PromptPrefix
{
    /** Identifies it; the same on all hosts. */
    std::uint64_t digest = 0;
    /** Its size in tokens. */
    std::uint32_t tokens = 0;

    /** Compares all fields. */
    bool operator==(const PromptPrefix &) const = default;
};

/** Describes a request to the policy. */
struct WorkRequest
{
    /** The request's name, unique inside this entry host. */
    RequestName name;
    /** The client account that it is charged to. */
    ClientAccountName account;
    /** The model that runs it; for a call of a plain service, the service's name. */
    ModelName model;
    /** The model's version, or empty for any. */
    std::string version;
    /**
     * The software version of the servers that may run it, or nothing for any: a stream continues
     * only on the version that began it.
     */
    std::optional<SoftwareVersion> softwareVersion;
    /** The prompt's size in tokens. */
    std::uint32_t promptTokens = 0;
    /** The caller's limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** Whether the server has to process the prompt; not needed for a copy of a run's state. */
    bool isPrefillNeeded = true;
    /** A digest of the prompt's prefix, for prefix cache affinity; 0 for none. */
    std::uint64_t prefixDigest = 0;
    /**
     * The beginnings of the prompt that engines may have cached, shortest first. If there are any,
     * placement weighs what they save instead of prefixDigest.
     */
    std::vector<PromptPrefix> prefixes;
    /** Identifies the request to the crash quarantine, see makeRequestDigest(); 0 for none. */
    std::uint64_t requestDigest = 0;
    /** Digests of the parts of the prompt that other requests may share. */
    std::vector<std::uint64_t> promptParts;
    /** The caller's priority, limited by the account's. */
    Priority priority = Priority::Normal;
    /** Whether the request may be run twice. */
    bool isIdempotent = true;
    /**
     * Whether its run has to move to another engine if its own leaves, because it can't be started
     * again.
     */
    bool needsMoves = false;
    /** Whether this is a further attempt at a request that was placed before. */
    bool isRetry = false;
    /** Backend servers on which an earlier attempt failed; chosen only if no other is available. */
    std::vector<BackendServerName> avoided;
    /**
     * The running request that this one is a hedge of, or empty; a hedge runs on another server.
     */
    RequestName hedgeOf;
};

/** How a request ended. */
enum class WorkOutcome {
    /** Its output or response is complete. */
    Completed,
    /** It was cancelled before it ended. */
    Cancelled,
    /** The server refused it without running it. */
    RefusedByServer,
    /** The server was lost while it ran. */
    ServerLost,
    /** It failed for another reason. */
    Failed,
};

} // namespace sassafrasyard
