#include "gateway/relay/statusservice.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasyard {

namespace {

int distance(const ServingHost &host, const FailureDomainName &domain, const std::string &region)
{
    if (host.failureDomain == domain)
        return 0;
    return host.region == region ? 1 : 2;
}

nlohmann::json age(std::optional<Milliseconds> value)
{
    return value ? nlohmann::json(value->count()) : nlohmann::json();
}

nlohmann::json describe(const ServerEntry &entry)
{
    nlohmann::json server;
    server["name"] = entry.name.toString();
    server["service"] = entry.service;
    server["address"] = entry.address;
    server["failure_domain"] = entry.failureDomain.toString();
    server["leaving"] = entry.isLeaving;
    server["revision"] = entry.revision;
    return server;
}

nlohmann::json describe(const MemberRecord &record)
{
    constexpr std::array<const char *, 4> states = {"alive", "suspect", "leaving", "dead"};
    nlohmann::json member;
    member["host"] = record.host.toString();
    member["incarnation"] = record.incarnation.toString();
    member["address"] = record.callerAddress;
    member["state"] = states[static_cast<std::size_t>(record.state)];
    member["serving"] = record.isServing;
    return member;
}

} // namespace

std::vector<ServingHost> servingHosts(const EntryState &entry, bool isSelfServing,
                                      const FailureDomainName &domain, const std::string &region)
{
    std::vector<ServingHost> hosts;
    const auto members = entry.members();
    for (const MemberRecord &record : *members) {
        const bool isSelf = record.incarnation == entry.incarnation;
        const bool isServing = isSelf ? isSelfServing : record.isServing;
        if (isServing && record.state == MemberState::Alive)
            hosts.push_back({record.callerAddress, record.failureDomain, record.region});
    }
    std::stable_sort(hosts.begin(), hosts.end(),
                     [&](const ServingHost &left, const ServingHost &right) {
                         return distance(left, domain, region) < distance(right, domain, region);
                     });
    return hosts;
}

std::string gatewayStateText(GatewayServices &services)
{
    const Milliseconds now = services.clock.now();
    nlohmann::json state;
    state["host"] = services.entry.settings.host.toString();
    state["incarnation"] = services.entry.incarnation.toString();
    state["ready"] = services.serving.isReady(now);
    state["draining"] = services.serving.isDraining();
    const auto configuration = services.serving.current();
    state["configuration"]["version"] = configuration ? configuration->version : 0;
    state["configuration"]["routes"] = configuration ? configuration->routes.size() : 0;
    state["configuration"]["age_ms"] = age(services.serving.configurationAge(now));
    state["servers"]["age_ms"] = age(services.serving.serversAge(now));
    state["servers"]["entries"] = nlohmann::json::array();
    for (const ServerEntry &entry : services.servers.entries())
        state["servers"]["entries"].push_back(describe(entry));
    state["members"] = nlohmann::json::array();
    const auto members = services.entry.members();
    for (const MemberRecord &record : *members)
        state["members"].push_back(describe(record));
    state["active_requests"] = services.entry.activeRequests.load();
    state["idle_connections"] = services.connections.idleCount();
    return state.dump(2);
}

} // namespace sassafrasyard
