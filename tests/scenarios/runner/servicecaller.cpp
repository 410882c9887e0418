#include "scenarios/runner/servicecaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr HttpTimeouts callTimeouts{Milliseconds(2000), Milliseconds(60000)};

/** Returns the retry delay if the response says that the call did not run, else nothing. */
std::optional<Milliseconds> retryDelay(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || body.value("run_state", "") != "not_run"
        || !body.contains("retry_after_ms"))
        return std::nullopt;
    return Milliseconds(body["retry_after_ms"].get<std::int64_t>());
}

net::awaitable<void> requestOnce(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts,
                                 std::promise<std::optional<HttpResponse>> *answered, Error *reason)
{
    auto response = co_await sendHttpRequest(endpoint, request, timeouts, *reason);
    answered->set_value(std::move(response));
}

} // namespace

ServiceCaller::ServiceCaller(net::io_context &context, HttpRequest request)
    : context(context)
    , originalRequest(std::move(request))
{
}

void ServiceCaller::send(const Endpoint &endpoint)
{
    this->sendWithRetries(endpoint, Milliseconds(0));
}

void ServiceCaller::sendWithRetries(const Endpoint &endpoint, Milliseconds retryTimeout)
{
    net::co_spawn(
            this->context,
            [self = this->shared_from_this(), endpoint, retryTimeout] {
                return self->run(endpoint, retryTimeout);
            },
            net::detached);
}

ServiceCallRecord ServiceCaller::record() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

const HttpRequest &ServiceCaller::request() const
{
    return this->originalRequest;
}

net::awaitable<void> ServiceCaller::run(Endpoint endpoint, Milliseconds retryTimeout)
{
    const auto deadline = std::chrono::steady_clock::now() + retryTimeout;
    net::steady_timer timer(co_await net::this_coro::executor);
    while (true) {
        Error reason;
        auto response =
                co_await sendHttpRequest(endpoint, this->originalRequest, callTimeouts, reason);
        const auto retryAfter = response ? retryDelay(*response) : std::nullopt;
        if (!retryAfter || std::chrono::steady_clock::now() + *retryAfter >= deadline) {
            this->storeResult(std::move(response), reason);
            co_return;
        }
        timer.expires_after(*retryAfter);
        co_await timer.async_wait(net::use_awaitable);
    }
}

void ServiceCaller::storeResult(std::optional<HttpResponse> response, const Error &reason)
{
    const std::lock_guard lock(this->mutex);
    this->received.hasEnded = true;
    this->received.detail = reason.detail;
    this->received.response = std::move(response);
    if (!this->received.response)
        return;
    const auto body = nlohmann::json::parse(this->received.response->body, nullptr, false);
    if (!body.is_object())
        return;
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
