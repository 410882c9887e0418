#pragma once

#include "control/rollouts/rollout.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace sassafrasyard {

/** The state of one backend server as observed by the host that runs the rollout. */
struct RolloutServerView
{
    /** Whether the configuration contains the server. */
    bool isConfigured = false;
    /** Whether the engine answered the last poll. */
    bool isReachable = false;
    /** Whether the engine failed to answer several polls in a row. */
    bool isUnresponsive = false;
    /** The loaded versions of the rollout's model with the number of streams running on each, or
     * nothing if the engine does not report that number. */
    std::map<std::string, std::optional<std::uint32_t>> loaded;
    /** The version that the configuration selects for new requests; empty if none is set. */
    std::string servedVersion;
    /** The median time per token of the last polls, in milliseconds; 0 if unknown. */
    double tokenInterval = 0.0;
    /** Whether an order was sent so recently that polls may not show its effect yet. */
    bool wasOrderedRecently = false;
    /** Whether the engine has accepted an order with the current fencing token of this host. */
    bool hasAcceptedToken = false;
};

/** The input of the planner: the state observed by the host that runs the rollout. */
struct RolloutView
{
    /** The current time, in milliseconds since the Unix epoch. */
    Milliseconds now{0};
    /** The rollout's servers that the configuration contains. */
    std::map<BackendServerName, RolloutServerView> servers;
    /** For each version, whether a client account is bound to it, so that it must stay loaded. */
    std::map<std::string, bool> pinnedVersions;
    /** The number of loads that other rollouts have in progress on the same weight store. */
    std::size_t otherLoads = 0;
};

/** No action is possible until the view changes. */
struct WaitStep
{
    /** Returns true: all wait steps are equal. */
    bool operator==(const WaitStep &) const = default;
};

/** Sends an order to an engine; safe to repeat. */
struct SendOrderStep
{
    /** The engine that receives the order. */
    BackendServerName server;
    /** "load" or "unload". */
    std::string order;
    /** The version to load or unload. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const SendOrderStep &) const = default;
};

/** Changes the configuration so that new requests on a server use a version. */
struct SetServedVersionStep
{
    /** The engine whose server document changes. */
    BackendServerName server;
    /** The version for new requests; empty for any. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const SetServedVersionStep &) const = default;
};

/** Writes the rollout object, provided that it has not changed since it was read. */
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
 * Pure. Every phase is stored before its first order is sent, and the steps of a phase are
 * idempotent. A host that takes over the rollout can therefore continue from the stored state,
 * whatever the previous lease holder had already done.
 */
RolloutStep planRollout(const Rollout &rollout, const RolloutView &view);

} // namespace sassafrasyard
