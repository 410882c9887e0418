#pragma once

#include "entry/calls/servicecallhandler.h"
#include "entry/http/completionhandler.h"
#include "entry/state/entrystate.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace sassafrasyard {

/** The HTTP server for callers: authenticates requests and passes them to their handlers. */
class CallerServer
{
public:
    /** Creates the server; it does not listen before listen(). */
    CallerServer(EntryState &state, CompletionHandler &completions, ServiceCallHandler &calls,
                 boost::asio::io_context &context);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Starts listening. @param reason receives ConnectionFailed. @return false on failure. */
    bool listen(const Endpoint &endpoint, Error &reason);

    /** Closes each connection after its response, so that callers request the addresses again. */
    void drain();

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

    EntryState &entry;
    CompletionHandler &completions;
    ServiceCallHandler &calls;
    HttpServer server;
};

} // namespace sassafrasyard
