#pragma once

#include "entry/state/entrystate.h"
#include "policy/policy.h"
#include "runtime/runtime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace sassafrasyard {

/** Lets the dispatcher suspend and resume a running stream. */
struct StreamControl
{
    /** Set when the stream must be suspended; cleared when it may resume. */
    std::atomic<bool> isSuspended = false;
};

/** The permission to run a request on one backend server. */
struct Grant
{
    /** The dispatcher's decision for the request. */
    Assignment assignment;
    /** The backend server as configured at the time of the decision. */
    BackendServer server;
    /** Set and cleared by the dispatcher to suspend and resume the stream. */
    std::shared_ptr<StreamControl> control;
};

/** Runs the Dispatcher in its own actor and delivers its decisions to waiting coroutines. */
class DispatchService
{
public:
    /**
     * Starts the actor and the periodic Dispatcher::advance().
     *
     * @param maySuspend whether the engines support the suspension of streams.
     */
    DispatchService(EntryState &state, ActorRuntime &runtime, boost::asio::io_context &context,
                    bool maySuspend = true);
    ~DispatchService();
    DispatchService(const DispatchService &) = delete;
    DispatchService &operator=(const DispatchService &) = delete;

    /**
     * Waits until the dispatcher assigns a backend server to the request or refuses the request.
     *
     * @param reason receives the refusal as an error with NotRun.
     */
    boost::asio::awaitable<std::optional<Grant>> acquire(WorkRequest request, Error &reason);
    /** Refuses a request that waits in acquire(); does nothing if it is not waiting. */
    void refuseWaiting(const RequestName &request, ErrorCode reason, Milliseconds retryAfter);
    /** Waits until a suspended stream may resume. @return false if it must end instead. */
    boost::asio::awaitable<bool> awaitResumption(RequestName request);
    /** Reports how many tokens a running request has produced so far. */
    void reportProgress(const RequestName &request, std::uint32_t tokens);
    /** Reports that a running request has produced its first token. */
    void reportFirstToken(const RequestName &request);
    /**
     * Returns whether a second attempt at a running request may start now. If so, it is taken from
     * the budget of second attempts.
     */
    boost::asio::awaitable<bool> takeHedge(RequestName request);
    /** Reserves a backend server for a copy of a running request; see Dispatcher::reserveCopy(). */
    boost::asio::awaitable<std::optional<BackendServerName>> reserveCopy(WorkRequest copy,
                                                                         bool isUrgent);
    /** Reports that a copy of a run replaces the original. */
    void reportPromoted(const RequestName &copy);
    /** Releases the reservation of a copy that was not needed. */
    void releaseCopy(const RequestName &copy);
    /** Reports the end of a running request, which frees its reservation. */
    void reportFinished(const RequestName &request, WorkOutcome outcome);
    /** Runs a function on the dispatcher in the actor, with the current steady time. */
    void post(std::function<void(Dispatcher &, Milliseconds)> operation);
    /**
     * Sets the function that is called when a prompt was sent to an engine or has produced its
     * first token. It is called on any thread and must not block.
     */
    void setLoadChangeHook(std::function<void()> hook);
    /**
     * Sets the function that is called with the digest of a request or of a part of prompts that is
     * newly quarantined, if this host observed at least one of the crashes. It is called on any
     * thread and must not block.
     */
    void setQuarantineHook(std::function<void(std::uint64_t)> hook);
    /** Returns this host's load digest for its peers. */
    boost::asio::awaitable<PeerLoadDigest> loadDigest();
    /** Returns how fast this host found engines lately; see Dispatcher::ownSpeeds(). */
    boost::asio::awaitable<std::vector<EngineSpeed>> ownSpeeds();
    /** Returns whether a request is quarantined because it crashed backend servers. */
    boost::asio::awaitable<bool> isQuarantined(WorkRequest request);
    /** Returns the quarantine records to send to peers. */
    boost::asio::awaitable<std::vector<QuarantineRecord>> quarantineRecords();
    /** Returns a new request name, unique across incarnations. */
    RequestName nextRequestName();

private:
    struct State;

    boost::asio::awaitable<void> advancePeriodically();

    EntryState &entry;
    std::unique_ptr<StateOwner<State>> owner;
    std::atomic<std::uint64_t> requestCount = 0;
};

} // namespace sassafrasyard
