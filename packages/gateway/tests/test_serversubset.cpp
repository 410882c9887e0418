#include "gateway/gateway.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <set>

using namespace sassafrasyard;

namespace {

std::vector<BackendServer> makeEngines(std::size_t count, std::size_t domains)
{
    std::vector<BackendServer> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].name = BackendServerName("engine-" + std::to_string(index));
        servers[index].failureDomain = FailureDomainName("d" + std::to_string(index % domains));
        servers[index].models = {ModelName("model")};
    }
    return servers;
}

std::vector<MemberRecord> makeMembers(std::size_t count, std::size_t domains)
{
    std::vector<MemberRecord> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].host = HostName("host-" + std::to_string(index));
        members[index].incarnation = HostIncarnation("run-" + std::to_string(index));
        members[index].failureDomain = FailureDomainName("d" + std::to_string(index % domains));
        members[index].peerAddress = "10.0.0.1:" + std::to_string(7000 + index);
    }
    return members;
}

ServerSubset makeSubset(const MemberRecord &self, const std::vector<MemberRecord> &members,
                        std::vector<BackendServer> servers)
{
    ServerSubset subset({self.host, self.failureDomain});
    subset.setServers(std::move(servers));
    subset.setHosts(members);
    return subset;
}

/** Simulates the placement of work by hosts that receive updates about the work of engines. */
struct PlacementSimulation
{
    /**
     * Returns the largest load of an engine after all work was placed.
     *
     * @param maximumNotifiedPeers how many hosts hear of each placement.
     * @param usesSubset whether hosts use a ServerSubset or all engines.
     */
    double maximumLoad(std::size_t maximumNotifiedPeers, bool usesSubset)
    {
        const auto servers = makeEngines(60, 5);
        const auto members = makeMembers(200, 5);
        std::map<std::string, std::size_t> hostsByAddress;
        std::vector<ServerSubset> subsets;
        std::vector<std::vector<std::size_t>> used;
        for (std::size_t host = 0; host < members.size(); ++host) {
            hostsByAddress[members[host].peerAddress] = host;
            subsets.push_back(makeSubset(members[host], members, servers));
            std::vector<std::size_t> indices;
            for (const BackendServer &server :
                 usesSubset ? subsets[host].selectedServers() : servers)
                indices.push_back(std::stoul(server.name.toString().substr(7)));
            used.push_back(indices);
        }
        RandomSource random(7);
        std::vector<std::vector<int>> assumedLoad(members.size(), std::vector<int>(60, 0));
        std::vector<int> work(60, 0);
        std::size_t turn = 0;
        for (int placed = 0; placed < 300; ++placed) {
            const std::size_t host = random.below(members.size());
            std::size_t best = used[host][random.below(used[host].size())];
            for (const std::size_t engine : used[host]) {
                if (assumedLoad[host][engine] < assumedLoad[host][best])
                    best = engine;
            }
            ++work[best];
            ++assumedLoad[host][best];
            std::vector<std::size_t> notified;
            if (usesSubset) {
                for (const std::string &address : subsets[host].peersUsing(
                             std::vector{BackendServerName("engine-" + std::to_string(best))}))
                    notified.push_back(hostsByAddress.at(address));
            } else {
                for (std::size_t peer = 0; peer < maximumNotifiedPeers; ++peer)
                    notified.push_back(turn++ % members.size());
            }
            notified.resize(std::min(notified.size(), maximumNotifiedPeers));
            for (const std::size_t peer : notified)
                assumedLoad[peer][best] += peer == host ? 0 : 1;
        }
        return *std::max_element(work.begin(), work.end());
    }
};

} // namespace

// Guards against worse placement in small fleets, and against services with few servers that some
// hosts do not use.
TEST_CASE("Services with few servers are used by every host", "[subset]")
{
    const auto members = makeMembers(9, 3);
    for (const MemberRecord &self : members)
        REQUIRE(makeSubset(self, members, makeEngines(17, 3)).selectedServers().size() == 17);
    const auto many = makeMembers(195, 5);
    auto servers = makeEngines(62, 5);
    for (std::size_t index = 0; index < 5; ++index) {
        servers.push_back(servers[index]);
        servers.back().name = BackendServerName("desk-" + std::to_string(index));
        servers.back().models = {ModelName("desk")};
    }
    for (const MemberRecord &self : many) {
        const auto used = makeSubset(self, many, servers).selectedServers();
        REQUIRE(used.size() <= ServerSubset::defaultLimit);
        REQUIRE(std::count_if(used.begin(), used.end(),
                              [](const BackendServer &server) {
                                  return server.models.front() == ModelName("desk");
                              })
                == 5);
    }
}

// Guards against delayed updates about the work of an engine at the hosts that use it.
TEST_CASE("The hosts to notify of engine work include all hosts that use the engine and few others",
          "[subset]")
{
    const auto members = makeMembers(195, 5);
    const auto servers = makeEngines(62, 5);
    std::map<BackendServerName, std::set<std::string>> users;
    for (const MemberRecord &self : members) {
        for (const BackendServer &server : makeSubset(self, members, servers).selectedServers())
            users[server.name].insert(self.peerAddress);
    }
    REQUIRE(users.size() == servers.size());
    const ServerSubset subset = makeSubset(members[0], members, servers);
    for (const BackendServer &server : servers) {
        const auto notified = subset.peersUsing(std::vector{server.name});
        REQUIRE(notified.size() <= 64);
        for (const std::string &address : users[server.name]) {
            if (address != members[0].peerAddress)
                REQUIRE(std::find(notified.begin(), notified.end(), address) != notified.end());
        }
    }
    REQUIRE(subset.peersUsing(std::vector{BackendServerName("unknown")}).empty());
}

// Guards against many hosts that choose the same engines because each receives only some of the
// updates.
TEST_CASE("200 hosts spread a burst of prompts over 60 engines", "[subset][load]")
{
    PlacementSimulation simulation;
    // 300 pieces of work on 60 engines are 5 each.
    REQUIRE(simulation.maximumLoad(64, true) <= 8);
    REQUIRE(simulation.maximumLoad(64, true) < simulation.maximumLoad(64, false));
}
