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
 * Watches the configured backend servers and reports to the dispatcher.
 *
 * Engines are polled for load, cache events and leaving; of plain services, which have no common
 * status call, only whether they accept connections is known.
 */
class BackendMonitor
{
public:
    /** Starts polling whatever the configuration in force names. */
    BackendMonitor(EntryState &state, DispatchService &dispatch, boost::asio::io_context &context);
    BackendMonitor(const BackendMonitor &) = delete;
    BackendMonitor &operator=(const BackendMonitor &) = delete;

    /** Returns the engines that said they are leaving, for peers. */
    std::vector<BackendServerName> leavingServers() const;
    /** Returns the status of the engines as last read. */
    std::map<BackendServerName, EngineStatus> statuses() const;
    /** Marks a backend server that refused work as leaving until it is next read. */
    void recordRefusal(const BackendServerName &server);
    /** Takes in peers' word that engines are leaving. */
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
