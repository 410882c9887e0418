#pragma once

#include "policy/servers/backendserver.h"

#include <map>
#include <span>

namespace sassafrasyard {

/** Tracks which backend servers may get new requests, for placements that bypass the ServerPool. */
class ServerFlags
{
public:
    /** Replaces the set of servers. Servers that remain keep their marks and reachability. */
    void setBackendServers(std::span<const BackendServer> newServers);
    /** Overrides a server's leaving state until the configuration catches up. */
    void setLeaving(const BackendServerName &server, bool isLeaving);
    /** Records whether a server is reachable; ignored for an unknown server. */
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
