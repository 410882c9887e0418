#include "entry/http/addresshandler.h"

#include "entry/calls/callbinding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasyard {

namespace {

constexpr int sameDomainWeight = 10;
constexpr int sameRegionWeight = 3;
constexpr int otherRegionWeight = 1;

int weightOf(const MemberRecord &record, const FailureDomainName &domain, const std::string &region)
{
    if (record.failureDomain == domain)
        return sameDomainWeight;
    return record.region == region ? sameRegionWeight : otherRegionWeight;
}

} // namespace

HttpResponse addressResponse(const EntryState &state, const FailureDomainName &clientFailureDomain)
{
    const FailureDomainName &domain =
            clientFailureDomain.isEmpty() ? state.settings.failureDomain : clientFailureDomain;
    const auto members = state.members();
    std::vector<const MemberRecord *> usable;
    for (const MemberRecord &record : *members) {
        if (record.state == MemberState::Alive)
            usable.push_back(&record);
    }
    std::stable_sort(usable.begin(), usable.end(), [&](const auto *left, const auto *right) {
        return weightOf(*left, domain, state.settings.region)
                > weightOf(*right, domain, state.settings.region);
    });
    const Milliseconds now = state.systemClock.now();
    nlohmann::json hosts = nlohmann::json::array();
    for (const MemberRecord *record : usable) {
        nlohmann::json host;
        host["host"] = record->host.toString();
        host["address"] = record->callerAddress;
        host["failure_domain"] = record->failureDomain.toString();
        host["weight"] = weightOf(*record, domain, state.settings.region);
        host["incarnation"] = formatCallBinding({record->incarnation, now}, state.positions);
        hosts.push_back(std::move(host));
    }
    nlohmann::json body;
    body["addresses"] = std::move(hosts);
    body["keep_ms"] = addressLifetime.count();
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

} // namespace sassafrasyard
