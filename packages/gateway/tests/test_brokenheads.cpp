#include "numberedservers.h"
#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

/** Where the broken line of a header stands. */
enum class Position { First, Middle, Last };

/** A header with a line that is no field, in a response that is whole otherwise. */
struct BrokenHead
{
    std::string line;
    Position position = Position::Middle;
    /** Whether the body ends with the connection. */
    bool isClosed = false;

    /** Returns the response. */
    std::string answer(const std::string &id, const std::string &type,
                       const std::string &body) const
    {
        const std::string broken = this->line + "\r\n";
        const std::string framing = this->isClosed
                ? std::string("Connection: close\r\n")
                : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        std::string text = "HTTP/1.1 200 OK\r\n";
        text += this->position == Position::First ? broken : "";
        text += "Signature: s\r\nId: " + id + "\r\n";
        text += this->position == Position::Middle ? broken : "";
        text += framing + "Content-Type: " + type + "\r\n";
        text += this->position == Position::Last ? broken : "";
        return text + "\r\n" + body;
    }
};

/** Calls a function for each broken header. */
void forEachBrokenHead(const std::function<void(const BrokenHead &)> &check)
{
    const std::vector<std::string> lines{" X-Field: 1",
                                         "\tX-Field: 1",
                                         "X-Field : 1",
                                         "X Field: 1",
                                         "X\x01-Field: 1",
                                         "X-Field\x7f: 1",
                                         std::string("X\0Field: 1", 10),
                                         " Content-Length: 3",
                                         "Content-Length : 3",
                                         "Content-Length\x01: 3",
                                         " Transfer-Encoding: chunked",
                                         "Transfer-Encoding\t: chunked",
                                         " folded"};
    for (const std::string &line : lines) {
        for (const Position position : {Position::First, Position::Middle, Position::Last}) {
            for (const bool isClosed : {false, true}) {
                CAPTURE(line, static_cast<int>(position), isClosed);
                check({line, position, isClosed});
            }
        }
    }
}

/** Returns a handler of raw connections that answers with a broken header and closes them. */
GatewayFixture::RawHandler answerBroken(const BrokenHead &head, const std::string &type, int &runs)
{
    return [head, type, &runs](tcp::socket &socket) -> net::awaitable<void> {
        const std::string request = co_await readHead(socket);
        if (request.empty())
            co_return;
        ++runs;
        const std::string text = head.answer(fieldOf(request, "Id"), type, event1);
        co_await sendText(socket, text);
    };
}

} // namespace

// Guards against an answer with a broken header that a caller gets, and against one without a
// second attempt.
TEST_CASE("An idempotent call with a broken header goes to another server", "[heads]")
{
    forEachBrokenHead([](const BrokenHead &head) {
        const auto answer = [&](int attempt, const std::string &id) {
            return attempt == 1 ? head.answer(id, "text/plain", "mixed")
                                : makeAnswer(id, "text/plain", "answer");
        };
        NumberedServers servers(makeRoute(CallKind::Idempotent), answer, head.isClosed);
        const HttpResponse response = servers.call();
        CHECK(response.status == 200);
        CHECK(response.body == "answer");
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
        CHECK_FALSE(hasCheckedForCrash(servers.fixture));
    });
}

