#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasyard {

/** What a backend server is. */
enum class BackendServerKind {
    Engine,
    Service,
};

/** A backend server as the configuration describes it. */
struct BackendServer
{
    /** Its name. */
    BackendServerName name;
    /** An engine or a plain service. */
    BackendServerKind kind = BackendServerKind::Engine;
    /** Its address, "IP:port". */
    std::string address;
    /** The failure domain it stands in. */
    FailureDomainName failureDomain;
    /** The models it serves; for a plain service, the service's name. */
    std::vector<ModelName> models;
    /** How many requests it runs at a time. */
    std::uint32_t slots = 16;
    /** Its memory in tokens. */
    std::uint32_t memoryTokens = 65536;
    /** Whether it refuses an order with a stale fencing token. */
    bool checksFencing = false;
    /** Whether it is leaving and gets no new work. */
    bool isLeaving = false;
};

} // namespace sassafrasyard
