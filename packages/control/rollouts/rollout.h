#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The state of a whole rollout. */
enum class RolloutState {
    Running,
    Stopped,
    Completed,
};

/** The phase of one backend server in a rollout. */
enum class ServerPhase {
    /** The rollout has not started on this server. */
    Pending,
    /** The new version is being loaded. */
    Loading,
    /** New requests go to the new version; the old one is kept until its streams end. */
    Serving,
    /** The new version serves, and the old one was unloaded or is kept on purpose. */
    Done,
    /** The rollout stopped and new requests go to the old version again. */
    Reverted,
    /** The server was removed from the configuration. */
    Skipped,
};

/** Returns the state's name in stored objects and HTTP responses. */
std::string_view toString(RolloutState state);
/** Returns the phase's name in stored objects and HTTP responses. */
std::string_view toString(ServerPhase phase);

/** One backend server of a rollout. */
struct RolloutServer
{
    /** The backend server's name. */
    BackendServerName name;
    /** The server's phase in this rollout. */
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

/** The desired state and progress of a rollout; stored as one object in the platform per model. */
struct Rollout
{
    /** Unique for each start or resumption; part of the change identifiers. */
    std::string identifier;
    /** The model whose version changes. */
    ModelName model;
    /** The version that the rollout installs. */
    std::string version;
    /** The operator who started the rollout, as stated in the request. */
    std::string author;
    /** The share of the servers, from 0 to 1, that may load or be observed at the same time; at
     * least one server may. */
    double parallelShare = 0.1;
    /** How many servers may load at the same time, including those of other rollouts; protects the
     * rate limit of the weight store. */
    std::uint32_t maximumLoads = 4;
    /** The rollout stops if the time per token exceeds the baseline by more than this factor. */
    double maximumSlowdown = 1.5;
    /** How long a load may take before the rollout stops, in milliseconds. */
    Milliseconds loadTimeout{600000};
    /** How long a server is observed before its old version may be unloaded, in milliseconds. */
    Milliseconds observation{30000};
    /** The state of the rollout. */
    RolloutState state = RolloutState::Running;
    /** Why the rollout stopped; empty otherwise. */
    std::string reason;
    /** The fencing token of the lease under which this object was last written. */
    std::uint64_t fence = 0;
    /** The backend servers in the order in which the rollout updates them. */
    std::vector<RolloutServer> servers;

    /** Compares all fields. */
    bool operator==(const Rollout &) const = default;
};

/** Returns how many servers of a rollout are loading; 0 unless the rollout is running. */
std::size_t countLoads(const Rollout &rollout);

/** Formats a rollout as JSON text. */
std::string formatRollout(const Rollout &rollout);
/** Parses a rollout. @param reason receives ConfigurationInvalid if the text is malformed. */
std::optional<Rollout> parseRollout(std::string_view text, Error &reason);

/** The prefix of the names of rollout objects; the model's name follows. */
inline constexpr std::string_view rolloutObjectPrefix = "rollouts/";

} // namespace sassafrasyard
