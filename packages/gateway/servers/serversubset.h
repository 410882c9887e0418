#pragma once

#include "core/core.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Selects the backend servers on which this host places work, and the hosts that share each of
 * them.
 *
 * In a large fleet a host can't receive updates about the work of all engines at once. Each host
 * therefore uses some of the engines and receives updates about them from the other hosts that use
 * them. Services with few servers are used by every host.
 *
 * The selection is a preference for new calls. A call that none of the selected servers may run,
 * such as one that is bound to a rare software version, is placed on the others; see
 * BackendServer::isTracked.
 */
class ServerSubset
{
public:
    /**
     * The largest number of servers that a host uses, unless there are many services or few hosts;
     * see trackedSubset(). With fewer it would miss free engines. With
     * more, a change of engine work concerns more hosts than the bandwidth of LoadExchange can
     * reach: 20 of 67 servers mean some 40 of 195 hosts, a fifth of them.
     */
    static constexpr std::size_t defaultLimit = 20;

    /**
     * Creates an empty subset.
     *
     * @param self this host.
     * @param limit as for trackedSubset().
     */
    explicit ServerSubset(TrackingHost self, std::size_t limit = defaultLimit);

    /** Replaces the servers. */
    void setServers(std::vector<BackendServer> servers);
    /**
     * Replaces the hosts; dead and leaving ones are ignored.
     *
     * @return whether the set has changed.
     */
    bool setHosts(std::span<const MemberRecord> members);
    /** Returns the servers that this host uses. */
    std::vector<BackendServer> selectedServers() const;
    /** Returns all servers; those that this host uses by preference are marked as tracked. */
    std::vector<BackendServer> allServers() const;
    /** Returns the peer addresses of the other hosts that use one of the servers. */
    std::vector<std::string> peersUsing(std::span<const BackendServerName> servers) const;

private:
    TrackingHost self;
    std::size_t limit;
    std::vector<BackendServer> servers;
    std::vector<TrackingHost> hosts;
    std::map<HostName, std::string> peerAddresses;
};

} // namespace sassafrasyard
