#pragma once

#include "gateway/gateway.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sassafrasyard {

/** A service of a drawn fleet. */
struct DrawnService
{
    std::size_t serverCount = 1;
    /** How many of its servers run another software version than the others. */
    std::size_t rareCount = 0;
};

/** Hosts and servers of a drawn number of services, versions and failure domains. */
class DrawnFleet
{
public:
    /** The service and the software version of a group of servers. */
    using VersionKey = std::pair<ModelName, SoftwareVersion>;

    /** Draws a fleet. */
    static DrawnFleet draw()
    {
        // Few services are drawn as often as many, and large services as often as small ones.
        const auto serviceLimit = *rc::gen::element<std::size_t>(1, 3, 25, 60, 400);
        const auto serverLimit = *rc::gen::element<std::size_t>(1, 2, 6, 70);
        const auto hostLimit = *rc::gen::element<std::size_t>(2, 15, 80);
        const auto serviceCount = *rc::gen::inRange<std::size_t>(1, serviceLimit + 1);
        std::vector<DrawnService> services(serviceCount);
        for (DrawnService &service : services) {
            // At most some thousand servers.
            const std::size_t limit =
                    std::max<std::size_t>(1, std::min(serverLimit, 4000 / serviceCount));
            service.serverCount = *rc::gen::inRange<std::size_t>(1, limit + 1);
            service.rareCount = std::min(service.serverCount, *rc::gen::inRange<std::size_t>(0, 4));
        }
        return {std::move(services), *rc::gen::inRange<std::size_t>(1, hostLimit + 1),
                *rc::gen::inRange<std::size_t>(1, 10), *rc::gen::inRange<std::size_t>(1, 10)};
    }

    /** Creates a fleet whose servers and hosts are spread over failure domains in turn. */
    DrawnFleet(std::vector<DrawnService> services, std::size_t hostCount, std::size_t serverDomains,
               std::size_t hostDomains)
    {
        std::size_t number = 0;
        for (std::size_t service = 0; service < services.size(); ++service) {
            for (std::size_t index = 0; index < services[service].serverCount; ++index) {
                BackendServer server;
                server.name = BackendServerName("server-" + std::to_string(++number));
                server.failureDomain = domainName(number % serverDomains);
                server.models = {ModelName("service-" + std::to_string(service))};
                const bool isRare = index < services[service].rareCount;
                server.softwareVersion = SoftwareVersion(isRare ? "rare" : "common");
                this->servers.push_back(std::move(server));
            }
        }
        for (std::size_t index = 0; index < hostCount; ++index)
            this->addHost(domainName(index % hostDomains));
    }

    /** Adds a host. */
    void addHost(FailureDomainName failureDomain)
    {
        MemberRecord member;
        member.host = HostName("host-" + std::to_string(this->members.size()));
        member.incarnation = HostIncarnation("run-" + std::to_string(this->members.size()));
        member.failureDomain = std::move(failureDomain);
        member.peerAddress = "10.0.0.1:" + std::to_string(7000 + this->members.size());
        this->members.push_back(std::move(member));
    }

    /** Marks drawn servers as leaving. */
    void drawLeaving()
    {
        const auto leavingPercent = *rc::gen::element(0, 30, 90);
        for (BackendServer &server : this->servers)
            server.isLeaving = *rc::gen::inRange(0, 100) < leavingPercent;
    }

    /** Returns the subset of a host. */
    ServerSubset subsetOf(const MemberRecord &member) const
    {
        ServerSubset subset({member.host, member.failureDomain});
        subset.setServers(this->servers);
        subset.setHosts(this->members);
        return subset;
    }

    /** Returns the usable servers of each service and version. */
    std::map<VersionKey, std::set<BackendServerName>> usableServers() const
    {
        std::map<VersionKey, std::set<BackendServerName>> usable;
        for (const BackendServer &server : this->servers) {
            if (!server.isLeaving)
                usable[{server.models.front(), server.softwareVersion}].insert(server.name);
        }
        return usable;
    }

    /** Returns a failure domain of servers or hosts. */
    static FailureDomainName domainName(std::size_t index)
    {
        return FailureDomainName("d" + std::to_string(index));
    }

    std::vector<BackendServer> servers;
    std::vector<MemberRecord> members;
};

/** Places calls at one host of a DrawnFleet. */
class PlacingHost
{
public:
    /** Creates a host that uses the servers of a subset. */
    PlacingHost(const MemberRecord &self, const ServerSubset &subset)
        : dispatcher(makeOptions(self))
    {
        this->dispatcher.setBackendServers(subset.allServers(), this->now);
    }

    /**
     * Places a call. @return its server, or nothing if it waits or is refused.
     *
     * @param version the software version to which it is bound, or nothing for any.
     * @param avoided the servers that an earlier attempt of the call met.
     */
    std::optional<BackendServerName> place(const ModelName &service,
                                           const std::optional<SoftwareVersion> &version,
                                           std::vector<BackendServerName> avoided = {})
    {
        WorkRequest request;
        request.name = RequestName("call-" + std::to_string(++this->callCount));
        request.account = ClientAccountName("account");
        request.model = service;
        request.softwareVersion = version;
        request.promptTokens = 100;
        request.avoided = std::move(avoided);
        this->dispatcher.submit(request, this->now);
        for (const Decision &decision : this->dispatcher.takeDecisions()) {
            const auto *assignment = std::get_if<Assignment>(&decision);
            if (assignment == nullptr || assignment->request != request.name)
                continue;
            const BackendServerName server = assignment->server;
            this->dispatcher.recordFinished(request.name, WorkOutcome::Completed, this->now);
            return server;
        }
        this->dispatcher.refuseWaiting(request.name, ErrorCode::NoBackendServer, Milliseconds(0));
        this->dispatcher.takeDecisions();
        return std::nullopt;
    }

    Dispatcher dispatcher;
    Milliseconds now{1000};

private:
    static DispatcherOptions makeOptions(const MemberRecord &self)
    {
        DispatcherOptions options;
        options.host = self.host;
        options.failureDomain = self.failureDomain;
        options.placement = promptQueuePlacement(1);
        return options;
    }

    std::size_t callCount = 0;
};

} // namespace sassafrasyard
