#pragma once

#include "policy/servers/backendserver.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sassafrasyard {

/** An entry host as trackedSubset() sees it. */
struct TrackingHost
{
    /** The host. */
    HostName name;
    /** The failure domain it stands in. */
    FailureDomainName failureDomain;
};

/**
 * Returns which backend servers a host tracks, as ascending indices into the servers.
 *
 * All hosts compute the same assignment from the same lists by rendezvous hashing: each server
 * takes a number of hosts, half of them from its own failure domain where there are enough. The
 * limit is shared among the models (a server counts for its first one), so a model with few
 * servers is tracked by every host. A host that comes or goes changes only the servers it takes or
 * gave up, but for the rare steps in the number of hosts per server.
 *
 * @param servers all backend servers, in the same order on every host.
 * @param liveHosts the live hosts; self is added if it is missing.
 * @param self the host that asks.
 * @param limit how many servers it tracks at most; at least the number of models.
 */
std::vector<std::size_t> trackedSubset(std::span<const BackendServer> servers,
                                       std::span<const TrackingHost> liveHosts,
                                       const TrackingHost &self, std::size_t limit);

/**
 * Returns the hosts that track a backend server, all that do and a few that gave it up at their
 * limit.
 *
 * @param servers and limit as for trackedSubset().
 * @param server one of the servers; no host tracks another one.
 */
std::vector<HostName> trackingHosts(std::span<const BackendServer> servers,
                                    std::span<const TrackingHost> liveHosts,
                                    const BackendServerName &server, std::size_t limit);

} // namespace sassafrasyard
