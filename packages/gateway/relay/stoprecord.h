#pragma once

#include "gateway/calls/enginecalls.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string_view>

namespace sassafrasyard {

/**
 * What the requests to stop a run may have done to it, as far as its engine's answers show.
 *
 * Of several requests, the one with the last effect in this order counts.
 */
enum class StopEffect {
    /** No request can have reached the engine. */
    None,
    /** The engine has no such run, and no earlier request can have stopped it. */
    Absent,
    /** The engine said that it has left the run as it is; another request may have stopped it. */
    Declined,
    /** The answer to a request is outstanding. */
    Pending,
    /** The answer to a request was lost; the engine may have stopped the run or do so later. */
    Unknown,
    /** The engine has stopped the run. */
    Stopped,
};

/** Returns the name of an effect in logs and metrics. */
std::string_view toString(StopEffect effect);

/**
 * The requests of one RunStop and their answers; two may be outstanding at once.
 *
 * It outlives the RunStop at its relay, because an engine may act on a request that nobody awaits
 * any more.
 */
class StopRecord
{
public:
    /** Creates a record without requests. @param server the engine that gets the requests. */
    StopRecord(const boost::asio::any_io_executor &executor, BackendServerName server);
    StopRecord(const StopRecord &) = delete;
    StopRecord &operator=(const StopRecord &) = delete;

    /** Returns the engine that gets the requests. */
    const BackendServerName &server() const;
    /** Records that a request is about to be sent. */
    void recordRequest();
    /**
     * Records the answer to a request, or that there is none.
     *
     * @param isFromRun whether the engine's process is still the one that runs the call.
     */
    void recordAnswer(const RunStopResult &answer, bool isFromRun);
    /** Returns what the requests may have done so far. */
    StopEffect effect() const;
    /** Returns whether an answer is outstanding. */
    bool isPending() const;
    /** Returns whether the answer to a request was lost. */
    bool hasLostAnswer() const;
    /** Returns whether the engine may still act on a request. */
    bool mayStillAct() const;
    /** Waits until no answer is outstanding, or for endWait(). */
    boost::asio::awaitable<void> waitForAnswer();
    /** Ends all waits. */
    void endWait();

private:
    static StopEffect effectOf(const RunStopResult &answer, bool isFromRun);

    BackendServerName engine;
    /** Expires when no answer is outstanding. */
    boost::asio::steady_timer answerTimer;
    int pendingRequests = 0;
    bool isAnswerLost = false;
    /** The strongest effect of the answered requests. */
    StopEffect strongestEffect = StopEffect::None;
};

} // namespace sassafrasyard
