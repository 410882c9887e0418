#pragma once

#include "core/core.h"
#include "gateway/calls/callcodec.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
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

/** What became of a run that an engine was asked to stop. */
struct RunStopResult
{
    /** What is known of the run. */
    enum class State {
        /** The engine stopped it or has no such run. */
        Stopped,
        /** The engine is alive and declined to stop it. */
        Declined,
        /** The engine did not take the request, such as during an earlier one for the run. */
        Busy,
        /** The engine's address refuses connections. */
        Unreachable,
        /** No connection was accepted or refused in time; the engine may stand still. */
        Unanswered,
        /** This host could not send the request. */
        NotSent,
        /** The engine did not answer, or its answer says nothing of the run. */
        Unknown,
    };

    /** The state. */
    State state = State::Unknown;
    /** The memory of the stopped run at its engine, if it still has it. */
    std::optional<MemoryCopy> memory;
    /** Whether the target of the order has a complete copy of the memory too. */
    bool isCopied = false;
    /** Whether the engine answered, which shows that its process runs. */
    bool hasAnswered = false;
    /** Whether a Busy engine stated that it carries out an earlier request for the same run. */
    bool isInProgress = false;
};

/** What the address of a server shows of the process there. */
struct ProcessAnswer
{
    /** How the address answered. */
    enum class State {
        /** A process answered, or it accepted a connection and has kept it open without an answer.
         */
        Answered,
        /** It closed the connection without an answer: it has too many, or it ends. */
        Closed,
        /** Nothing accepts connections there. */
        Refused,
        /** A connection was neither accepted nor refused in time. */
        Unanswered,
    };

    /** The state. */
    State state = State::Unanswered;
    /**
     * When the process that answered was started, in milliseconds since the Unix epoch; nothing if
     * the answer does not state it.
     */
    std::optional<std::int64_t> startedAt;
};

/**
 * The calls to engines other than forwarded ones; supplied by the platform's adapter.
 *
 * Each call has a connection of its own. Responses to these calls do not say which call they are
 * for, so on a shared connection a late response to another call would be taken for this one's.
 */
struct EngineCalls
{
    /**
     * Copies a run's memory and returns when the copy is complete. A further copy to the same
     * engine transfers only what was added.
     *
     * Fails with NotFound if there is no such run, with Overloaded if the target has no room or
     * can't be reached, otherwise with BackendServerRefused or PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<MemoryCopy>>(MoveOrder, Milliseconds timeout,
                                                                    Error &)>
            moveMemory;
    /**
     * Stops a run, copies its memory to the target and returns when the copy is complete.
     *
     * Unless the run has stopped, the reason receives why.
     *
     * @param order its isFinal is ignored.
     */
    std::function<boost::asio::awaitable<RunStopResult>(MoveOrder order, Milliseconds timeout,
                                                        Error &reason)>
            stopRun;
    /** Frees a moved copy that is not needed. */
    std::function<boost::asio::awaitable<void>(MemoryCopy)> dropMemory;
    /** Asks the process at an address, "IP:port", for its state; also one that is no engine. */
    std::function<boost::asio::awaitable<ProcessAnswer>(std::string address, Milliseconds timeout)>
            askProcess;
};

} // namespace sassafrasyard
