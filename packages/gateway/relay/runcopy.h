#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/** The requests of one call to copy the memory of its run. */
class CopyRequests
{
public:
    /** Records that a request is about to be sent. */
    void begin();
    /** Records the end of a request. @param isAnswered whether the engine has answered it. */
    void end(bool isAnswered);
    /** Returns whether an engine may still carry a request out. */
    bool mayBeInProgress() const;

private:
    int pendingRequests = 0;
    bool isAnswerLost = false;
};

/**
 * A copy of a run's memory on another engine that is refreshed at intervals during the run.
 *
 * The run can continue from the copy even after its engine is lost; the other engine recomputes
 * what was added since the last refresh. The run is never stopped for copying, because a copy that
 * queues behind others on a link would stall the stream meanwhile. Does not refer to the relay of
 * the stream, which may end first.
 */
class RunCopy : public std::enable_shared_from_this<RunCopy>
{
public:
    /**
     * Creates a copy that is not started.
     *
     * @param source the placement of the run.
     * @param work describes the run, under the request name of the copy, and is bound to the
     *     software version of the source.
     * @param requestId identifies the call at the engines.
     * @param refreshInterval in milliseconds.
     * @param requests records the requests to the engine.
     */
    RunCopy(GatewayDependencies &dependencies, StreamPlacement source, WorkRequest work,
            std::string requestId, Milliseconds refreshInterval,
            std::shared_ptr<CopyRequests> requests);
    RunCopy(const RunCopy &) = delete;
    RunCopy &operator=(const RunCopy &) = delete;

    /** Starts to copy. @param isUrgent whether the run will continue at the copy soon. */
    void start(bool isUrgent);
    /**
     * Returns the placement at which the run can continue, if any. The caller then owns the
     * reservation and refreshing ends.
     */
    std::optional<StreamPlacement> take();
    /**
     * Like take(), but waits for a first copy in progress; without a result the copy is abandoned.
     */
    boost::asio::awaitable<std::optional<StreamPlacement>> waitAndTake();
    /** Returns whether take() would return a placement. */
    bool isReady() const;
    /** Stops copying and releases the reservation. */
    void abandon();
    /** Returns whether there is no usable copy and none will follow. */
    bool hasFailed() const;

private:
    boost::asio::awaitable<void> run(bool isUrgent);
    boost::asio::awaitable<bool> copyTo(const ServerEntry &chosen);
    boost::asio::awaitable<bool> update();
    void recordFull(const BackendServerName &server);
    boost::asio::awaitable<void> waitForRefresh();
    bool isServerUsable(const BackendServerName &server) const;
    bool isTargetUsable() const;
    void release();

    GatewayDependencies &dependencies;
    StreamPlacement source;
    WorkRequest work;
    std::string requestId;
    Milliseconds refreshInterval;
    std::shared_ptr<CopyRequests> requests;
    boost::asio::steady_timer refreshTimer;
    /** Expires when the first copy is complete or all targets have failed. */
    boost::asio::steady_timer firstResultTimer;
    std::optional<StreamPlacement> target;
    bool hasFirstResult = false;
    bool isEnding = false;
};

} // namespace sassafrasyard
