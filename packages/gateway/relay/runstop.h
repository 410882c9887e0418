#pragma once

#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/runevidence.h"
#include "gateway/relay/stoprecord.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Describes the run that a RunStop stops. */
struct RunStopOrder
{
    /** The name of the service. */
    std::string service;
    /** The placement of the run. */
    StreamPlacement source;
    /**
     * The placement at which the run can continue, with the copy that exists there so far. Without
     * it, another engine of the same software version is reserved.
     */
    std::optional<StreamPlacement> target;
    /** The request to the dispatcher for that reservation. */
    WorkRequest work;
    /** Identifies the call at the engines. */
    std::string requestId;
    /** Whether the caller can take the stream up at another host. */
    bool isResumable = false;
    /** When stopping ends without success, on the clock that counts suspension. */
    Milliseconds endAt{0};
    /** Whether the first answer ends stopping, whatever it says. */
    bool isAskedOnce = false;
    /** Returns whether the engine may be busy with a request to copy the run. */
    std::function<bool()> mayBeCopying = [] {
        return false;
    };
};

/**
 * Stops a run at its engine, so that it can continue on another one.
 *
 * An engine may work on a run whose connection is closed, and a silent one may go on. Therefore a
 * run continues elsewhere only after evidence that it has ended; see showsRunEnd(). Until then, the
 * request is repeated. Does not refer to the relay of the stream after abandon().
 */
class RunStop : public std::enable_shared_from_this<RunStop>
{
public:
    /** What is known of the run at its engine. */
    enum class Result {
        /** The engine has not answered yet. */
        Pending,
        /** The engine does not work on the run any more. */
        Ended,
        /** The engine goes on with the run, or the time is over. */
        Declined,
    };

    /** Creates an object that has not begun. @param onEnd is called with the final result. */
    RunStop(GatewayDependencies &dependencies, RunStopOrder order,
            std::function<void(Result)> onEnd);
    RunStop(const RunStop &) = delete;
    RunStop &operator=(const RunStop &) = delete;

    /** Starts to ask the engine. */
    void start();
    /** Repeats the request if the engine declines, because the stream has lost its connection. */
    void insist();
    /**
     * Waits until it is known whether a run has ended whose stream was closed after a request.
     *
     * The close may have another reason than the request, and the engine may answer that only once
     * it has copied the memory. So it is asked once more meanwhile: that it has no such run, or is
     * busy with the former request, shows at once that it has stopped the run.
     *
     * @return false if the engine may still work on the run, and after abandon().
     */
    boost::asio::awaitable<bool> confirmEnd();
    /** Ends at an instant at the latest, without success if there is no result before. */
    void endBy(Milliseconds instant);
    /** Waits for the result. @return Declined after abandon(). */
    boost::asio::awaitable<Result> finish();
    /** Returns whether the result is Ended. */
    bool hasEnded() const;
    /** Returns how the order ended, as in its log line, or an empty text before that. */
    const std::string &outcome() const;
    /** Returns the requests sent so far and their answers. */
    const std::shared_ptr<StopRecord> &record() const;
    /** Records that an event of the run has arrived, which shows that its engine works on it. */
    void recordEvent();
    /**
     * Returns the next placement at which the run can continue, the one with the most memory first,
     * or nothing if none is left.
     */
    std::optional<StreamPlacement> takeContinuation();
    /** Returns whether the run can continue at the target with the copy that existed before. */
    bool hasUsableTarget() const;
    /** Returns the target of the order, which was not used; its reservation passes to the caller.
     */
    std::optional<StreamPlacement> takeTarget();
    /** Ends waiting, and frees the memory and the reservation that were not used. */
    void abandon();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> reserveTarget();
    bool isTarget(const std::optional<BackendServerName> &server) const;
    std::optional<BackendServerName> findOtherEngine() const;
    boost::asio::awaitable<RunStopResult> ask(Error &reason);
    boost::asio::awaitable<void> askForConfirmation();
    boost::asio::awaitable<void> confirmBusyEngine(std::set<std::uint32_t> earlier);
    void applyConfirmation(const RunStopResult &answer);
    bool isSilentForLong() const;
    bool needsConfirmation() const;
    void confirm(std::string_view evidence);
    boost::asio::awaitable<void> waitForRepetition();
    void apply(const RunStopResult &answer, RunEvidence evidence, const Error &reason);
    boost::asio::awaitable<bool> isHostCutOff(bool wasUnreached);
    RunEvidence evidenceOf(const RunStopResult &answer) const;
    Milliseconds unansweredTime(RunEvidence evidence);
    bool isDeclined(const RunStopResult &answer, RunEvidence evidence) const;
    bool hasSourceLeft() const;
    bool isSourceReplaced() const;
    bool isUsable(const StreamPlacement &placement) const;
    bool mayReturn() const;
    void end(Result newResult, std::string_view outcome, std::string_view detail);
    void dropUnusedMemory();

    GatewayDependencies &dependencies;
    RunStopOrder order;
    std::function<void(Result)> onEnd;
    std::shared_ptr<StopRecord> stopRecord;
    /** When the process of the engine was started; nothing if it had no entry or stated none. */
    std::optional<std::int64_t> sourceStartedAt;
    /** Since when the engine has not answered; nothing if it answered the last request. */
    std::optional<Milliseconds> unansweredSince;
    Milliseconds repetitionPause;
    boost::asio::steady_timer repetitionTimer;
    boost::asio::steady_timer endTimer;
    boost::asio::steady_timer confirmationTimer;
    /** When confirmEnd() was called. */
    std::optional<Milliseconds> confirmationSince;
    /** Whether the engine is known not to work on the run, perhaps before the result. */
    bool isEndConfirmed = false;
    std::uint32_t requestCount = 0;
    /** The numbers of the requests without an answer. */
    std::set<std::uint32_t> outstandingRequests;
    /** Whether each request that has ended since then was sent and got no answer. */
    bool hasLostAllAnswers = true;
    Result result = Result::Pending;
    /** The memory of the stopped run at its engine. */
    std::optional<MemoryCopy> memory;
    bool isCopied = false;
    /** Whether a continuation was sent that uses the memory, which then frees it. */
    bool isMemoryUsed = false;
    std::string endOutcome;
    RunConnection connection = RunConnection::Open;
    bool isAbandoned = false;
};

} // namespace sassafrasyard
