#pragma once

#include "policy/servers/backendserver.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sassafrasyard {

/** An entry host that tracks the load of backend servers. */
struct TrackingHost
{
    /** The host's name. */
    HostName name;
    /** The host's failure domain. */
    FailureDomainName failureDomain;
};

/**
 * Returns the backend servers that a host tracks, as ascending indices into servers.
 *
 * All hosts compute the same assignment from the same lists by rendezvous hashing: each server is
 * assigned a number of hosts, half of them from its own failure domain if there are enough. The
 * limit is divided among the models (a server counts for its first one), so a model with few
 * servers is tracked by every host. Each model gets a minimum, which exceeds the limit if there are
 * many models or few hosts: every host tracks four servers of each model or all of them, and four
 * times its part of the servers. A host that joins or leaves changes the assignment of its own
 * servers only, except when the number of hosts per server changes, which is rare.
 *
 * @param servers all backend servers, in the same order on every host.
 * @param liveHosts the live entry hosts; self is added if it is missing.
 * @param self the host whose subset is returned.
 * @param limit the number of servers it tracks at most beside the minimum of each model.
 */
std::vector<std::size_t> trackedSubset(std::span<const BackendServer> servers,
                                       std::span<const TrackingHost> liveHosts,
                                       const TrackingHost &self, std::size_t limit);

/**
 * Returns the hosts that track a backend server. The result may include a few hosts that don't
 * track the server because they reached their limit, and lack a few that track it because too few
 * others were assigned to them.
 *
 * @param servers and limit as for trackedSubset().
 * @param server the server; the result is empty if it is not one of servers.
 */
std::vector<HostName> trackingHosts(std::span<const BackendServer> servers,
                                    std::span<const TrackingHost> liveHosts,
                                    const BackendServerName &server, std::size_t limit);

} // namespace sassafrasyard
