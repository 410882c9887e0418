#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace sassafrasyard {

/** Forwards a call whose response is buffered and passed on as a whole. */
class CallRelay
{
public:
    /** Creates a relay for one call; both parameters must outlive it. */
    CallRelay(GatewayDependencies &dependencies, RoutedCall &call);
    CallRelay(const CallRelay &) = delete;
    CallRelay &operator=(const CallRelay &) = delete;

    /**
     * Tries backend servers until one responds or no further attempt is permitted.
     *
     * @return the response of a server, or nothing.
     */
    boost::asio::awaitable<std::optional<HttpResponse>> run();
    /** Returns how the attempts ended. */
    const AttemptHistory &attempts() const;
    /** Returns why there is no response; valid if run() has returned none. */
    const Error &lastFailure() const;
    /** Returns an error response that states whether the call may have run, and records it. */
    HttpResponse refuse();

private:
    boost::asio::awaitable<std::optional<Grant>> place();
    boost::asio::awaitable<AttemptResult> attempt(const Grant &grant);
    Milliseconds answerTimeout(Milliseconds now) const;
    bool mayTryNextServer(const AttemptResult &last);

    GatewayDependencies &dependencies;
    RoutedCall &call;
    AttemptHistory history;
    std::vector<BackendServerName> avoided;
    std::optional<HttpResponse> answer;
    Error failure;
};

} // namespace sassafrasyard
