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

/** Polls the configured engines for load, cache events and leaving, and reports to the dispatcher.
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
    /** Takes in peers' word that engines are leaving. */
    void recordLeaving(const std::vector<BackendServerName> &servers);

private:
    boost::asio::awaitable<void> pollAll();
    boost::asio::awaitable<void> poll(BackendServer server);
    void recordStatus(const BackendServer &server, const EngineStatus &status);
    void recordFailure(const BackendServer &server);

    EntryState &entry;
    DispatchService &dispatch;
    boost::asio::io_context &context;
    mutable std::mutex mutex;
    std::map<BackendServerName, EngineStatus> lastStatus;
    std::map<BackendServerName, std::uint64_t> cacheSequence;
    std::map<BackendServerName, int> failures;
    std::set<BackendServerName> leaving;
    std::set<BackendServerName> polling;
};

} // namespace sassafrasyard
