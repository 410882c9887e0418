#include "policy/dispatch/serverflags.h"

namespace sassafrasyard {

void ServerFlags::setBackendServers(std::span<const BackendServer> newServers)
{
    std::map<BackendServerName, Flags> updated;
    for (const BackendServer &server : newServers) {
        Flags &flags = updated[server.name];
        if (const auto known = this->servers.find(server.name); known != this->servers.end())
            flags = known->second;
        flags.isLeaving = server.isLeaving;
    }
    this->servers = std::move(updated);
}

void ServerFlags::setLeaving(const BackendServerName &server, bool isLeaving)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isMarkedLeaving = isLeaving;
}

void ServerFlags::setReachable(const BackendServerName &server, bool isReachable)
{
    if (const auto known = this->servers.find(server); known != this->servers.end())
        known->second.isReachable = isReachable;
}

bool ServerFlags::isUsable(const BackendServerName &server) const
{
    const auto known = this->servers.find(server);
    return known != this->servers.end() && !known->second.isLeaving
            && !known->second.isMarkedLeaving && known->second.isReachable;
}

} // namespace sassafrasyard
