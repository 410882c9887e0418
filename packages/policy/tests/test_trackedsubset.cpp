#include "policy/placement/trackedsubset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <set>

using namespace sassafrasyard;

namespace {

std::vector<BackendServer> makeServers(std::size_t count, std::size_t domains, std::size_t models)
{
    std::vector<BackendServer> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].name = BackendServerName("server-" + std::to_string(index));
        servers[index].failureDomain = FailureDomainName("d" + std::to_string(index % domains));
        servers[index].models = {ModelName("m" + std::to_string(index / domains % models))};
    }
    return servers;
}

std::vector<TrackingHost> makeHosts(std::size_t count, std::size_t domains)
{
    std::vector<TrackingHost> hosts(count);
    for (std::size_t index = 0; index < count; ++index)
        hosts[index] = {HostName("host-" + std::to_string(index)),
                        FailureDomainName("d" + std::to_string(index % domains))};
    return hosts;
}

} // namespace

// Guards against untracked servers and hosts above their limit at the planned fleet size.
TEST_CASE("At the planned size every server is tracked, preferably from its failure domain",
          "[subset]")
{
    const auto servers = makeServers(3900, 20, 3);
    const auto hosts = makeHosts(330, 20);
    std::vector<std::size_t> coverage(servers.size(), 0);
    std::vector<std::size_t> nearCoverage(servers.size(), 0);
    for (const TrackingHost &host : hosts) {
        const auto tracked = trackedSubset(servers, hosts, host, 256);
        REQUIRE(tracked.size() <= 256);
        REQUIRE(tracked.size() >= 150);
        for (const std::size_t index : tracked) {
            ++coverage[index];
            nearCoverage[index] += servers[index].failureDomain == host.failureDomain ? 1 : 0;
        }
    }
    const auto [least, most] = std::minmax_element(coverage.begin(), coverage.end());
    CAPTURE(*least, *most);
    REQUIRE(*least >= 12);
    REQUIRE(*most <= 20);
    REQUIRE(*std::min_element(nearCoverage.begin(), nearCoverage.end()) >= 5);
}

// Guards against hosts replacing most of their subset whenever one host joins or leaves.
TEST_CASE("A leaving host changes little for the others", "[subset]")
{
    const auto servers = makeServers(3900, 20, 3);
    const auto hosts = makeHosts(330, 20);
    const auto fewer = std::span(hosts).first(329);
    std::size_t kept = 0;
    std::size_t before = 0;
    for (std::size_t index = 0; index < 100; ++index) {
        const auto first = trackedSubset(servers, hosts, hosts[index], 256);
        const auto second = trackedSubset(servers, fewer, hosts[index], 256);
        std::vector<std::size_t> common;
        std::set_intersection(first.begin(), first.end(), second.begin(), second.end(),
                              std::back_inserter(common));
        before += first.size();
        kept += common.size();
    }
    REQUIRE(static_cast<double>(kept) >= 0.94 * static_cast<double>(before));
}

// Guards against untracked servers with unusual fleet sizes, domains without hosts or models with
// few servers.
TEST_CASE("Every server is tracked within the limit for any fleet size", "[subset]")
{
    rc::prop("covered", [] {
        const auto serverDomains = *rc::gen::inRange<std::size_t>(1, 6);
        const auto models = *rc::gen::inRange<std::size_t>(1, 4);
        const auto servers =
                makeServers(*rc::gen::inRange<std::size_t>(1, 150), serverDomains, models);
        const auto hosts = makeHosts(*rc::gen::inRange<std::size_t>(2, 20),
                                     *rc::gen::inRange<std::size_t>(1, 6));
        // Four times the even share for two hosts per server and model.
        const std::size_t limit = 8 * (servers.size() + hosts.size()) / hosts.size() + 4 * models;
        std::vector<std::size_t> coverage(servers.size(), 0);
        for (const TrackingHost &host : hosts) {
            const auto tracked = trackedSubset(servers, hosts, host, limit);
            RC_ASSERT(tracked.size() <= limit);
            RC_ASSERT(tracked == trackedSubset(servers, hosts, host, limit));
            for (const std::size_t index : tracked)
                ++coverage[index];
        }
        for (const std::size_t count : coverage)
            RC_ASSERT(count >= std::min<std::size_t>(2, hosts.size()));
    });
}

// Guards against services that no host serves, because there are more of them than a host tracks
// servers.
TEST_CASE("Each service is tracked by every host, however many services there are", "[subset]")
{
    constexpr std::size_t limit = 20;
    const auto services = GENERATE(std::size_t{1}, std::size_t{10}, std::size_t{22},
                                   std::size_t{40}, std::size_t{400});
    const auto serversPerService = GENERATE(std::size_t{1}, std::size_t{3});
    const auto hosts = makeHosts(GENERATE(std::size_t{3}, std::size_t{20}), 3);
    const auto servers = makeServers(services * serversPerService, 1, services);
    for (const TrackingHost &host : hosts)
        REQUIRE(trackedSubset(servers, hosts, host, limit).size() == servers.size());
    for (const BackendServer &server : servers)
        REQUIRE(trackingHosts(servers, hosts, server.name, limit).size() == hosts.size());
}

// Guards against servers that get half of their hosts, and hosts without a server of a service,
// because the other half is sought in failure domains that have no host.
TEST_CASE("A server gets all of its hosts from one failure domain if there is no other", "[subset]")
{
    constexpr std::size_t limit = 20;
    const auto hostCount = GENERATE(std::size_t{3}, std::size_t{20}, std::size_t{60});
    const auto one = makeHosts(hostCount, 1);
    auto uneven = one;
    uneven.front().failureDomain = FailureDomainName("d1");
    const auto several = makeHosts(hostCount, 3);
    const auto servers =
            makeServers(90, 1, GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{45}));
    for (const BackendServer &server : servers) {
        const std::size_t expected = trackingHosts(servers, several, server.name, limit).size();
        REQUIRE(trackingHosts(servers, one, server.name, limit).size() == expected);
        REQUIRE(trackingHosts(servers, uneven, server.name, limit).size() == expected);
    }
}

// Guards against servers that no host uses, because the limit is for large fleets of hosts and few
// hosts share many servers.
TEST_CASE("Each server is tracked by some host, however few hosts there are", "[subset]")
{
    constexpr std::size_t limit = 20;
    rc::prop("covered", [] {
        const auto models = *rc::gen::inRange<std::size_t>(1, 6);
        const auto servers = makeServers(*rc::gen::inRange<std::size_t>(1, 300),
                                         *rc::gen::inRange<std::size_t>(1, 10), models);
        const auto hosts = makeHosts(*rc::gen::inRange<std::size_t>(1, 20),
                                     *rc::gen::inRange<std::size_t>(1, 10));
        std::vector<std::size_t> coverage(servers.size(), 0);
        for (const TrackingHost &host : hosts) {
            for (const std::size_t index : trackedSubset(servers, hosts, host, limit))
                ++coverage[index];
        }
        for (const std::size_t count : coverage)
            RC_ASSERT(count >= 1);
    });
}
