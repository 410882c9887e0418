#include "adminclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Accepting a change takes several attempts on the daemon's side if the platform is slow. */
constexpr HttpTimeouts timeouts{Milliseconds(2000), Milliseconds(60000)};

net::awaitable<void> exchange(const Endpoint &endpoint, const HttpRequest &request,
                              std::optional<HttpResponse> &response, Error &reason)
{
    response = co_await sendHttpRequest(endpoint, request, timeouts, reason);
}

} // namespace

AdminClient::AdminClient(std::string address, std::string token)
    : address(std::move(address))
    , token(std::move(token))
{
}

std::optional<HttpResponse> AdminClient::send(std::string method, std::string target,
                                              std::string body, Error &reason)
{
    const auto endpoint = parseEndpoint(this->address, reason);
    if (!endpoint)
        return std::nullopt;
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.headers.emplace_back("Authorization", "Bearer " + this->token);
    std::optional<HttpResponse> response;
    net::io_context context(1);
    net::co_spawn(context, exchange(*endpoint, request, response, reason), net::detached);
    context.run();
    return response;
}

} // namespace sassafrasyard
