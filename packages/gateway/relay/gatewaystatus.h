#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A host that takes callers, as the directory names it. */
struct ServingHost
{
    /** The callers' address, "IP:port". */
    std::string callerAddress;
    /** Its failure domain. */
    FailureDomainName failureDomain;
    /** Its region. */
    std::string region;
};

/**
 * Returns the hosts that take callers, those of the given failure domain first, then those of its
 * region.
 */
std::vector<ServingHost> servingHosts(const EntryState &entry, bool isSelfServing,
                                      const FailureDomainName &domain, const std::string &region);

/** Returns the state of this host as JSON text, for operators. */
std::string gatewayStateText(GatewayDependencies &dependencies);

} // namespace sassafrasyard
