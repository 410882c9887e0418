#pragma once

#include "network/network.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** A fault that a relay applies to its connections. */
struct RelayFault
{
    /** The kinds of faults. */
    enum class Kind {
        /** Bytes are forwarded unchanged. */
        None,
        /** No bytes are forwarded; bytes that were already read are forwarded after the fault. */
        Stall,
        /** All connections are closed, and new ones are closed as soon as they are accepted. */
        Cut,
        /** Each block of bytes read from the server is delayed. */
        Delay,
        /** The first connection that has forwarded this many reply bytes is closed, once. */
        CutAfterBytes,
        /** The next reply to a forwarded request is discarded and its connection closed, once. */
        DropReply,
        /** An event is inserted after a given number of events of a stream, once. */
        InjectEvent,
        /** A text in replies is replaced by another one, which must have the same length. */
        ReplaceText,
    };

    /** The kind of fault. */
    Kind kind = Kind::None;
    /** Milliseconds for Delay, bytes for CutAfterBytes, events for InjectEvent. */
    std::uint64_t amount = 0;
    /** The event's data for InjectEvent, in which $GENERATION is replaced by the stream's
     * generation; the text to be replaced for ReplaceText. */
    std::string text;
    /** The new text for ReplaceText. */
    std::string replacement;
};

/** A TCP proxy on the loopback address that injects network faults. */
class FaultRelay
{
public:
    /**
     * Starts listening and forwarding.
     *
     * @param context runs all connections, in one thread.
     * @param listen the address to listen on.
     * @param target the server to which connections are forwarded.
     * @throws ScenarioError ProcessFailed if the port cannot be bound.
     */
    FaultRelay(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &target);
    /** Stops listening and closes all connections. The context must have stopped. */
    ~FaultRelay();
    FaultRelay(const FaultRelay &) = delete;
    FaultRelay &operator=(const FaultRelay &) = delete;

    /** Replaces the fault; the new one is in force when the call returns. */
    void setFault(RelayFault fault);
    /** Returns how many connections began with a text, of at most 64 bytes. */
    std::size_t countRequests(std::string_view start) const;
    /** Returns how many one-time faults have been applied. */
    std::size_t appliedFaultCount() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
