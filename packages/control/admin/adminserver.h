#pragma once

#include "control/admin/adminhandler.h"
#include "entry/entry.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace sassafrasyard {

/** The HTTP server for operators; checks the operator token and passes requests to its handlers. */
class AdminServer
{
public:
    /** Creates a server that does not listen yet; each request goes to the first handler that
     * accepts it. */
    AdminServer(EntryState &state, std::vector<std::unique_ptr<AdminHandler>> handlers,
                boost::asio::io_context &context);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Starts listening. @param reason receives ConnectionFailed. */
    bool listen(const Endpoint &endpoint, Error &reason);

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

    EntryState &entry;
    std::vector<std::unique_ptr<AdminHandler>> handlers;
    HttpServer server;
};

} // namespace sassafrasyard
