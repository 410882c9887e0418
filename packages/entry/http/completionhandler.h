#pragma once

#include "backends/backends.h"
#include "entry/dispatch/backendmonitor.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/http/streamrelay.h"
#include "entry/state/entrystate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sassafrasyard {

/** Serves POST /v1/completions: streamed, resumed and non-streamed. */
class CompletionHandler
{
public:
    /** Creates the handler. @param context runs delayed cancellations. */
    CompletionHandler(EntryState &state, DispatchService &dispatch, BackendMonitor &monitor,
                      boost::asio::io_context &context);
    CompletionHandler(const CompletionHandler &) = delete;
    CompletionHandler &operator=(const CompletionHandler &) = delete;

    /** Runs or resumes a completion of an authenticated client account and sends the response. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, const ClientAccount &account,
                                        HttpResponder &responder);

private:
    struct Completion;

    std::optional<Completion> parse(const HttpRequest &request, const ClientAccount &account,
                                    Error &reason) const;
    boost::asio::awaitable<void> serve(Completion &completion, HttpResponder &responder);
    boost::asio::awaitable<std::optional<Error>> attempt(Completion &completion,
                                                         HttpResponder &responder);
    boost::asio::awaitable<void> resume(Completion &completion, std::string_view identifier,
                                        HttpResponder &responder);
    boost::asio::awaitable<void> endStream(const Completion &completion, const RelayResult &result,
                                           HttpResponder &responder);
    boost::asio::awaitable<bool> deliver(Completion &completion,
                                         const std::vector<DeliveredToken> &tokens,
                                         HttpResponder &responder);
    /** Marks a lost engine as unreachable until the monitor has read its status again. */
    void markUnreachable(const BackendServerName &server);
    /** Returns the model version to request: the account's, or the one the engine serves. */
    std::string versionFor(const WorkRequest &work, const BackendServerName &server) const;
    boost::asio::awaitable<WorkOutcome> outcomeOfFailedAttempt(BackendServer server, Error reason);
    bool mustSendDrainEvent(const Completion &completion) const;
    std::string drainEvent() const;
    std::function<void()> makeDrainEventHook(Completion &completion,
                                             HttpResponder &responder) const;
    void cancelLater(const Endpoint &engine, const GenerationName &generation);
    boost::asio::awaitable<void> cancelAfterGracePeriod(Endpoint engine, GenerationName generation);

    EntryState &entry;
    DispatchService &dispatch;
    BackendMonitor &monitor;
    boost::asio::io_context &context;
};

} // namespace sassafrasyard
