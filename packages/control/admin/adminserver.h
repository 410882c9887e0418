#pragma once

#include "entry/entry.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>

namespace sassafrasyard {

/** The operators' HTTP server: metrics, state dump and administration, behind the operator token.
 */
class AdminServer
{
public:
    /** Creates the server. */
    AdminServer(EntryState &state, BackendMonitor &monitor, ObjectClient &platform,
                boost::asio::io_context &context);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Starts listening. @param reason receives ConnectionFailed. */
    bool listen(const Endpoint &endpoint, Error &reason);

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    HttpResponse stateDump() const;

    EntryState &entry;
    BackendMonitor &monitor;
    ObjectClient &platform;
    HttpServer server;
};

} // namespace sassafrasyard
