#pragma once

#include "gateway/routes/route.h"
#include "gateway/routes/routetable.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The part of one version of the operators' configuration that concerns routed calls. */
struct ServingConfiguration
{
    /** The version number; it only increases. */
    std::uint64_t version = 0;
    /** The routes. */
    RouteTable routes;
    /** The services by name. */
    std::map<std::string, Service, std::less<>> services;
    /** The client accounts; if there are none, no call needs a key. */
    std::vector<RoutedAccount> accounts;
    /** Indices into accounts by key digest. */
    std::map<std::string, std::size_t, std::less<>> accountsByKeyDigest;
    /** Limits on the requests of callers. */
    CallerLimits limits;

    /** Returns the account of a bearer key, or null. @param keyDigest see sha256Hex(). */
    const RoutedAccount *findByKeyDigest(std::string_view keyDigest) const;
    /** Returns a service, or null. */
    const Service *findService(std::string_view name) const;
};

} // namespace sassafrasyard
