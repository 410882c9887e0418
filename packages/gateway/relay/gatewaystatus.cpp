#include "gateway/relay/gatewaystatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasyard {

namespace {

int localityRank(const ServingHost &host, const FailureDomainName &domain,
                 const std::string &region)
{
    if (host.failureDomain == domain)
        return 0;
    return host.region == region ? 1 : 2;
}

nlohmann::json toJson(std::optional<Milliseconds> value)
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
    server["version"] = entry.softwareVersion.toString();
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
    std::stable_sort(
            hosts.begin(), hosts.end(), [&](const ServingHost &left, const ServingHost &right) {
                return localityRank(left, domain, region) < localityRank(right, domain, region);
            });
    return hosts;
}

std::string gatewayStateText(GatewayDependencies &dependencies)
{
    const Milliseconds now = dependencies.clock.now();
    nlohmann::json state;
    state["host"] = dependencies.entry.settings.host.toString();
    state["incarnation"] = dependencies.entry.incarnation.toString();
    state["ready"] = dependencies.serving.isReady(now);
    state["draining"] = dependencies.serving.isDraining();
    const auto configuration = dependencies.serving.current();
    state["configuration"]["version"] = configuration ? configuration->version : 0;
    state["configuration"]["routes"] = configuration ? configuration->routes.size() : 0;
    state["configuration"]["age_ms"] = toJson(dependencies.serving.configurationAge(now));
    state["servers"]["age_ms"] = toJson(dependencies.serving.serversAge(now));
    state["servers"]["entries"] = nlohmann::json::array();
    for (const ServerEntry &entry : dependencies.servers.entries()) {
        nlohmann::json server = describe(entry);
        server["evacuated"] = dependencies.servers.isEvacuated(entry.name);
        if (const auto limit = dependencies.limiter.limit(ServerCatalogue::runName(entry)))
            server["call_limit"] = *limit;
        state["servers"]["entries"].push_back(std::move(server));
    }
    state["contacts"] = nlohmann::json::object();
    for (const std::string &service : dependencies.contacts.services())
        state["contacts"][service] = std::string(toString(dependencies.contacts.state(service)));
    state["members"] = nlohmann::json::array();
    const auto members = dependencies.entry.members();
    for (const MemberRecord &record : *members)
        state["members"].push_back(describe(record));
    state["active_requests"] = dependencies.entry.activeRequests.load();
    state["idle_connections"] = dependencies.connections.idleCount();
    return state.dump(2);
}

} // namespace sassafrasyard
