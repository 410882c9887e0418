#pragma once

#include "control/rollouts/rollout.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace sassafrasyard {

/** What the host that carries out a rollout sees of one backend server. */
struct RolloutServerView
{
    /** Whether the configuration names the server. */
    bool isConfigured = false;
    /** Whether the engine answered its last polls. */
    bool isReachable = false;
    /** Whether the engine failed to answer several polls in a row. */
    bool isUnresponsive = false;
    /** The versions of the rollout's model that are loaded, with the streams that run on each;
     * no number if the engine does not report it. */
    std::map<std::string, std::optional<std::uint32_t>> loaded;
    /** The version that the configuration gives to new work there; empty if none is set. */
    std::string servedVersion;
    /** The time per token over the last polls, in milliseconds; 0 if unknown. */
    double tokenInterval = 0.0;
    /** Whether an order was sent a moment ago, so that its effect cannot be seen yet. */
    bool wasOrderedRecently = false;
    /** Whether the engine has taken an order with this holder's fencing token. */
    bool hasAcceptedToken = false;
};

/** What the host that carries out a rollout sees. */
struct RolloutView
{
    /** Milliseconds since the Unix epoch. */
    Milliseconds now{0};
    /** The rollout's servers. */
    std::map<BackendServerName, RolloutServerView> servers;
    /** Whether a client account asks for a version by name, so that it must stay loaded. */
    std::map<std::string, bool> pinnedVersions;
    /** Loads of other rollouts in progress, which share the weight store. */
    std::size_t otherLoads = 0;
};

/** Nothing can be done until the view changes. */
struct WaitStep
{
    /** Compares. */
    bool operator==(const WaitStep &) const = default;
};

/** Send an order to an engine; safe to repeat. */
struct SendOrderStep
{
    /** The engine. */
    BackendServerName server;
    /** "load" or "unload". */
    std::string order;
    /** The version. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const SendOrderStep &) const = default;
};

/** Change the configuration so that new work on a server goes to a version. */
struct SetServedVersionStep
{
    /** The engine. */
    BackendServerName server;
    /** The version; empty for any. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const SetServedVersionStep &) const = default;
};

/** Write the rollout object, on condition that it has not changed. */
struct WriteRolloutStep
{
    /** The new content. */
    Rollout updatedRollout;

    /** Compares all fields. */
    bool operator==(const WriteRolloutStep &) const = default;
};

/** The next step of a rollout. */
using RolloutStep = std::variant<WaitStep, SendOrderStep, SetServedVersionStep, WriteRolloutStep>;

/**
 * Returns the next step of a rollout.
 *
 * Pure. Every phase is recorded before its first order, and the steps of a phase may be repeated,
 * so a successor goes on from the recorded state whatever its predecessor had done.
 */
RolloutStep planRollout(const Rollout &rollout, const RolloutView &view);

} // namespace sassafrasyard
