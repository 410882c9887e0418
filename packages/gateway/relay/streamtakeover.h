#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sassafrasyard {

/**
 * Starts a run's continuation on another engine while the engine before still produces events.
 *
 * A continuation that is refused then costs the stream nothing, and the stream does not pause while
 * the other engine admits it. The call must stay until finish() has returned.
 */
class StreamTakeover : public std::enable_shared_from_this<StreamTakeover>
{
public:
    /** Creates a takeover that has not begun. @param onEnd is called once it is decided. */
    StreamTakeover(GatewayDependencies &dependencies, RoutedCall &call, StreamPlacement placement,
                   ForwardingOrder order, std::function<void()> onEnd);
    StreamTakeover(const StreamTakeover &) = delete;
    StreamTakeover &operator=(const StreamTakeover &) = delete;

    /** Starts it. @param timeout until the engine goes on, in milliseconds. */
    void start(Milliseconds timeout);
    /** Waits for its end. @return whether the stream goes on with takeAttempt(). */
    boost::asio::awaitable<bool> finish();
    /** Returns whether it has ended and the stream does not go on there. */
    bool hasFailed() const;
    /** Ends it. */
    void cancel();
    /** Returns the exchange with the engine. Call it once, after finish() has returned true. */
    std::unique_ptr<BackendAttempt> takeAttempt();
    /** Returns the first bytes of the continuation. */
    const std::string &firstBytes() const;
    /** Returns where the stream goes on. */
    const StreamPlacement &placement() const;

private:
    boost::asio::awaitable<void> run(Milliseconds timeout);
    boost::asio::awaitable<bool> readFirstBytes(Milliseconds timeout, Error &reason);

    GatewayDependencies &dependencies;
    RoutedCall &call;
    StreamPlacement target;
    ForwardingOrder order;
    std::function<void()> onEnd;
    std::unique_ptr<BackendAttempt> attempt;
    std::string received;
    boost::asio::steady_timer endTimer;
    bool hasEnded = false;
    bool hasSucceeded = false;
};

} // namespace sassafrasyard
