#include "gatewayfixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr Milliseconds routeTimeout{1500};
/** How far a call may exceed the timeout of its route. */
constexpr Milliseconds deadlineTolerance{500};

Route makeRoute(CallKind kind, bool isResumable = false)
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = kind;
    route.isResumable = isResumable;
    route.maximumAttempts = isResumable ? 2 : 1;
    route.timeout = routeTimeout;
    route.targetLatency = Milliseconds(300);
    route.targetPause = Milliseconds(100);
    return route;
}

net::awaitable<bool> readSome(tcp::socket &socket)
{
    std::array<char, 4096> bytes{};
    boost::system::error_code code;
    co_await socket.async_read_some(net::buffer(bytes),
                                    net::redirect_error(net::use_awaitable, code));
    co_return !code;
}

net::awaitable<bool> send(tcp::socket &socket, std::string text)
{
    boost::system::error_code code;
    co_await net::async_write(socket, net::buffer(text),
                              net::redirect_error(net::use_awaitable, code));
    co_return !code;
}

/**
 * Returns a handler that sends a prefix, then repeats a text until the caller closes the
 * connection.
 */
GatewayFixture::RawHandler sendEndlessly(std::string prefix, std::string repeated,
                                         Milliseconds pause = Milliseconds(0))
{
    return [=](tcp::socket &socket) -> net::awaitable<void> {
        bool isOpen = co_await readSome(socket);
        if (isOpen)
            isOpen = co_await send(socket, prefix);
        while (isOpen) {
            isOpen = co_await send(socket, repeated);
            if (pause > Milliseconds(0))
                co_await GatewayFixture::pause(pause);
        }
    };
}

/** Returns the value of a header field in a raw request, or an empty text. */
std::string headerValue(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
}

net::awaitable<std::string> readRequest(tcp::socket &socket)
{
    std::string request;
    std::array<char, 4096> bytes{};
    boost::system::error_code code;
    while (!code && request.find("\r\n\r\nbody of") == std::string::npos) {
        const std::size_t count = co_await socket.async_read_some(
                net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
        request.append(bytes.data(), count);
    }
    co_return request;
}

std::string makeAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

/** Returns the peak resident memory of this process, in bytes. */
std::size_t peakResidentBytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoull(line.substr(6)) * 1024;
    }
    return 0;
}

