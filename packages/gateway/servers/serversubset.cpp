#include "gateway/servers/serversubset.h"

#include <set>
#include <utility>

namespace sassafrasyard {

ServerSubset::ServerSubset(TrackingHost self, std::size_t limit)
    : self(std::move(self))
    , limit(limit)
{
}

void ServerSubset::setServers(std::vector<BackendServer> newServers)
{
    this->servers = std::move(newServers);
}

bool ServerSubset::setHosts(std::span<const MemberRecord> members)
{
    std::map<HostName, std::string> addresses;
    std::vector<TrackingHost> liveHosts;
    for (const MemberRecord &record : members) {
        // A suspect host usually turns out alive; without it servers would be reassigned to other
        // hosts and back.
        if (record.state > MemberState::Suspect)
            continue;
        if (addresses.emplace(record.host, record.peerAddress).second)
            liveHosts.push_back({record.host, record.failureDomain});
    }
    const bool hasChanged = addresses != this->peerAddresses;
    this->peerAddresses = std::move(addresses);
    this->hosts = std::move(liveHosts);
    return hasChanged;
}

std::vector<BackendServer> ServerSubset::selectedServers() const
{
    std::vector<BackendServer> result;
    for (const std::size_t index :
         trackedSubset(this->servers, this->hosts, this->self, this->limit)) {
        result.push_back(this->servers[index]);
    }
    return result;
}

std::vector<BackendServer> ServerSubset::allServers() const
{
    std::vector<BackendServer> result = this->servers;
    for (BackendServer &server : result)
        server.isTracked = false;
    for (const std::size_t index :
         trackedSubset(this->servers, this->hosts, this->self, this->limit)) {
        result[index].isTracked = true;
    }
    return result;
}

std::vector<std::string> ServerSubset::peersUsing(std::span<const BackendServerName> changed) const
{
    std::set<HostName> names;
    for (const BackendServerName &server : changed) {
        for (HostName &host : trackingHosts(this->servers, this->hosts, server, this->limit))
            names.insert(std::move(host));
    }
    names.erase(this->self.name);
    std::vector<std::string> addresses;
    for (const HostName &name : names)
        addresses.push_back(this->peerAddresses.at(name));
    return addresses;
}

} // namespace sassafrasyard
