#include "numberedservers.h"
#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

/** What follows the status line of a broken answer. */
enum class Form {
    Empty,
    Text,
    ResponseWithLength,
    ResponseInChunks,
    ResponseUntilClose,
    StatedAsNotRun
};

std::string toChunks(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n0\r\n\r\n";
}

/** Returns an answer whose body is a response to the call, except for the shorter forms. */
std::string makeBrokenAnswer(const std::string &status, Form form, const std::string &id,
                             const std::string &response)
{
    std::string head = "HTTP/1.1 " + status + " Text\r\nSignature: s\r\nId: " + id + "\r\n";
    const std::string length = "Content-Length: ";
    switch (form) {
    case Form::Empty:
        return head + length + "0\r\n\r\n";
    case Form::Text:
        return head + length + "5\r\n\r\nerror";
    case Form::ResponseWithLength:
        return head + length + std::to_string(response.size()) + "\r\n\r\n" + response;
    case Form::ResponseInChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + toChunks(response);
    case Form::ResponseUntilClose:
        return head + "Connection: close\r\n\r\n" + response;
    case Form::StatedAsNotRun:
        return head + "Not-Run: 1\r\n" + length + "0\r\n\r\n";
    }
    return head;
}

/** Calls a function for each broken status line and what follows it. */
void forEachBrokenAnswer(const std::function<void(const std::string &, Form)> &check)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        for (const Form form :
             {Form::Empty, Form::Text, Form::ResponseWithLength, Form::ResponseInChunks,
              Form::ResponseUntilClose, Form::StatedAsNotRun}) {
            CAPTURE(status, static_cast<int>(form));
            check(status, form);
        }
    }
}

/** Sends responses with a status and a body. */
GatewayFixture::Handler answerWith(int status, const std::string &body)
{
    return [status, body](const HttpRequest &request,
                          HttpResponder &responder) -> net::awaitable<void> {
        HttpResponse answer = GatewayFixture::signedAnswer(request, status);
        answer.body = body;
        co_await responder.send(std::move(answer));
    };
}

} // namespace

// Guards against the body of a broken answer that a caller gets as the response, and against a wait
// for another answer instead of another server.
TEST_CASE("An idempotent call with a broken status goes to another server", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int attempt, const std::string &id) {
            const std::string body = attempt == 1 ? "mixed" : "answer";
            const std::string response = makeAnswer(id, "text/plain", body);
            return attempt == 1 ? makeBrokenAnswer(status, form, id, response) : response;
        };
        NumberedServers servers(makeRoute(CallKind::Idempotent), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call();
        CHECK(response.status == 200);
        CHECK(response.body == "answer");
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
        CHECK_FALSE(hasCheckedForCrash(servers.fixture));
    });
}

// Guards against a call that runs twice, gets a broken answer as its response, or waits for its
// deadline although its answer was broken at once.
TEST_CASE("A non-idempotent call with a broken status fails at once", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int, const std::string &id) {
            return makeBrokenAnswer(status, form, id, makeAnswer(id, "text/plain", "mixed"));
        };
        NumberedServers servers(makeRoute(CallKind::NonIdempotent), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call();
        CHECK(response.status == 502);
        CHECK(response.body.find("mixed") == std::string::npos);
        CHECK(servers.runs == 1);
        CHECK(servers.elapsed < endedWithin);
        CHECK_FALSE(hasCheckedForCrash(servers.fixture));
    });
}

