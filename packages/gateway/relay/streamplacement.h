#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/** Where a part of a stream runs. */
struct StreamPlacement
{
    /** The name under which the dispatcher knows it. */
    RequestName name;
    /** The backend server. */
    BackendServerName server;
    /** The server's address, "IP:port". */
    std::string address;
    /** The copy of the run's memory that it goes on from. */
    std::optional<MemoryCopy> source;
};

} // namespace sassafrasyard