/** Reads a request to its end without keeping the body, then answers after a pause. */
net::awaitable<void> discardAndAnswer(tcp::socket &socket)
{
    std::string head;
    std::size_t received = 0;
    std::size_t expected = std::string::npos;
    std::vector<char> bytes(65536);
    boost::system::error_code code;
    while (!code && received < expected) {
        const std::size_t count = co_await socket.async_read_some(
                net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
        received += count;
        if (expected != std::string::npos)
            continue;
        head.append(bytes.data(), count);
        const std::size_t end = head.find("\r\n\r\n");
        if (end != std::string::npos)
            expected = end + 4 + std::stoull(headerValue(head, "Content-Length"));
    }
    co_await GatewayFixture::pause(Milliseconds(100));
    co_await send(socket, makeAnswer(headerValue(head, "Id"), "done"));
}

/** Sends a request with a body that is not held here. @return the start of the response. */
net::awaitable<std::string> upload(Endpoint endpoint, std::string id, std::size_t bodyBytes)
{
    boost::system::error_code code;
    tcp::socket socket(co_await net::this_coro::executor);
    const tcp::endpoint address(net::ip::make_address(endpoint.address), endpoint.port);
    co_await socket.async_connect(address, net::redirect_error(net::use_awaitable, code));
    const std::string head = "POST /route/1 HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: " + id
            + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    co_await send(socket, head);
    const std::string block(8192, 'x');
    bool isOpen = true;
    for (std::size_t sent = 0; isOpen && sent < bodyBytes; sent += block.size())
        isOpen = co_await send(socket, block.substr(0, std::min(block.size(), bodyBytes - sent)));
    std::array<char, 4096> bytes{};
    const std::size_t count = co_await socket.async_read_some(
            net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
    co_return std::string(bytes.data(), count);
}

struct EndlessAnswer
{
    const char *name;
    std::string prefix;
    std::string repeated;
};

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string block(8192, 'x');
    const std::string signedHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
    return {
            {"status line", "HTTP/1.1 200 ", block},
            {"header", signedHead, "X-" + block.substr(0, 200) + ": 1\r\n"},
            {"one header field", signedHead + "X: ", block},
            {"provisional answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"no protocol at all", "", block},
            {"body with a length", signedHead + "Content-Length: 99999999999\r\n\r\n", block},
            {"body without a length", signedHead + "\r\n", block},
            {"chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n",
             "2000\r\n" + block + "\r\n"},
            {"chunk extension", signedHead + "Transfer-Encoding: chunked\r\n\r\n1;x=", block},
            {"trailer", signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-" + block.substr(0, 200) + ": 1\r\n"},
    };
}

} // namespace

// Guards against endless responses that hold a call for ever or exhaust the memory.
TEST_CASE("Endless responses are ended within the timeout of the route", "[troubled]")
{
    for (const EndlessAnswer &answer : endlessAnswers()) {
        for (const CallKind kind : {CallKind::NonIdempotent, CallKind::Stream}) {
            CAPTURE(answer.name, kind);
            GatewayFixture fixture;
            fixture.addRoute(makeRoute(kind));
            fixture.addRawServer("a", sendEndlessly(answer.prefix, answer.repeated));
            const Milliseconds start = Clock::steady().now();
            const HttpResponse response = fixture.call("/route/1", "1");
            REQUIRE(Clock::steady().now() - start < routeTimeout + deadlineTolerance);
            // A response that was started is cut; otherwise the caller gets an error with unknown
            // outcome.
            REQUIRE((response.status == 0 || response.status == 502 || response.status == 504));
        }
    }
}

// Guards against endless responses that arrive too slowly to reach a size limit.
TEST_CASE("Slow endless responses are ended within the timeout of the route", "[troubled]")
{
    for (const EndlessAnswer &answer : endlessAnswers()) {
        CAPTURE(answer.name);
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::NonIdempotent));
        fixture.addRawServer(
                "a",
                sendEndlessly(answer.prefix, answer.repeated.substr(0, 200), Milliseconds(100)));
        const Milliseconds start = Clock::steady().now();
        const HttpResponse response = fixture.call("/route/1", "1");
        REQUIRE(Clock::steady().now() - start < routeTimeout + deadlineTolerance);
        REQUIRE((response.status == 502 || response.status == 504));
    }
}

// Guards against a host with 88 MB of memory that is killed by a hundred endless responses.
TEST_CASE("A hundred endless responses use little memory", "[troubled]")
{
    constexpr std::size_t maximumGrowth = 48U << 20U;
    const std::string block(8192, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
    for (const std::string &prefix :
         {head + "\r\n", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", head + "X: "}) {
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::NonIdempotent));
        fixture.addRawServer("a", sendEndlessly(prefix, block));
        const std::size_t before = peakResidentBytes();
        for (const HttpResponse &response : fixture.callConcurrently("/route/1", 100))
            REQUIRE(response.status != 200);
        const std::size_t after = peakResidentBytes();
        REQUIRE(after > 0);
        // The kernel reads the peak from counters that threads update in batches, so a later value
        // may be slightly lower.
        REQUIRE(after < before + maximumGrowth);
    }
}

// Guards against a host that is killed because it holds the endless responses that it skips.
TEST_CASE("A hundred skipped responses without an end use little memory", "[troubled]")
{
    constexpr std::size_t maximumGrowth = 48U << 20U;
    const std::string block(8192, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nId: another\r\nSignature: s\r\n";
    const EndlessAnswer unframed{"until the close", head + "\r\n", block};
    const EndlessAnswer chunked{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
                                chunk(block)};
    for (const EndlessAnswer &answer : {unframed, chunked}) {
        CAPTURE(answer.name);
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::NonIdempotent));
        fixture.addRawServer("a", sendEndlessly(answer.prefix, answer.repeated));
        const std::size_t before = peakResidentBytes();
        for (const HttpResponse &response : fixture.callConcurrently("/route/1", 100))
            REQUIRE((response.status == 502 || response.status == 504));
        const std::size_t after = peakResidentBytes();
        REQUIRE(after > 0);
        REQUIRE(after < before + maximumGrowth);
    }
}

