#pragma once

#include "network/network.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** What a relay does to the connections that pass through it. */
struct RelayFault
{
    /** The kinds of faults. */
    enum class Kind {
        /** Bytes pass. */
        None,
        /** No byte passes on any connection; what was read before passes after the fault. */
        Stall,
        /** All connections are closed, and new ones at once. */
        Cut,
        /** Every piece of a reply is delayed. */
        Delay,
        /** The first connection that has passed so many reply bytes is closed, once. */
        CutAfterBytes,
        /** The next reply is discarded and its connection closed, after the request has passed. */
        DropReply,
        /** An event is put into the next stream behind a number of its own events, once. */
        InjectEvent,
        /** A text in replies is replaced by another of the same length. */
        ReplaceText,
    };

    /** The kind. */
    Kind kind = Kind::None;
    /** Milliseconds for Delay, bytes for CutAfterBytes, events for InjectEvent. */
    std::uint64_t amount = 0;
    /** The event's data for InjectEvent, where $GENERATION stands for the stream's generation;
     * the text that is replaced for ReplaceText. */
    std::string text;
    /** The new text for ReplaceText. */
    std::string replacement;
};

/** A TCP forwarder on loopback that disturbs a link on request. */
class FaultRelay
{
public:
    /**
     * Starts listening.
     *
     * @param context runs in one thread.
     * @throws ScenarioError ProcessFailed if the port cannot be bound.
     */
    FaultRelay(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &target);
    /** Stops listening and closes all connections. The context must have stopped. */
    ~FaultRelay();
    FaultRelay(const FaultRelay &) = delete;
    FaultRelay &operator=(const FaultRelay &) = delete;

    /** Switches the fault; takes effect before the call returns. */
    void setFault(RelayFault fault);
    /** Returns how many connections began with the given bytes. */
    std::size_t countRequests(std::string_view start) const;
    /** Returns how often a fault that acts once has acted. */
    std::size_t appliedFaultCount() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
