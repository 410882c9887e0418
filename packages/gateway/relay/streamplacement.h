#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/** The backend server that produces a part of a stream. */
struct StreamPlacement
{
    /** The request name of the part at the dispatcher. */
    RequestName name;
    /** The backend server. */
    BackendServerName server;
    /** The server's address, "IP:port". */
    std::string address;
    /** The memory copy from which the run continues, if any. */
    std::optional<MemoryCopy> source;
    /** Whether this is the engine that stopped the run before. */
    bool isReturn = false;
    /** The software version of the server; empty if its entry was gone. */
    std::optional<SoftwareVersion> softwareVersion;
};

} // namespace sassafrasyard
