#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A host that accepts callers, as listed in the directory. */
struct ServingHost
{
    /** The address for callers, "IP:port". */
    std::string callerAddress;
    /** Its failure domain. */
    FailureDomainName failureDomain;
    /** Its region. */
    std::string region;
};

/**
 * Returns the hosts that accept callers, ordered by distance: those of the given failure domain
 * first, then those of the region, then the others.
 *
 * @param isSelfServing whether this host accepts callers; its own membership record may lag.
 */
std::vector<ServingHost> servingHosts(const EntryState &entry, bool isSelfServing,
                                      const FailureDomainName &domain, const std::string &region);

/** Returns the state of the gateway as JSON text, for operators. */
std::string gatewayStateText(GatewayDependencies &dependencies);

} // namespace sassafrasyard