// Guards against a call that is repeated more often than its route permits.
TEST_CASE("Broken statuses from all servers end an idempotent call", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int, const std::string &id) {
            return makeBrokenAnswer(status, form, id, makeAnswer(id, "text/plain", "mixed"));
        };
        NumberedServers servers(makeRoute(CallKind::Idempotent), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call();
        CHECK(response.status == 502);
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against events of a broken answer in a stream that has not begun.
TEST_CASE("A stream that begins with a broken status fails at once", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int, const std::string &id) {
            return makeBrokenAnswer(status, form, id, makeAnswer(id, "text/event-stream", event1));
        };
        NumberedServers servers(makeRoute(CallKind::Stream), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call();
        CHECK(response.status == 502);
        CHECK(response.body.find(event1) == std::string::npos);
        CHECK(servers.runs == 1);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against the same where another server may run the stream again.
TEST_CASE("A resumable stream with a broken status goes to another server", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int attempt, const std::string &id) {
            const std::string response =
                    makeAnswer(id, "text/event-stream", attempt == 1 ? event2 : event1 + event2);
            return attempt == 1 ? makeBrokenAnswer(status, form, id, response) : response;
        };
        NumberedServers servers(makeRoute(CallKind::Stream, true), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call();
        CHECK(response.status == 200);
        CHECK(response.body == event1 + event2);
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against the same in a stream that its caller takes up.
TEST_CASE("A stream that is taken up with a broken status goes to another server", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        const auto answer = [&](int attempt, const std::string &id) {
            const std::string response = makeAnswer(id, "text/event-stream",
                                                    attempt == 1 ? "id: 9\ndata: x\n\n" : event2);
            return attempt == 1 ? makeBrokenAnswer(status, form, id, response) : response;
        };
        NumberedServers servers(makeRoute(CallKind::Stream, true), answer,
                                form == Form::ResponseUntilClose);
        const HttpResponse response = servers.call(takeUpFields(servers.fixture));
        CHECK(response.status == 200);
        CHECK(response.body == event2);
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against the same on a connection that has carried another call.
TEST_CASE("A broken status on a kept connection is no response", "[status]")
{
    forEachBrokenAnswer([](const std::string &status, Form form) {
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::NonIdempotent));
        int connections = 0;
        int runs = 0;
        fixture.addRawServer("a", [&](tcp::socket &socket) -> net::awaitable<void> {
            ++connections;
            while (true) {
                const std::string head = co_await readHead(socket);
                if (head.empty())
                    co_return;
                const std::string id = fieldOf(head, "Id");
                const std::string response = makeAnswer(id, "text/plain", "answer");
                const std::string text =
                        ++runs == 2 ? makeBrokenAnswer(status, form, id, response) : response;
                co_await sendText(socket, text);
            }
        });
        CHECK(fixture.call("/route/1", "first").body == "answer");
        CHECK(fixture.call("/route/1", "second").status == 502);
        CHECK(connections == 1);
        CHECK(fixture.call("/route/1", "third").body == "answer");
        CHECK(connections == 2);
    });
}

// Guards against events of a broken answer in the middle of a stream, which then looks complete.
TEST_CASE("A continuation with a broken status is not part of the stream", "[status]")
{
    std::string begun = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream"
                        "\r\nContent-Length: 100\r\n\r\n"
            + event1;
    forEachBrokenAnswer([&begun](const std::string &status, Form form) {
        const auto answer = [&](int attempt, const std::string &id) {
            if (attempt == 1)
                return begun;
            return makeBrokenAnswer(status, form, id, makeAnswer(id, "text/event-stream", event2));
        };
        NumberedServers servers(makeRoute(CallKind::Stream, true), answer,
                                form == Form::ResponseUntilClose);
        servers.closesFirst = true;
        const HttpResponse response = servers.call();
        CHECK(response.status == 0);
        CHECK(servers.fixture.receivedBody == event1);
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against a call that is sent on a connection on which the rest of a broken answer follows.
TEST_CASE("A connection with a broken status is not used for the next call", "[status]")
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        CAPTURE(status);
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::Idempotent));
        std::size_t connections = 0;
        fixture.addRawServer("a", [&](tcp::socket &socket) -> net::awaitable<void> {
            const bool isFirst = ++connections == 1;
            while (true) {
                const std::string head = co_await readHead(socket);
                if (head.empty())
                    co_return;
                const std::string id = fieldOf(head, "Id");
                const std::string text = isFirst ? makeBrokenAnswer(status, Form::Empty, id, "")
                                                 : makeAnswer(id, "text/plain", "answer");
                co_await sendText(socket, text);
            }
        });
        fixture.call("/route/1", "first");
        const HttpResponse response = fixture.call("/route/1", "second");
        CHECK(response.status == 200);
        CHECK(connections == 2);
    }
}

// Guards against a broken answer of a peer that reaches the caller or holds the call.
TEST_CASE("A broken status of a peer ends the relayed call", "[status]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const int status = GENERATE(0, 99, 600, 999);
    const bool hasBody = GENERATE(true, false);
    CAPTURE(static_cast<int>(kind), status, hasBody);
    const std::string body = hasBody ? makeAnswer("call-1", "text/event-stream", event1) : "";
    StrandedHosts stranded(makeRoute(kind), StrandedHosts::Cut::Refused, answerWith(200, "answer"));
    PeerStandIn peer(*stranded.hosts.context, answerWith(status, body));
    stranded.setPeers({{"1", peer.address()}});
    stranded.notice();
    const Milliseconds start = Clock::steady().now();
    const HttpResponse response = stranded.call("/route/x");
    CHECK(response.status == 502);
    CHECK(response.body.find(event1) == std::string::npos);
    CHECK(Clock::steady().now() - start < endedWithin);
    CHECK(peer.received.size() == 1);
}

// Guards against a broken answer of a server that reaches the caller through a peer, and against a
// non-idempotent call that runs twice.
TEST_CASE("A broken status of a server does not pass a peer", "[status]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const int status = GENERATE(0, 99, 600, 999);
    const bool hasBody = GENERATE(true, false);
    CAPTURE(static_cast<int>(kind), status, hasBody);
    const std::string body = hasBody ? makeAnswer("call-1", "text/event-stream", event1) : "";
    StrandedHosts stranded(makeRoute(kind), StrandedHosts::Cut::Refused, answerWith(status, body));
    stranded.notice();
    const Milliseconds start = Clock::steady().now();
    const HttpResponse response = stranded.call("/route/x");
    CHECK(response.status == 502);
    CHECK(response.body.find(event1) == std::string::npos);
    CHECK(Clock::steady().now() - start < endedWithin);
    CHECK(stranded.arrivals() == (kind == CallKind::Idempotent ? 2 : 1));
}
