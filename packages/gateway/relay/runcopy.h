#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/**
 * A copy of a run's memory on another engine, brought up to date at intervals while the run goes
 * on.
 *
 * The run can go on from the copy, also after its own engine is lost; the other engine reads anew
 * what came since the last update. The run is never stopped for a copy: a copy that waits behind
 * others on a link would stall the stream for that long. Needs nothing of the stream's relay, which
 * may end first.
 */
class RunCopy : public std::enable_shared_from_this<RunCopy>
{
public:
    /**
     * Creates a copy that has not begun.
     *
     * @param source where the run is.
     * @param work describes the run; its name is that of the copy.
     * @param refreshInterval how often the copy is brought up to date, in milliseconds.
     */
    RunCopy(GatewayDependencies &dependencies, StreamPlacement source, WorkRequest work,
            std::string requestId, Milliseconds refreshInterval);
    RunCopy(const RunCopy &) = delete;
    RunCopy &operator=(const RunCopy &) = delete;

    /** Starts to copy. @param isUrgent whether the run will go on there soon. */
    void start(bool isUrgent);
    /** Returns where the run can go on, if it can; the caller owns the place and the copy ends. */
    std::optional<StreamPlacement> take();
    /** As take(), but waits for a first copy that is in progress. */
    boost::asio::awaitable<std::optional<StreamPlacement>> waitAndTake();
    /** Ends the copy and frees its place. */
    void abandon();
    /** Returns whether there is no copy and none will come. */
    bool hasFailed() const;

private:
    boost::asio::awaitable<void> run(bool isUrgent);
    boost::asio::awaitable<bool> copyTo(const ServerEntry &chosen);
    boost::asio::awaitable<bool> update();
    boost::asio::awaitable<void> waitForRefresh();
    bool isTargetUsable() const;
    void release();

    GatewayDependencies &dependencies;
    StreamPlacement source;
    WorkRequest work;
    std::string requestId;
    Milliseconds refreshInterval;
    boost::asio::steady_timer refreshTimer;
    /** Expires with the first copy or the last failure. */
    boost::asio::steady_timer firstResultTimer;
    std::optional<StreamPlacement> target;
    bool hasFirstResult = false;
    bool isEnding = false;
};

} // namespace sassafrasyard
