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
 * The backend servers that this host places work on, and the hosts that share each of them.
 *
 * In a large fleet a host can't hear at once of all engine work, so each host uses some engines
 * only and hears of the work on those from the hosts that use them too. Services with few servers
 * are used by every host.
 */
class ServerSubset
{
public:
    /**
     * How many servers a host uses. With fewer it would miss free engines; with more, a change of
     * engine work concerns more hosts than the bytes per second of LoadExchange reach: 20 of 67
     * servers mean some 40 of 195 hosts, a fifth of them.
     */
    static constexpr std::size_t defaultLimit = 20;

    /** Creates an empty subset. @param self this host. */
    explicit ServerSubset(TrackingHost self, std::size_t limit = defaultLimit);

    /** Replaces the servers. */
    void setServers(std::vector<BackendServer> servers);
    /** Replaces the hosts; dead and leaving ones are left out. @return whether the set changed. */
    bool setHosts(std::span<const MemberRecord> members);
    /** Returns the servers that this host uses. */
    std::vector<BackendServer> selectedServers() const;
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
