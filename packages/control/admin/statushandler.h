#pragma once

#include "control/admin/adminhandler.h"
#include "entry/entry.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace sassafrasyard {

/**
 * Handles requests about the state of the hosts:
 *
 * GET /metrics, /v1/dump, /v1/status (each host with its configuration revision) and /v1/addresses.
 */
class StatusHandler : public AdminHandler
{
public:
    /** Creates the handler; all arguments must outlive it. */
    StatusHandler(EntryState &state, BackendMonitor &monitor, PeerService &peers,
                  boost::asio::io_context &context);
    StatusHandler(const StatusHandler &) = delete;
    StatusHandler &operator=(const StatusHandler &) = delete;

    boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(
            const HttpRequest &request) override;

private:
    using Revisions = std::map<HostIncarnation, std::optional<std::uint64_t>>;

    boost::asio::awaitable<Revisions> collectRevisions();
    boost::asio::awaitable<HttpResponse> status();
    HttpResponse addresses() const;
    HttpResponse stateDump() const;

    EntryState &entry;
    BackendMonitor &monitor;
    PeerService &peers;
    boost::asio::io_context &context;
};

} // namespace sassafrasyard