// Guards against a call that runs twice or gets a broken answer as its response.
TEST_CASE("A non-idempotent call with a broken header fails at once", "[heads]")
{
    forEachBrokenHead([](const BrokenHead &head) {
        const auto answer = [&](int, const std::string &id) {
            return head.answer(id, "text/plain", "mixed");
        };
        NumberedServers servers(makeRoute(CallKind::NonIdempotent), answer, head.isClosed);
        const HttpResponse response = servers.call();
        CHECK(response.status == 502);
        CHECK(response.body.find("mixed") == std::string::npos);
        CHECK(servers.runs == 1);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against events of a broken answer in a stream that has not begun.
TEST_CASE("A stream that begins with a broken header fails at once", "[heads]")
{
    forEachBrokenHead([](const BrokenHead &head) {
        const auto answer = [&](int, const std::string &id) {
            return head.answer(id, "text/event-stream", event1);
        };
        NumberedServers servers(makeRoute(CallKind::Stream), answer, head.isClosed);
        const HttpResponse response = servers.call();
        CHECK(response.status == 502);
        CHECK(response.body.find(event1) == std::string::npos);
        CHECK(servers.runs == 1);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against the same where another server may run the stream, also one that is taken up.
TEST_CASE("A resumable stream with a broken header goes to another server", "[heads]")
{
    for (const bool isTakenUp : {false, true}) {
        forEachBrokenHead([isTakenUp](const BrokenHead &head) {
            CAPTURE(isTakenUp);
            const std::string events = isTakenUp ? event2 : event1 + event2;
            const auto answer = [&](int attempt, const std::string &id) {
                return attempt == 1 ? head.answer(id, "text/event-stream", "id: 9\ndata: x\n\n")
                                    : makeAnswer(id, "text/event-stream", events);
            };
            NumberedServers servers(makeRoute(CallKind::Stream, true), answer, head.isClosed);
            HttpHeaders headers;
            if (isTakenUp)
                headers = takeUpFields(servers.fixture);
            const HttpResponse response = servers.call(headers);
            CHECK(response.status == 200);
            CHECK(response.body == events);
            CHECK(servers.runs == 2);
            CHECK(servers.elapsed < endedWithin);
        });
    }
}

// Guards against events of a broken answer in the middle of a stream, which then looks complete.
TEST_CASE("A continuation with a broken header is not part of the stream", "[heads]")
{
    const std::string begun = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream"
                              "\r\nContent-Length: 100\r\n\r\n"
            + event1;
    forEachBrokenHead([&begun](const BrokenHead &head) {
        const auto answer = [&](int attempt, const std::string &id) {
            return attempt == 1 ? begun : head.answer(id, "text/event-stream", event2);
        };
        NumberedServers servers(makeRoute(CallKind::Stream, true), answer, head.isClosed);
        servers.closesFirst = true;
        const HttpResponse response = servers.call();
        CHECK(response.status == 0);
        CHECK(servers.fixture.receivedBody == event1);
        CHECK(servers.runs == 2);
        CHECK(servers.elapsed < endedWithin);
    });
}

// Guards against a call that is sent on a connection on which a broken answer came, and against
// such an answer on a connection that has carried another call.
TEST_CASE("A kept connection with a broken header is closed", "[heads]")
{
    forEachBrokenHead([](const BrokenHead &head) {
        GatewayFixture fixture;
        fixture.addRoute(makeRoute(CallKind::NonIdempotent));
        int connections = 0;
        int runs = 0;
        fixture.addRawServer("a", [&](tcp::socket &socket) -> net::awaitable<void> {
            ++connections;
            while (true) {
                const std::string request = co_await readHead(socket);
                if (request.empty())
                    co_return;
                const std::string id = fieldOf(request, "Id");
                const std::string text = ++runs == 2 ? head.answer(id, "text/plain", "mixed")
                                                     : makeAnswer(id, "text/plain", "answer");
                co_await sendText(socket, text);
            }
        });
        CHECK(fixture.call("/route/1", "first").body == "answer");
        const HttpResponse broken = fixture.call("/route/1", "second");
        CHECK(broken.status == 502);
        CHECK(broken.body.find("mixed") == std::string::npos);
        CHECK(connections == 1);
        CHECK(fixture.call("/route/1", "third").body == "answer");
        CHECK(connections == 2);
    });
}

// Guards against a broken answer of a peer, or of a server behind one, that reaches the caller.
TEST_CASE("A broken header ends a relayed call", "[heads]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const bool isOfPeer = GENERATE(true, false);
    const std::string line = GENERATE(" X-Field: 1", "X-Field : 1", "X\x01: 1", " folded");
    CAPTURE(static_cast<int>(kind), isOfPeer, line);
    const std::string type = kind == CallKind::Stream ? "text/event-stream" : "text/plain";
    int runs = 0;
    StrandedHosts stranded(makeRoute(kind), StrandedHosts::Cut::Refused, {});
    GatewayFixture &second = *stranded.hosts.hosts[1];
    for (const std::string name : {"a", "b", "c"})
        second.markLeaving(name);
    second.addRawServer("broken", answerBroken({line, Position::Middle, false}, type, runs));
    const std::string peer = isOfPeer ? second.addressOf("broken") : stranded.relayAddressOf(1);
    stranded.setPeers({{"1", peer}});
    stranded.notice();
    const Milliseconds start = Clock::steady().now();
    const HttpResponse response = stranded.call("/route/x");
    CHECK(response.status == 502);
    CHECK(response.body.find(event1) == std::string::npos);
    CHECK(Clock::steady().now() - start < endedWithin);
    CHECK(runs == (kind == CallKind::Idempotent && !isOfPeer ? 2 : 1));
}
