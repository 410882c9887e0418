#pragma once

#include "policy/servers/backendserver.h"

#include <map>
#include <span>

namespace sassafrasyard {

/** Which backend servers may get new work, for placements that don't go through the ServerPool. */
class ServerFlags
{
public:
    /** Replaces the set of servers; what was marked on a server that stays is kept. */
    void setBackendServers(std::span<const BackendServer> newServers);
    /** Marks a server as leaving (or not) before the configuration says so. */
    void setLeaving(const BackendServerName &server, bool isLeaving);
    /** Records whether a server answers at all. */
    void setReachable(const BackendServerName &server, bool isReachable);
    /** Returns whether a server is configured, reachable and not leaving. */
    bool isUsable(const BackendServerName &server) const;

private:
    struct Flags
    {
        bool isLeaving = false;
        bool isMarkedLeaving = false;
        bool isReachable = true;
    };

    std::map<BackendServerName, Flags> servers;
};

} // namespace sassafrasyard
