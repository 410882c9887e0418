#include "entry/http/callerserver.h"

#include "entry/http/addresshandler.h"
#include "entry/http/errorresponse.h"

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A starting host reads its configuration within a few round trips to the platform. */
constexpr Milliseconds startingRetryAfter{300};

/** Returns the account of the request's bearer key, or null. */
const ClientAccount *authenticate(const HttpRequest &request, const Configuration &configuration)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = findHeader(request.headers, "Authorization").value_or("");
    if (!value.starts_with(scheme))
        return nullptr;
    return configuration.findByKeyDigest(sha256Hex(std::string_view(value).substr(scheme.size())));
}

} // namespace

CallerServer::CallerServer(EntryState &state, CompletionHandler &completions,
                           ServiceCallHandler &calls, net::io_context &context)
    : entry(state)
    , completions(completions)
    , calls(calls)
    , server(
              context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handle(request, responder);
              },
              errorResponse)
{
}

bool CallerServer::listen(const Endpoint &endpoint, Error &reason)
{
    return this->server.listen(endpoint, reason).has_value();
}

void CallerServer::drain()
{
    this->server.closeAfterResponses();
}

net::awaitable<void> CallerServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    // One configuration is used for the whole request, even if a newer one comes into force.
    const auto configuration = this->entry.configuration.current();
    const ClientAccount *account = authenticate(request, *configuration);
    const std::string_view path = request.path();
    Error reason;
    if (account == nullptr && configuration->revision == 0) {
        // Before the first configuration no keys are known, so no key is rejected as unknown.
        reason = {ErrorCode::PlatformUnavailable, RunState::NotRun,
                  "this host has not read its configuration yet", startingRetryAfter};
    } else if (account == nullptr) {
        reason = {ErrorCode::UnknownKey, RunState::NotRun, "unknown bearer key", {}};
    } else if (path == "/v1/addresses" && request.method == "GET") {
        const FailureDomainName domain(request.query("failure_domain").value_or(""));
        co_await responder.send(addressResponse(this->entry, domain));
        co_return;
    } else if (path.starts_with("/v1/services/")) {
        co_await this->calls.handle(request, *account, responder);
        co_return;
    } else if (path == "/v1/completions" && request.method == "POST") {
        const bool isResumed = findHeader(request.headers, "Last-Event-ID").has_value();
        if (!this->entry.isDraining || isResumed) {
            co_await this->completions.handle(request, *account, responder);
            co_return;
        }
        reason = {ErrorCode::HostDraining, RunState::NotRun,
                  "this host is stopping; use another address", Milliseconds(0)};
    } else {
        reason = {ErrorCode::NotFound, RunState::NotRun, "no such resource", {}};
    }
    co_await responder.send(errorResponse(reason));
}

} // namespace sassafrasyard
