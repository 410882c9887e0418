#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace sassafrasyard {

/** A request to an engine to copy the memory of a run to another engine. */
struct MoveOrder
{
    /** The address of the engine that runs the call, "IP:port". */
    std::string sourceAddress;
    /** The address of the engine that receives the copy, "IP:port". */
    std::string targetAddress;
    /** The identifier of the call. */
    std::string requestId;
    /** Whether the run stops before the copy and continues only from it. */
    bool isFinal = false;
};

/** The calls to engines other than forwarded ones; supplied by the platform's adapter. */
struct EngineCalls
{
    /**
     * Copies a run's memory and returns when the copy is complete. A further copy to the same
     * engine transfers only what was added.
     *
     * Fails with NotFound if there is no such run, otherwise with BackendServerRefused or
     * PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<MemoryCopy>>(MoveOrder, Milliseconds timeout,
                                                                    Error &)>
            moveMemory;
    /** Frees a moved copy that is not needed. */
    std::function<boost::asio::awaitable<void>(MemoryCopy)> dropMemory;
};

} // namespace sassafrasyard
