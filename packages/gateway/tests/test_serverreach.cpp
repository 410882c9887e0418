#include "drawnfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

/** The largest number of hosts of a fleet at which a test places calls. */
constexpr std::size_t placingHosts = 4;

/** How many servers of a service a host tracks at least, if it has as many. */
constexpr std::size_t trackedChoices = 4;

/** Returns how many servers of each service a host tracks. */
std::map<ModelName, std::size_t> countTracked(const ServerSubset &subset)
{
    std::map<ModelName, std::size_t> counts;
    for (const BackendServer &server : subset.allServers())
        counts[server.models.front()] += server.isTracked ? 1 : 0;
    return counts;
}

/** Returns some hosts of a fleet, among them the last one. */
std::vector<MemberRecord> drawHosts(const DrawnFleet &fleet)
{
    std::vector<MemberRecord> hosts{fleet.members.back()};
    while (hosts.size() < std::min(placingHosts, fleet.members.size()))
        hosts.push_back(fleet.members[*rc::gen::inRange<std::size_t>(0, fleet.members.size())]);
    return hosts;
}

} // namespace

// Guards against streams that can't be taken up where callers come back, because a host looks for
// their software version only among the servers that it tracks, which are chosen without regard to
// versions.
TEST_CASE("Each host places take-ups of each software version that has a usable server", "[reach]")
{
    rc::prop("a usable server of the version gets the call", [] {
        DrawnFleet fleet = DrawnFleet::draw();
        fleet.drawLeaving();
        const auto usable = fleet.usableServers();
        for (const MemberRecord &self : drawHosts(fleet)) {
            PlacingHost host(self, fleet.subsetOf(self));
            for (const auto &[key, servers] : usable) {
                const auto server = host.place(key.first, key.second);
                RC_ASSERT(server);
                RC_ASSERT(servers.contains(*server));
            }
        }
    });
}

// Guards against a stream that is cut or refused although a second server of its software version
// is usable, because the first one failed or holds the run and the host tracks no other one.
TEST_CASE("A next attempt reaches another server of the software version", "[reach]")
{
    rc::prop("another server than the avoided one gets the call", [] {
        DrawnFleet fleet = DrawnFleet::draw();
        const auto usable = fleet.usableServers();
        for (const MemberRecord &self : drawHosts(fleet)) {
            PlacingHost host(self, fleet.subsetOf(self));
            for (const auto &[key, servers] : usable) {
                const BackendServerName &avoided = *servers.begin();
                const auto server = host.place(key.first, key.second, {avoided});
                RC_ASSERT(server);
                RC_ASSERT(*server != avoided || servers.size() == 1);
                WorkRequest copy;
                copy.name = RequestName("copy");
                copy.account = ClientAccountName("account");
                copy.model = key.first;
                copy.softwareVersion = key.second;
                copy.avoided = {avoided};
                const auto target = host.dispatcher.reserveCopy(copy, true, host.now);
                RC_ASSERT(target.has_value() == (servers.size() > 1));
                host.dispatcher.releaseCopy(copy.name, host.now);
            }
        }
    });
}

// Guards against a call that waits for a server that its host does not use, because the servers of
// the host were published before the versions of others were known.
TEST_CASE("A server whose version becomes known gets a waiting call", "[reach]")
{
    DrawnFleet fleet({{60, 0}, {5, 0}}, 14, 5, 5);
    const MemberRecord &self = fleet.members.front();
    const ModelName service("service-0");
    const SoftwareVersion version("late");
    for (std::size_t index = 0; index < 60; ++index) {
        fleet.servers[index].softwareVersion = SoftwareVersion("common");
        PlacingHost host(self, fleet.subsetOf(self));
        REQUIRE_FALSE(host.place(service, version));
        fleet.servers[index].softwareVersion = version;
        host.dispatcher.setBackendServers(fleet.subsetOf(self).allServers(), host.now);
        REQUIRE(host.place(service, version) == fleet.servers[index].name);
        fleet.servers[index].softwareVersion = SoftwareVersion("common");
    }
}

