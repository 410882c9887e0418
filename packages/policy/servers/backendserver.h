#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The kind of a backend server. */
enum class BackendServerKind {
    /** A model engine. */
    Engine,
    /** A plain service. */
    Service,
};

/** The configuration of a backend server. */
struct BackendServer
{
    /** Its name. */
    BackendServerName name;
    /** An engine or a plain service. */
    BackendServerKind kind = BackendServerKind::Engine;
    /** Its address, "IP:port". */
    std::string address;
    /** The failure domain that it is in. */
    FailureDomainName failureDomain;
    /** The models it serves; for a plain service, the service's name. */
    std::vector<ModelName> models;
    /** The version of its software, not of the models; empty if it is not stated. */
    SoftwareVersion softwareVersion;
    /** The maximum number of requests that it runs at a time. */
    std::uint32_t slots = 16;
    /** The total memory of an engine, in tokens; unused for a plain service. */
    std::uint32_t memoryTokens = 65536;
    /** Whether it refuses orders with a stale fencing token. */
    bool checksFencing = false;
    /** Whether it is leaving and gets no new requests. */
    bool isLeaving = false;
    /**
     * Whether this host learns of the work of other hosts on it. Other servers get requests only
     * where too few tracked ones may run them.
     */
    bool isTracked = true;
};

} // namespace sassafrasyard
