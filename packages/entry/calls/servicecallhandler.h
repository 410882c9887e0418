#pragma once

#include "entry/calls/callledger.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/state/entrystate.h"
#include "runtime/runtime.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace sassafrasyard {

/** A call of a plain service by an authenticated client account. */
struct ServiceCall
{
    /** The client account. */
    ClientAccountName account;
    /** The name of the service. */
    std::string service;
    /** The path inside the service, with the query. */
    std::string path;
    /** The idempotency key; empty for an idempotent call. */
    std::string key;
    /** The request body. */
    std::string body;
};

/**
 * Serves GET and POST /v1/services/{service}/{path}.
 *
 * GET calls are idempotent and may be retried. POST calls need an idempotency key and a call
 * binding. Only the entry host named in the binding dispatches a POST call, at most once.
 */
class ServiceCallHandler
{
public:
    /** Forwards a call to the entry host of an incarnation. @return the response for the caller. */
    using Forward = std::function<boost::asio::awaitable<HttpResponse>(
            const HostIncarnation &incarnation, const ServiceCall &call)>;

    /** Creates the handler. @param forward sends a call to another entry host. */
    ServiceCallHandler(EntryState &state, DispatchService &dispatch, ActorRuntime &runtime,
                       Forward forward);
    ServiceCallHandler(const ServiceCallHandler &) = delete;
    ServiceCallHandler &operator=(const ServiceCallHandler &) = delete;

    /** Runs or forwards a caller's request and sends the response. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, const ClientAccount &account,
                                        HttpResponder &responder);

    /** Runs a non-idempotent call that is bound to this host, or returns its stored answer. */
    boost::asio::awaitable<HttpResponse> runBound(ServiceCall call);

private:
    boost::asio::awaitable<HttpResponse> runIdempotent(ServiceCall call);
    boost::asio::awaitable<HttpResponse> runOrForward(const HttpRequest &request, ServiceCall call);
    boost::asio::awaitable<HttpResponse> dispatchBound(const ServiceCall &call, CallKey key);
    boost::asio::awaitable<std::optional<HttpResponse>> attempt(const ServiceCall &call,
                                                                bool isRetry, Error &reason);
    /** Marks a service as unreachable for unreachableTime, so that no calls are placed on it. */
    boost::asio::awaitable<void> markUnreachableBriefly(BackendServerName server);

    EntryState &entry;
    DispatchService &dispatch;
    Forward forward;
    StateOwner<CallLedger> ledger;
};

} // namespace sassafrasyard
