#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/runstop.h"
#include "gateway/relay/stoprecord.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/**
 * All requests to stop the runs of one call.
 *
 * A request belongs to one part of the stream and shows nothing about the run of another one.
 */
class RunStops
{
public:
    /** Called with the result of the current request, unless its part has ended before. */
    using EndHook = std::function<void(RunStop::Result)>;

    /** Creates an object without requests. @param call outlives it. */
    RunStops(GatewayDependencies &dependencies, RoutedCall &call);
    /** Abandons all requests. */
    ~RunStops();
    RunStops(const RunStops &) = delete;
    RunStops &operator=(const RunStops &) = delete;

    /** Begins the next part; its predecessor's request may still lead to a continuation. */
    void beginPart();
    /** Returns the number of the current part, from 1 on; 0 before the first one. */
    std::uint32_t part() const;

    /**
     * Starts to stop the run of the current part; a former request for it is abandoned.
     *
     * @param isTargetBackup whether the target of the order is the backup of the run.
     */
    void start(RunStopOrder order, bool isTargetBackup, EndHook onEnd);
    /** Ends the current request at an instant at the latest, without success. */
    void endBy(Milliseconds instant);
    /** Returns whether the current part has a request that was not dropped. */
    bool hasCurrent() const;
    /** Returns whether the run of the current part has ended. */
    bool hasEnded() const;
    /** Returns how the current request ended; empty without one or before its end. */
    std::string outcome() const;
    /**
     * Returns whether the target of the current request is the backup and is usable. Then
     * takeContinuation() returns it without waiting for the result.
     */
    bool hasUsableBackup() const;
    /** Records that an event of the current part has arrived. */
    void recordEvent();
    /**
     * Takes the target of the current request, and drops that.
     *
     * @param isBackup receives whether the target was the backup.
     */
    std::optional<StreamPlacement> takeDeclinedTarget(bool &isBackup);

    /** Waits for the result of the current request, or until the caller has left. */
    boost::asio::awaitable<RunStop::Result> finish();
    /** Like RunStop::confirmEnd() for the current request; false also once the caller has left. */
    boost::asio::awaitable<bool> confirmEnd();
    /**
     * Returns the next placement at which a run that was stopped can continue. The run of the
     * latest part has the most memory.
     */
    boost::asio::awaitable<std::optional<StreamPlacement>> takeContinuation();

    /**
     * Returns what the requests may have done to the run of a part. A request for an earlier part
     * at the same engine names the same call, so it may still stop this one.
     *
     * @param server the engine of the part.
     */
    StopEffect effect(std::uint32_t part, const BackendServerName &server) const;
    /** Waits for an outstanding answer about a part, or until the caller has left. */
    boost::asio::awaitable<void> waitForAnswer(std::uint32_t part);

    /** Returns whether a request of an earlier part may still lead to a continuation. */
    bool hasFormer() const;
    /** Abandons the requests of earlier parts, whose runs are continued. */
    void dropFormer();
    /** Abandons all requests. */
    void drop();

private:
    boost::asio::awaitable<RunStop::Result> waitFor(std::shared_ptr<RunStop> waiting);
    void dropCurrent();

    GatewayDependencies &dependencies;
    RoutedCall &call;
    std::uint32_t partCount = 0;
    std::shared_ptr<RunStop> current;
    bool isTargetBackup = false;
    /**
     * The requests of earlier parts, oldest first, while the current part may still be refused and
     * these runs be continued instead.
     */
    std::vector<std::shared_ptr<RunStop>> former;
    /** The requests that were sent, also dropped ones, by the part that they were meant for. */
    std::vector<std::pair<std::uint32_t, std::shared_ptr<StopRecord>>> records;
};

} // namespace sassafrasyard
