#include "scenarios/runner/plaincaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr HttpTimeouts callTimeouts{Milliseconds(2000), Milliseconds(60000)};

net::awaitable<void> requestOnce(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts,
                                 std::promise<std::optional<HttpResponse>> *answered, Error *reason)
{
    auto response = co_await sendHttpRequest(endpoint, request, timeouts, *reason);
    answered->set_value(std::move(response));
}

} // namespace

PlainCaller::PlainCaller(net::io_context &context, HttpRequest request)
    : context(context)
    , original(std::move(request))
{
}

void PlainCaller::send(const Endpoint &endpoint)
{
    net::co_spawn(
            this->context,
            [self = this->shared_from_this(), endpoint] { return self->run(endpoint); },
            net::detached);
}

PlainRecord PlainCaller::record() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

const HttpRequest &PlainCaller::request() const
{
    return this->original;
}

net::awaitable<void> PlainCaller::run(Endpoint endpoint)
{
    Error reason;
    auto response = co_await sendHttpRequest(endpoint, this->original, callTimeouts, reason);
    const std::lock_guard lock(this->mutex);
    this->received.hasEnded = true;
    this->received.detail = reason.detail;
    this->received.response = std::move(response);
    if (!this->received.response)
        co_return;
    const auto body = nlohmann::json::parse(this->received.response->body, nullptr, false);
    if (!body.is_object())
        co_return;
    this->received.code = body.value("code", "");
    this->received.runState = body.value("run_state", "");
    this->received.detail = body.value("detail", "");
}

std::optional<HttpResponse> requestAndWait(net::io_context &context, const Endpoint &endpoint,
                                           const HttpRequest &request, Milliseconds timeout,
                                           Error &reason)
{
    std::promise<std::optional<HttpResponse>> answered;
    auto answer = answered.get_future();
    const HttpTimeouts timeouts{timeout, timeout};
    net::co_spawn(
            context, [&] { return requestOnce(endpoint, request, timeouts, &answered, &reason); },
            net::detached);
    return answer.get();
}

} // namespace sassafrasyard