// Guards against a host with 110 MB of memory that is killed by large bodies within its limits.
TEST_CASE("Large bodies at once are bounded in their sum", "[troubled]")
{
    constexpr int callCount = 30;
    constexpr std::size_t bodyBytes = (4U << 20U) - 1024;
    constexpr std::size_t maximumGrowth = 64U << 20U;
    GatewayFixture fixture;
    Route route = makeRoute(CallKind::NonIdempotent);
    route.timeout = Milliseconds(8000);
    fixture.addRoute(route);
    fixture.addRawServer("a", discardAndAnswer);
    const Endpoint endpoint = fixture.callerEndpoint();
    const std::size_t before = peakResidentBytes();
    int ended = 0;
    int answered = 0;
    int refused = 0;
    const auto start = [&](const std::string &id, std::size_t bytes) {
        fixture.spawn([&, id, bytes]() -> net::awaitable<void> {
            const std::string response = co_await upload(endpoint, id, bytes);
            answered += response.starts_with("HTTP/1.1 200") ? 1 : 0;
            const bool isRefused = response.starts_with("HTTP/1.1 503")
                    && !headerValue(response, "Retry-After").empty();
            refused += isRefused ? 1 : 0;
            ++ended;
        });
    };
    for (int number = 0; number < callCount; ++number)
        start("large-" + std::to_string(number), bodyBytes);
    while (ended < callCount)
        fixture.runOne();
    const std::size_t after = peakResidentBytes();
    CAPTURE(answered, refused, before, after);
    CHECK(answered > 0);
    CHECK(refused > 0);
    CHECK(answered + refused == callCount);
    CHECK(after < before + maximumGrowth);
    // What was reserved is free again.
    const int answeredBefore = answered;
    start("afterwards", bodyBytes);
    while (ended < callCount + 1)
        fixture.runOne();
    // The handler of the last call returns after its caller has received the response.
    fixture.runFor(Milliseconds(100));
    CHECK(answered == answeredBefore + 1);
}

// Guards against a duplicate response that is taken for the response to the next call.
TEST_CASE("A duplicate response is not used for the next call", "[troubled]")
{
    for (const bool isLate : {false, true}) {
        CAPTURE(isLate);
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::Idempotent));
        fixture.addRawServer("a", [isLate](tcp::socket &socket) -> net::awaitable<void> {
            std::string copy;
            bool isOpen = true;
            while (isOpen) {
                const std::string request = co_await readRequest(socket);
                const std::string id = headerValue(request, "Id");
                if (id.empty())
                    co_return;
                // The duplicate arrives where the response to this call is expected.
                if (isLate && !copy.empty())
                    co_await send(socket, copy);
                copy = makeAnswer(id, "for " + id);
                isOpen = co_await send(socket, copy);
                if (!isLate)
                    isOpen = co_await send(socket, copy);
            }
        });
        for (int number = 0; number < 6; ++number) {
            const std::string id = "r" + std::to_string(number);
            const HttpResponse response = fixture.call("/route/1", id);
            REQUIRE(response.status == 200);
            REQUIRE(response.body == "for " + id);
        }
    }
}

