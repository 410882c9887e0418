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

/** Lets the dispatcher stop a running stream for a while. */
struct StreamControl
{
    /** Set when the stream must be suspended; cleared when it may resume. */
    std::atomic<bool> isSuspended = false;
};

/** A place on a backend server that was granted to a request. */
struct Grant
{
    /** The decision. */
    Assignment assignment;
    /** The backend server as configured at that moment. */
    BackendServer server;
    /** Suspension of the stream by the dispatcher. */
    std::shared_ptr<StreamControl> control;
};

/** Runs the Dispatcher in its own actor and turns its decisions into answers for coroutines. */
class DispatchService
{
public:
    /**
     * Starts the actor and the periodic advance.
     *
     * @param maySuspend whether the engines can suspend streams.
     */
    DispatchService(EntryState &state, ActorRuntime &runtime, boost::asio::io_context &context,
                    bool maySuspend = true);
    ~DispatchService();
    DispatchService(const DispatchService &) = delete;
    DispatchService &operator=(const DispatchService &) = delete;

    /** Waits for a place. @param reason receives the refusal as a NotRun error. */
    boost::asio::awaitable<std::optional<Grant>> acquire(WorkRequest request, Error &reason);
    /** Waits until a suspended stream may resume. @return false if it must be given up. */
    boost::asio::awaitable<bool> awaitResumption(RequestName request);
    /** Reports progress of a running request, in tokens so far. */
    void reportProgress(const RequestName &request, std::uint32_t tokens);
    /** Reports the first output of a running request. */
    void reportFirstToken(const RequestName &request);
    /** Asks whether to start a second attempt at a running request now; takes it if so. */
    boost::asio::awaitable<bool> takeHedge(RequestName request);
    /** Reserves a copy of a running request; see Dispatcher::reserveCopy(). */
    boost::asio::awaitable<std::optional<BackendServerName>> reserveCopy(WorkRequest copy,
                                                                         bool isUrgent);
    /** Reports that a copy goes on in place of its original. */
    void reportPromoted(const RequestName &copy);
    /** Frees a copy that was not needed. */
    void releaseCopy(const RequestName &copy);
    /** Reports the end of a running request. */
    void reportFinished(const RequestName &request, WorkOutcome outcome);
    /** Runs a closure over the dispatcher, for reports of servers and peers. */
    void post(std::function<void(Dispatcher &, Milliseconds)> operation);
    /** Sets what is called, on any thread, when prompts were sent or read; it must return at once.
     */
    void setLoadChangeHook(std::function<void()> hook);
    /**
     * Sets what is called, on any thread, with the digest of a request that begins to be refused
     * and of whose deaths this host saw one; it must return at once.
     */
    void setQuarantineHook(std::function<void(std::uint64_t)> hook);
    /** Returns this host's load digest for its peers. */
    boost::asio::awaitable<PeerLoadDigest> loadDigest();
    /** Returns whether a request is refused for the servers that it crashed. */
    boost::asio::awaitable<bool> isQuarantined(std::uint64_t requestDigest);
    /** Returns the quarantine records for peers. */
    boost::asio::awaitable<std::vector<QuarantineRecord>> quarantineRecords();
    /** Returns a name for a new request, unique in this run. */
    RequestName nextRequestName();

private:
    struct State;

    boost::asio::awaitable<void> advancePeriodically();

    EntryState &entry;
    std::unique_ptr<StateOwner<State>> owner;
    std::atomic<std::uint64_t> requestCount = 0;
};

} // namespace sassafrasyard
