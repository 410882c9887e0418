#include "standinservers.h"

#include "entry/http/errorresponse.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr int unavailableStatus = 503;

int numberField(const HttpRequest &request, std::string_view name)
{
    return std::stoi(findHeader(request.headers, name).value_or("0"));
}

std::string idOf(const HttpRequest &request)
{
    return findHeader(request.headers, "Request-Id").value_or("");
}

std::string eventText(const std::string &requestId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + "\n\n";
}

net::awaitable<void> pause(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace

StandInServers::StandInServers(net::io_context &context)
    : context(context)
{
}

Endpoint StandInServers::add()
{
    this->servers.push_back(std::make_unique<Server>());
    Server &server = *this->servers.back();
    server.http = std::make_unique<HttpServer>(
            this->context, HttpServerOptions(),
            [this, &server](const HttpRequest &request, HttpResponder &responder) {
                return this->handle(request, responder, server);
            },
            errorResponse);
    Error reason;
    return server.http->listen({"127.0.0.1", 0}, reason).value();
}

void StandInServers::silence(std::size_t index, Milliseconds time)
{
    this->servers.at(index)->silentUntil = Clock::steady().now() + time;
}

void StandInServers::refuseConnections(std::size_t index)
{
    this->servers.at(index)->http->stopAccepting();
}

std::size_t StandInServers::refusedContinuations() const
{
    return this->continuationCount;
}

std::size_t StandInServers::receivedCount(const std::string &requestId) const
{
    return static_cast<std::size_t>(
            std::count(this->receivedIds.begin(), this->receivedIds.end(), requestId));
}

void StandInServers::releaseRefusals()
{
    this->mayRefuse = true;
}

std::string StandInServers::answerTo(const HttpRequest &request)
{
    const int events = numberField(request, "Events");
    if (events == 0)
        return "answer to " + idOf(request);
    std::string body;
    for (int number = 1; number <= events; ++number)
        body += eventText(idOf(request), number);
    return body;
}

net::awaitable<void> StandInServers::handle(const HttpRequest &request, HttpResponder &responder,
                                            const Server &server)
{
    if (request.path().starts_with("/kv-")) {
        HttpResponse response;
        response.status = unavailableStatus;
        co_await responder.send(std::move(response));
        co_return;
    }
    const std::string requestId = idOf(request);
    this->receivedIds.push_back(requestId);
    HttpHeaders headers{{"Request-Id", requestId}};
    const bool isFirst = this->receivedCount(requestId) == 1;
    if (isFirst && findHeader(request.headers, "Refuse-First")) {
        co_await this->hold();
        co_await refuse(headers, responder);
        co_return;
    }
    if (isFirst && findHeader(request.headers, "Break-First")) {
        co_await this->hold();
        responder.abort();
        co_return;
    }
    if (findHeader(request.headers, "Kv-From")) {
        ++this->continuationCount;
        co_await refuse(headers, responder);
        co_return;
    }
    headers.emplace_back("Replica-Stamp", "stand-in");
    if (findHeader(request.headers, "Events")) {
        co_await this->stream(request, headers, responder, server);
        co_return;
    }
    co_await pause(Milliseconds(numberField(request, "Work-Ms")));
    HttpResponse response;
    response.headers = headers;
    response.body = answerTo(request);
    co_await responder.send(std::move(response));
}

/** Waits for releaseRefusals(). */
net::awaitable<void> StandInServers::hold()
{
    constexpr Milliseconds pollInterval{2};
    while (!this->mayRefuse)
        co_await pause(pollInterval);
}

net::awaitable<void> StandInServers::refuse(HttpHeaders headers, HttpResponder &responder)
{
    HttpResponse response;
    response.status = unavailableStatus;
    response.headers = std::move(headers);
    response.headers.emplace_back("Not-Executed", "1");
    co_await responder.send(std::move(response));
}

net::awaitable<void> StandInServers::stream(const HttpRequest &request, HttpHeaders headers,
                                            HttpResponder &responder, const Server &server)
{
    constexpr int successStatus = 200;
    const int events = numberField(request, "Events");
    const Milliseconds interval(numberField(request, "Event-Ms"));
    const std::string requestId = idOf(request);
    // An engine without a first event has sent no header either.
    co_await pause(interval);
    headers.emplace_back("Content-Type", "text/event-stream");
    bool isOpen = co_await responder.startStream(successStatus, std::move(headers));
    for (int number = 1; isOpen && number <= events; ++number) {
        if (number > 1)
            co_await pause(interval);
        while (Clock::steady().now() < server.silentUntil)
            co_await pause(server.silentUntil - Clock::steady().now() + Milliseconds(1));
        const std::string text = eventText(requestId, number);
        isOpen = co_await responder.write(text);
    }
    if (isOpen)
        co_await responder.finish();
    else
        responder.abort();
}

} // namespace sassafrasyard