// Guards against an incomplete response that looks complete.
TEST_CASE("An incomplete response is not a success", "[troubled]")
{
    for (const std::string &part : {std::string("HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                                "Content-Length: 100\r\n\r\nhalf"),
                                    std::string("HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                                "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
                                    std::string("HTTP/1.1 200 OK\r\nSignature: s\r\nX-Ha")}) {
        for (const CallKind kind : {CallKind::NonIdempotent, CallKind::Stream}) {
            CAPTURE(part, kind);
            GatewayFixture fixture;
            fixture.addRoute(makeRoute(kind));
            fixture.addRawServer("a", [part](tcp::socket &socket) -> net::awaitable<void> {
                co_await readRequest(socket);
                co_await send(socket, part);
            });
            const HttpResponse response = fixture.call("/route/1", "1");
            REQUIRE((response.status == 0 || response.status == 502));
        }
    }
}

// Guards against cutting slow streams that do progress.
TEST_CASE("A slow stream is forwarded completely", "[troubled]")
{
    GatewayFixture fixture;
    Route route = makeRoute(CallKind::Stream, true);
    route.timeout = Milliseconds(8000);
    fixture.addRoute(route);
    fixture.addRawServer("a", [](tcp::socket &socket) -> net::awaitable<void> {
        co_await readRequest(socket);
        co_await send(socket, streamHead);
        for (int number = 1; number <= 4; ++number) {
            const std::string event = "id: " + std::to_string(number) + "\ndata: x\n\n";
            // Sends each event in two halves, with a pause close to the silence timeout.
            co_await send(socket, chunk(event.substr(0, 4)));
            co_await GatewayFixture::pause(Milliseconds(700));
            co_await send(socket, chunk(event.substr(4)));
        }
        co_await send(socket, "0\r\n\r\n");
        co_await GatewayFixture::pause(Milliseconds(100));
    });
    const HttpResponse response = fixture.call("/route/1", "1", {{"Patience", "8000"}});
    REQUIRE(response.status == 200);
    REQUIRE(response.body.find("id: 4\ndata: x\n\n") != std::string::npos);
}

// Guards against a stalled stream that is kept because single bytes still arrive.
TEST_CASE("Bytes that complete no event don't keep a stalled stream alive", "[troubled]")
{
    GatewayFixture fixture;
    Route route = makeRoute(CallKind::Stream, true);
    route.timeout = Milliseconds(8000);
    fixture.addRoute(route);
    fixture.addRawServer("a", [](tcp::socket &socket) -> net::awaitable<void> {
        const std::string request = co_await readRequest(socket);
        if (!headerValue(request, "Last").empty()) {
            co_await send(socket, streamHead + chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n");
            co_await GatewayFixture::pause(Milliseconds(100));
            co_return;
        }
        co_await send(socket, streamHead + chunk("id: 1\ndata: x\n\n"));
        bool isOpen = true;
        while (isOpen) {
            co_await GatewayFixture::pause(Milliseconds(200));
            isOpen = co_await send(socket, chunk(":"));
        }
    });
    const Milliseconds start = Clock::steady().now();
    const HttpResponse response = fixture.call("/route/1", "1", {{"Patience", "8000"}});
    REQUIRE(Clock::steady().now() - start < Milliseconds(3000));
    REQUIRE(response.status == 200);
    REQUIRE(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

// Guards against an endless event that exhausts the memory.
TEST_CASE("A stream with an endless event is cut at the size limit", "[troubled]")
{
    GatewayFixture fixture;
    Route route = makeRoute(CallKind::Stream);
    route.timeout = Milliseconds(8000);
    fixture.addRoute(route);
    fixture.addRawServer("a", sendEndlessly(streamHead, chunk(std::string(8192, 'x'))));
    const Milliseconds start = Clock::steady().now();
    const HttpResponse response = fixture.call("/route/1", "1", {{"Patience", "8000"}});
    REQUIRE(response.status == 0);
    REQUIRE(Clock::steady().now() - start < Milliseconds(2000));
}

// Guards against accepted calls that a planned stop closes without a response.
TEST_CASE("Every accepted call gets a response during a planned stop under load", "[troubled]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeRoute(CallKind::NonIdempotent));
    for (const char *name : {"a", "b", "c", "d"}) {
        fixture.addServer(
                name,
                [](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
                    co_await GatewayFixture::pause(Milliseconds(120));
                    co_await responder.send(GatewayFixture::signedAnswer(request));
                });
    }
    const auto answers = fixture.callConcurrently("/route/1", 60, [&fixture] { fixture.drain(); });
    for (const HttpResponse &answer : answers)
        REQUIRE((answer.status == 200 || answer.status == 503));
}
