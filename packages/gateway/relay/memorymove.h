#pragma once

#include "gateway/relay/gatewayservices.h"
#include "gateway/relay/streamplace.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/**
 * Keeps a copy of a run's memory on another engine, and moves the run there when it has to go.
 *
 * The run continues while it is copied, which takes a while; only the last copy, which holds what
 * came since the one before, stops it. Needs nothing of the stream's relay, which may end first.
 */
class MemoryMove : public std::enable_shared_from_this<MemoryMove>
{
public:
    /**
     * Creates a move that has not begun.
     *
     * @param source where the run is.
     * @param work describes the run; its name is that of the copy.
     * @param refreshInterval how often the copy is brought up to date, in milliseconds.
     */
    MemoryMove(GatewayServices &services, StreamPlace source, WorkRequest work,
               std::string requestId, Milliseconds refreshInterval);
    MemoryMove(const MemoryMove &) = delete;
    MemoryMove &operator=(const MemoryMove &) = delete;

    /** Starts to copy. @param isUrgent whether the run has to go at once. */
    void start(bool isUrgent);
    /** Moves the run after the copy in progress, if there is one. */
    void requestFinal();
    /** Tells the move that the run's engine is lost, so that only what was copied counts. */
    void reportLost();
    /** Waits for the end. @return where the run can go on, or nothing; the caller owns the place.
     */
    boost::asio::awaitable<std::optional<StreamPlace>> finish();
    /** Tells the move that its result is not wanted any more. */
    void abandon();
    /** Returns whether it has ended without a copy. */
    bool hasFailed() const;
    /** Returns whether the copy's engine is about to go itself. */
    bool isTargetLeaving() const;

private:
    boost::asio::awaitable<void> run(bool isUrgent);
    boost::asio::awaitable<bool> copyTo(const ServerEntry &chosen);
    boost::asio::awaitable<bool> copyOnce(bool isFinal);
    boost::asio::awaitable<void> waitForRefresh();
    bool isKept() const;
    void end();

    GatewayServices &services;
    StreamPlace source;
    WorkRequest work;
    std::string requestId;
    Milliseconds refreshInterval;
    boost::asio::steady_timer wake;
    boost::asio::steady_timer ended;
    std::optional<StreamPlace> target;
    bool isFinalWanted = false;
    bool isSourceLost = false;
    bool isAbandoned = false;
    bool hasEnded = false;
};

} // namespace sassafrasyard
