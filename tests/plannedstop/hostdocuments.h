#pragma once

#include "core/core.h"
#include "network/network.h"

#include <cstddef>
#include <optional>
#include <string>

namespace sassafrasyard {

/** The settings of a host that tests change; the others are fixed. */
struct HostSettings
{
    /** The name of the host, which no other host of the store has. */
    std::string name = "host-1";
    /** The grace of a planned stop. */
    Milliseconds grace{3000};
    /** For how long keys are trusted without confirmation. */
    Milliseconds maximumKeyAge{5000};
    /** The retries per request, and those allowed beyond them. */
    double retryRatio = 0.2;
    int retrySlack = 56;
    /** The time in which an evacuation must be in force; nothing if there are none. */
    std::optional<Milliseconds> evacuationTime;

    /**
     * Returns the settings file of the users' platform.
     *
     * @param firstPort the first of six consecutive ports.
     * @param store the address of the platform's store.
     */
    std::string toText(int firstPort, const Endpoint &store) const;
};

/**
 * The configuration in the store, with the plain routes lookup, quick and order and the streams
 * report (resumable), story and secret (with a key).
 */
struct HostConfiguration
{
    int version = 1;
    /** How many streams an engine runs at once. */
    int engineSlots = 16;
    /** The pause between events that the routes aim at. */
    Milliseconds targetPause{500};
    /** Whether the engines copy runs to other engines. */
    bool copiesRuns = false;
    /** The time-out of the route story. */
    Milliseconds storyTimeout{60000};
    /** The service or services of the route story, as fields of JSON. */
    std::string storyServices = R"("service":"engine")";
    bool hasStory = true;
    /** Whether the service of the engines exists. */
    bool hasEngines = true;
    /** The largest body of a request, in bytes. */
    std::size_t maximumBodyBytes = 4U << 20U;
    /** The number of routes that no request of a test uses. */
    int furtherRoutes = 0;
    /** The key of the only client account; without one there are no accounts. */
    std::string key;
    /** How long a caller's connection may be idle between two requests. */
    Milliseconds idleTimeout{60000};
    /** How long a request may take to arrive. */
    Milliseconds readTimeout{30000};

    /** Returns the configuration as JSON. */
    std::string toText() const;
};

} // namespace sassafrasyard
