#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Where a rollout stands as a whole. */
enum class RolloutState {
    Running,
    Stopped,
    Completed,
};

/** Where one backend server stands in a rollout. */
enum class ServerPhase {
    /** Nothing was done. */
    Pending,
    /** The new version is being loaded. */
    Loading,
    /** New work goes to the new version; the old one is kept until its streams end. */
    Serving,
    /** The new version serves and the old one is gone or no longer needed. */
    Done,
    /** The rollout stopped and new work went back to the old version. */
    Reverted,
    /** The server left the configuration. */
    Skipped,
};

/** Returns the state's name in objects and answers. */
std::string_view toString(RolloutState state);
/** Returns the phase's name in objects and answers. */
std::string_view toString(ServerPhase phase);

/** One backend server of a rollout. */
struct RolloutServer
{
    /** The backend server. */
    BackendServerName name;
    /** Its phase. */
    ServerPhase phase = ServerPhase::Pending;
    /** The version it served before; empty if none. */
    std::string oldVersion;
    /** The time per token before the change, in milliseconds; 0 if unknown. */
    double baselineInterval = 0.0;
    /** When the phase began, in milliseconds since the Unix epoch. */
    Milliseconds since{0};

    /** Compares all fields. */
    bool operator==(const RolloutServer &) const = default;
};

/** The desired state of a rollout and how far it is; one object in the platform per model. */
struct Rollout
{
    /** Unique for each start or resumption; part of the change identifiers. */
    std::string identifier;
    /** The model. */
    ModelName model;
    /** The new version. */
    std::string version;
    /** Who started it. */
    std::string author;
    /** The share of the servers that may be loading or under observation at a time. */
    double parallelShare = 0.1;
    /** How many servers may load at a time, those of other rollouts included, for the weight
     * store's rate limit. */
    std::uint32_t maximumLoads = 4;
    /** The factor of the time per token at which the rollout stops. */
    double maximumSlowdown = 1.5;
    /** How long a load may take, in milliseconds. */
    Milliseconds loadTimeout{600000};
    /** How long a server is observed before the old version may go, in milliseconds. */
    Milliseconds observation{30000};
    /** Where it stands. */
    RolloutState state = RolloutState::Running;
    /** Why it stopped. */
    std::string reason;
    /** The fencing token of the last host that carried it on. */
    std::uint64_t fence = 0;
    /** The servers in order. */
    std::vector<RolloutServer> servers;

    /** Compares all fields. */
    bool operator==(const Rollout &) const = default;
};

/** Returns how many servers of a running rollout are loading. */
std::size_t countLoads(const Rollout &rollout);

/** Writes a rollout as JSON text. */
std::string formatRollout(const Rollout &rollout);
/** Reads a rollout. @param reason receives ConfigurationInvalid. */
std::optional<Rollout> parseRollout(std::string_view text, Error &reason);

/** The prefix of the names of rollout objects; the model's name follows. */
inline constexpr std::string_view rolloutObjectPrefix = "rollouts/";

} // namespace sassafrasyard
