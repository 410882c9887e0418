#pragma once

#include "backends/backends.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/state/entrystate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace sassafrasyard {

/**
 * Polls the configured backend servers and reports their state to the dispatcher.
 *
 * Engines report their load, their cache events and whether they are leaving. Plain services have
 * no common status call, so the monitor only checks whether they accept connections.
 */
class BackendMonitor
{
public:
    /** Starts polling the backend servers of the configuration in force. */
    BackendMonitor(EntryState &state, DispatchService &dispatch, boost::asio::io_context &context);
    BackendMonitor(const BackendMonitor &) = delete;
    BackendMonitor &operator=(const BackendMonitor &) = delete;

    /** Returns the engines that reported that they are leaving; sent to peers as gossip. */
    std::vector<BackendServerName> leavingServers() const;
    /** Returns the last status that was read from each engine. */
    std::map<BackendServerName, EngineStatus> statuses() const;
    /** Marks a backend server that refused work as leaving until its next successful poll. */
    void recordRefusal(const BackendServerName &server);
    /** Marks engines as leaving that a peer reported, unless this host can read their status. */
    void recordLeaving(const std::vector<BackendServerName> &servers);

private:
    boost::asio::awaitable<void> pollAll();
    boost::asio::awaitable<void> poll(BackendServer server);
    boost::asio::awaitable<void> pollEngine(const BackendServer &server, const Endpoint &endpoint);
    boost::asio::awaitable<void> pollService(const BackendServer &server, const Endpoint &endpoint);
    void recordStatus(const BackendServer &server, const EngineStatus &status);
    void recordFailure(const BackendServer &server);
    void recordReachable(const BackendServer &server);

    EntryState &entry;
    DispatchService &dispatch;
    boost::asio::io_context &context;
    mutable std::mutex mutex;
    std::map<BackendServerName, EngineStatus> lastStatus;
    std::map<BackendServerName, std::uint64_t> cacheSequence;
    std::map<BackendServerName, int> consecutiveFailures;
    std::set<BackendServerName> leaving;
    std::set<BackendServerName> serversBeingPolled;
};

} // namespace sassafrasyard
