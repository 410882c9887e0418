#include "control/admin/adminserver.h"

#include "entry/http/errorresponse.h"

#include <openssl/crypto.h>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

bool hasOperatorToken(const HttpRequest &request, const std::string &token)
{
    const std::string expected = "Bearer " + token;
    const std::string provided = findHeader(request.headers, "Authorization").value_or("");
    return provided.size() == expected.size()
            && CRYPTO_memcmp(provided.data(), expected.data(), expected.size()) == 0;
}

} // namespace

AdminServer::AdminServer(EntryState &state, std::vector<std::unique_ptr<AdminHandler>> newHandlers,
                         net::io_context &context)
    : entry(state)
    , handlers(std::move(newHandlers))
    , server(
              context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handle(request, responder);
              },
              errorResponse)
{
}

bool AdminServer::listen(const Endpoint &endpoint, Error &reason)
{
    return this->server.listen(endpoint, reason).has_value();
}

net::awaitable<void> AdminServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (!hasOperatorToken(request, this->entry.settings.operatorToken)) {
        const Error unauthorized{ErrorCode::UnknownKey,
                                 RunState::NotRun,
                                 "unknown operator token; set it with --operator-token or "
                                 "SASSAFRASYARD_OPERATOR_TOKEN",
                                 {}};
        co_await responder.send(errorResponse(unauthorized));
        co_return;
    }
    for (const auto &handler : this->handlers) {
        std::optional<HttpResponse> response = co_await handler->handleRequest(request);
        if (response) {
            co_await responder.send(std::move(*response));
            co_return;
        }
    }
    const Error notFound{ErrorCode::NotFound, RunState::NotRun, "no such resource", {}};
    co_await responder.send(errorResponse(notFound));
}

} // namespace sassafrasyard
