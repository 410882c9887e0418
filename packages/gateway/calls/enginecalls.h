#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace sassafrasyard {

/** Asks an engine to copy the memory of a run to another engine. */
struct MoveOrder
{
    /** The address of the engine that runs the call, "IP:port". */
    std::string sourceAddress;
    /** The address of the engine that gets the copy, "IP:port". */
    std::string targetAddress;
    /** The call. */
    std::string requestId;
    /** Whether the run stops first and is to go on from the copy; otherwise it continues. */
    bool isFinal = false;
};

/** The calls to engines besides those of callers; supplied by the platform's adapter. */
struct EngineCalls
{
    /**
     * Copies a run's memory and returns when the copy is complete; a further copy to the same
     * engine holds only what is new.
     *
     * Fails with NotFound if there is no such run and BackendServerRefused or PlatformUnavailable
     * otherwise.
     */
    std::function<boost::asio::awaitable<std::optional<MemoryCopy>>(MoveOrder, Milliseconds timeout,
                                                                    Error &)>
            moveMemory;
    /** Frees a moved copy that will not be used. */
    std::function<boost::asio::awaitable<void>(MemoryCopy)> dropMemory;
};

} // namespace sassafrasyard
