#include "network/network.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace sassafrasyard;
namespace net = boost::asio;

namespace {

HttpResponse plainError(const Error &error)
{
    return {httpStatus(error.code), {}, std::string(toString(error.code))};
}

} // namespace

// Guards against lost or merged events, and against a stream whose regular end is not detected.
TEST_CASE("A streamed response is received incrementally and ends regularly", "[network]")
{
    net::io_context context;
    HttpServer server(
            context, {},
            [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                HttpHeaders headers{{"Content-Type", "text/event-stream"}};
                co_await responder.startStream(200, std::move(headers));
                const ServerEvent first{"", "1", request.body};
                const ServerEvent last{"end", "2", "last"};
                co_await responder.write(formatServerEvent(first));
                co_await responder.write(formatServerEvent(last));
                co_await responder.finish();
            },
            plainError);
    Error reason;
    const auto endpoint = server.listen({"127.0.0.1", 0}, reason);
    REQUIRE(endpoint);
    std::vector<ServerEvent> events;
    bool isComplete = false;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                HttpStream stream;
                Error failure;
                const HttpRequest request{"POST", "/", {}, "hello"};
                const HttpTimeouts timeouts;
                const auto header = co_await stream.open(*endpoint, request, timeouts, failure);
                ServerEventParser parser;
                while (header) {
                    const auto bytes = co_await stream.read(Milliseconds(1000), failure);
                    isComplete = bytes && bytes->empty();
                    if (!bytes || bytes->empty())
                        break;
                    parser.append(*bytes);
                    while (auto event = parser.next())
                        events.push_back(*event);
                }
                server.stopAccepting();
                stream.close();
            },
            net::detached);
    context.run_for(std::chrono::seconds(5));
    REQUIRE(isComplete);
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].data == "hello");
    REQUIRE(events[1].type == "end");
}

// Guards against a server that can never listen again after its address was in use.
TEST_CASE("A server listens on another address after a failed attempt", "[network]")
{
    net::io_context context;
    const auto ignore = [](const HttpRequest &, HttpResponder &) -> net::awaitable<void> {
        co_return;
    };
    HttpServer first(context, {}, ignore, plainError);
    HttpServer second(context, {}, ignore, plainError);
    Error reason;
    const auto taken = first.listen({"127.0.0.1", 0}, reason);
    REQUIRE(taken);
    REQUIRE_FALSE(second.listen(*taken, reason));
    REQUIRE(reason.code == ErrorCode::ConnectionFailed);
    REQUIRE(second.listen({"127.0.0.1", 0}, reason));
}

// Guards against a refused connection whose request is reported as possibly run.
TEST_CASE("A refused connection is reported as not run", "[network]")
{
    net::io_context context;
    Error reason;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                const Endpoint closed{"127.0.0.1", 1};
                const HttpRequest request;
                const HttpTimeouts timeouts;
                co_await sendHttpRequest(closed, request, timeouts, reason);
            },
            net::detached);
    context.run();
    REQUIRE(reason.code == ErrorCode::ConnectionFailed);
    REQUIRE(reason.runState == RunState::NotRun);
}

// Guards against a connection that is closed without a response when the body is too large.
TEST_CASE("An oversized body is rejected with a typed error", "[network]")
{
    net::io_context context;
    HttpServerOptions options;
    options.maximumBodyBytes = 8;
    HttpServer server(
            context, options,
            [](const HttpRequest &, HttpResponder &responder) -> net::awaitable<void> {
                HttpResponse response;
                co_await responder.send(std::move(response));
            },
            plainError);
    Error reason;
    const auto endpoint = server.listen({"127.0.0.1", 0}, reason);
    std::optional<HttpResponse> response;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                const HttpRequest request{"POST", "/", {}, "more than eight bytes"};
                const HttpTimeouts timeouts;
                response = co_await sendHttpRequest(*endpoint, request, timeouts, reason);
                server.stopAccepting();
            },
            net::detached);
    context.run_for(std::chrono::seconds(5));
    REQUIRE(response);
    REQUIRE(response->status == 413);
}

// Guards against an engine's error response that is treated as a lost connection: if no body limit
// is set, Boost 1.74 rejects every body with a Content-Length as too large.
TEST_CASE("A stream that is refused yields the status and body of the response", "[network]")
{
    net::io_context context;
    HttpServer server(
            context, {},
            [](const HttpRequest &, HttpResponder &responder) -> net::awaitable<void> {
                HttpResponse refusal;
                refusal.status = 409;
                refusal.body = "refused";
                co_await responder.send(std::move(refusal));
            },
            plainError);
    Error reason;
    const auto endpoint = server.listen({"127.0.0.1", 0}, reason);
    REQUIRE(endpoint);
    std::optional<HttpResponse> response;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                HttpStream stream;
                const HttpRequest request{"POST", "/", {}, "hello"};
                const HttpTimeouts timeouts;
                response = co_await stream.open(*endpoint, request, timeouts, reason);
                server.stopAccepting();
                stream.close();
            },
            net::detached);
    context.run_for(std::chrono::seconds(5));
    INFO(reason.detail);
    REQUIRE(response);
    REQUIRE(response->status == 409);
    REQUIRE(response->body == "refused");
}

// Guards against host names, missing ports or trailing text that are accepted as an endpoint.
TEST_CASE("Endpoints are parsed strictly", "[network]")
{
    Error reason;
    REQUIRE(parseEndpoint("127.0.0.1:80", reason) == Endpoint{"127.0.0.1", 80});
    REQUIRE(parseEndpoint("[::1]:80", reason)->address == "::1");
    REQUIRE_FALSE(parseEndpoint("127.0.0.1", reason));
    REQUIRE_FALSE(parseEndpoint("host:80", reason));
    REQUIRE_FALSE(parseEndpoint("127.0.0.1:80x", reason));
}