// Guards against services that no host serves, because there are more of them than a host tracks
// servers, and against hosts that track none of a service's servers while others do.
TEST_CASE("Each host tracks several servers of each service", "[reach]")
{
    rc::prop("a service has as many tracked servers as it can", [] {
        const DrawnFleet fleet = DrawnFleet::draw();
        std::map<ModelName, std::size_t> sizes;
        for (const BackendServer &server : fleet.servers)
            ++sizes[server.models.front()];
        for (const MemberRecord &self : drawHosts(fleet)) {
            for (const auto &[service, count] : countTracked(fleet.subsetOf(self)))
                RC_ASSERT(count >= std::min(trackedChoices, sizes[service]));
        }
    });
}

// Guards against hosts whose load exchange and connections grow with the number of all servers.
TEST_CASE("A host tracks a bounded number of servers", "[reach]")
{
    rc::prop("the limit and the minimum of each service", [] {
        const DrawnFleet fleet = DrawnFleet::draw();
        std::map<ModelName, std::size_t> sizes;
        for (const BackendServer &server : fleet.servers)
            ++sizes[server.models.front()];
        std::size_t bound = ServerSubset::defaultLimit;
        for (const auto &[service, size] : sizes) {
            const std::size_t perHost = size / fleet.members.size() + 1;
            bound += std::min(size, trackedChoices * perHost);
        }
        for (const MemberRecord &self : drawHosts(fleet))
            RC_ASSERT(fleet.subsetOf(self).selectedServers().size() <= bound);
    });
}

// Guards against a call that is refused although a server of its service is usable, because those
// that its host tracks are leaving or unreachable.
TEST_CASE("Each host places new calls of each service that has a usable server", "[reach]")
{
    rc::prop("a usable server gets the call", [] {
        DrawnFleet fleet = DrawnFleet::draw();
        fleet.drawLeaving();
        std::map<ModelName, std::set<BackendServerName>> usable;
        for (const auto &[key, servers] : fleet.usableServers())
            usable[key.first].insert(servers.begin(), servers.end());
        for (const MemberRecord &self : drawHosts(fleet)) {
            const ServerSubset subset = fleet.subsetOf(self);
            PlacingHost host(self, subset);
            // All tracked servers of a service but the last usable one can't be reached.
            auto reachable = usable;
            const bool isCutOff = *rc::gen::arbitrary<bool>();
            for (const BackendServer &server : subset.allServers()) {
                auto &others = reachable[server.models.front()];
                if (!isCutOff || !server.isTracked || others.size() == 1)
                    continue;
                host.dispatcher.setReachable(server.name, false);
                others.erase(server.name);
            }
            for (const auto &[service, servers] : reachable) {
                if (servers.empty())
                    continue;
                const auto server = host.place(service, std::nullopt);
                RC_ASSERT(server);
                RC_ASSERT(servers.contains(*server));
            }
        }
    });
}

// Guards against calls that a host can't place after its subset has changed, because hosts joined
// or left, or servers were added or replaced by such of another version.
TEST_CASE("A host places calls of each service after hosts and servers have changed", "[reach]")
{
    rc::prop("a usable server of the version gets the call", [] {
        DrawnFleet fleet = DrawnFleet::draw();
        const MemberRecord self = fleet.members.front();
        PlacingHost host(self, fleet.subsetOf(self));
        constexpr int changes = 3;
        for (int change = 0; change < changes; ++change) {
            fleet.members.resize(*rc::gen::inRange<std::size_t>(1, fleet.members.size() + 1));
            for (auto added = *rc::gen::inRange<std::size_t>(0, 20); added > 0; --added)
                fleet.addHost(DrawnFleet::domainName(*rc::gen::inRange<std::size_t>(0, 9)));
            for (BackendServer &server : fleet.servers) {
                if (*rc::gen::inRange(0, 4) == 0)
                    server.softwareVersion = SoftwareVersion("change-" + std::to_string(change));
            }
            fleet.drawLeaving();
            host.dispatcher.setBackendServers(fleet.subsetOf(self).allServers(), host.now);
            for (const auto &[key, servers] : fleet.usableServers()) {
                const auto bound = host.place(key.first, key.second);
                RC_ASSERT(bound && servers.contains(*bound));
                RC_ASSERT(host.place(key.first, std::nullopt));
            }
        }
    });
}
