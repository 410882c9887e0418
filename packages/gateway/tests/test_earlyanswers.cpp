#include "numberedservers.h"
#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

/** More than the buffers of a connection hold at once, so that the host is still writing it. */
constexpr std::size_t uploadBytes = 8U << 20U;
const std::string event3 = "id: 3\ndata: c\n\n";

/** How a server ends the connection after its answer. */
enum class Ending {
    /** By a reset. */
    Reset,
    /** In order. */
    Shutdown,
    /** In order, and by a reset at once. */
    ShutdownThenReset,
    /** Not at all, until the host closes it. */
    Open,
};

/** An answer and how its connection ends. */
struct Answer
{
    std::string text;
    Ending ending = Ending::Reset;
};

std::string makeHead(const std::string &id, const std::string &type, const std::string &framing,
                     int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\nSignature: s\r\nId: " + id
            + "\r\nContent-Type: " + type + "\r\n" + framing + "\r\n\r\n";
}

/** Returns the begin of a response with neither a length nor chunks. */
std::string makeUnframed(const std::string &id, const std::string &type, const std::string &body)
{
    return makeHead(id, type, "Connection: close") + body;
}

std::string makeChunked(const std::string &id, const std::string &type, const std::string &body)
{
    return makeHead(id, type, "Transfer-Encoding: chunked") + "4\r\n" + body + "\r\n0\r\n\r\n";
}

/** Servers whose answers are given by the number of the request. */
class EarlyServers
{
public:
    /** Returns the answer to a request with this header. */
    using Answers = std::function<Answer(int attempt, const std::string &head)>;

    EarlyServers(const Route &route, Answers answers)
        : answers(std::move(answers))
    {
        this->fixture.callerLimits.bodyBytes = uploadBytes;
        this->fixture.addRoute(route);
        for (const std::string name : {"a", "b"})
            this->fixture.addRawServer(name,
                                       [this](tcp::socket &socket) { return this->serve(socket); });
    }

    /** Sends an upload. @return the response; its status is 0 if it is incomplete. */
    HttpResponse upload(const HttpHeaders &headers = {}, std::size_t size = uploadBytes)
    {
        HttpRequest request =
                GatewayFixture::makeCall("/route/1", std::to_string(++this->calls), headers);
        request.body.assign(size, 'u');
        const Milliseconds start = Clock::steady().now();
        HttpResponse response = this->fixture.call(request);
        this->elapsed = Clock::steady().now() - start;
        return response;
    }

    /** The headers of the requests, and on which connection each of them came. */
    std::vector<std::string> heads;
    std::vector<int> connectionsOfRequests;
    int connections = 0;
    Milliseconds elapsed{0};
    GatewayFixture fixture;

private:
    net::awaitable<void> serve(tcp::socket &socket)
    {
        const int connection = ++this->connections;
        Ending ending = Ending::Open;
        while (ending == Ending::Open) {
            const std::string next = co_await this->answer(socket, connection, ending);
            if (next.empty())
                co_return;
        }
        boost::system::error_code ignored;
        if (ending != Ending::Reset)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        if (ending == Ending::Shutdown)
            co_await GatewayFixture::pause(Milliseconds(300));
        else
            resetConnection(socket);
    }

    /** Answers a request. @return its header, or an empty text after the end of the connection. */
    net::awaitable<std::string> answer(tcp::socket &socket, int connection, Ending &ending)
    {
        // The rest of an upload does not begin with a method.
        std::string head = co_await readHeadOnly(socket);
        if (head.rfind("POST ", 0) != 0)
            co_return std::string();
        this->heads.push_back(head);
        this->connectionsOfRequests.push_back(connection);
        const Answer answer = this->answers(static_cast<int>(this->heads.size()), head);
        co_await sendText(socket, answer.text);
        // The host has read the answer when the connection ends.
        co_await GatewayFixture::pause(Milliseconds(30));
        ending = answer.ending;
        co_return head;
    }

    Answers answers;
    int calls = 0;
};

/** Returns a handler of raw connections that answers early and then resets the connection. */
GatewayFixture::RawHandler resetAfter(std::function<std::string(const std::string &id)> answer,
                                      std::shared_ptr<int> runs)
{
    return [answer = std::move(answer),
            runs = std::move(runs)](tcp::socket &socket) -> net::awaitable<void> {
        const std::string head = co_await readHeadOnly(socket);
        if (head.empty())
            co_return;
        ++*runs;
        const std::string text = answer(fieldOf(head, "Id"));
        co_await sendText(socket, text);
        co_await GatewayFixture::pause(Milliseconds(30));
        resetConnection(socket);
    };
}

/** Hosts of which the first one is cut off from the servers, with a route for uploads. */
StrandedHosts makeStrandedHosts(CallKind kind)
{
    StrandedHosts stranded(makeRoute(kind), StrandedHosts::Cut::Refused, {});
    Route route = makeRoute(kind);
    route.name = "upload";
    route.pathPrefix = "/upload/";
    for (const auto &host : stranded.hosts.hosts)
        host->callerLimits.bodyBytes = uploadBytes;
    stranded.hosts.addRoute(route);
    return stranded;
}

/** Sends an upload through the first host. @return the response; its status is 0 if incomplete. */
HttpResponse uploadThrough(StrandedHosts &stranded)
{
    HttpRequest request =
            GatewayFixture::makeCall("/upload/x", "call-1", {{GatewayHosts::hostField, "host-0"}});
    request.body.assign(uploadBytes, 'u');
    std::optional<HttpResponse> response;
    stranded.hosts.hosts[0]->send(
            request, [&response](const HttpResponse &received) { response = received; });
    while (!response)
        stranded.hosts.runFor(Milliseconds(20));
    return *response;
}

} // namespace

// Guards against a part of an answer that its caller gets as the whole, and against a second run.
TEST_CASE("An early answer that is reset fails a non-idempotent upload", "[resets]")
{
    for (const std::string body : {"", "part"}) {
        CAPTURE(body);
        EarlyServers servers(makeRoute(CallKind::NonIdempotent),
                             [&](int, const std::string &head) -> Answer {
                                 return {makeUnframed(fieldOf(head, "Id"), "text/plain", body)};
                             });
        const HttpResponse response = servers.upload();
        CHECK(response.status == 502);
        CHECK(response.body.find("part") == std::string::npos);
        CHECK(servers.heads.size() == 1);
        CHECK(servers.elapsed < endedWithin);
    }
}

// Guards against the same where another server may run the upload.
TEST_CASE("An early answer that is reset sends an idempotent upload elsewhere", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::Idempotent),
                         [](int attempt, const std::string &head) -> Answer {
                             const std::string id = fieldOf(head, "Id");
                             if (attempt == 1)
                                 return {makeUnframed(id, "text/plain", "part")};
                             return {makeAnswer(id, "text/plain", "body"), Ending::Open};
                         });
    const HttpResponse response = servers.upload();
    CHECK(response.status == 200);
    CHECK(response.body == "body");
    CHECK(servers.heads.size() == 2);
    CHECK(servers.elapsed < endedWithin);
}

// Guards against an upload that is repeated more often than its route permits.
TEST_CASE("Early answers that are reset at all servers end an idempotent upload", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::Idempotent),
                         [](int, const std::string &head) -> Answer {
                             return {makeUnframed(fieldOf(head, "Id"), "text/plain", "part")};
                         });
    const HttpResponse response = servers.upload();
    CHECK(response.status == 502);
    CHECK(servers.heads.size() == 2);
    CHECK(servers.elapsed < endedWithin);
}

// Guards against the same on a connection that has carried another call.
TEST_CASE("An early answer that is reset on a kept connection is not whole", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::NonIdempotent),
                         [](int attempt, const std::string &head) -> Answer {
                             const std::string id = fieldOf(head, "Id");
                             if (attempt == 2)
                                 return {makeUnframed(id, "text/plain", "part")};
                             return {makeAnswer(id, "text/plain", "body"), Ending::Open};
                         });
    servers.fixture.removeEntry("b");
    REQUIRE(servers.upload({}, 10).body == "body");
    const HttpResponse response = servers.upload();
    CHECK(response.status == 502);
    CHECK(response.body.find("part") == std::string::npos);
    CHECK(servers.connectionsOfRequests == std::vector<int>{1, 1});
}

// Guards against whole answers that are lost because their upload was not read, and against the
// next call on a connection where the rest of the upload is due.
TEST_CASE("A whole early answer is delivered and its connection not used again", "[resets]")
{
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent}) {
        for (const Ending ending :
             {Ending::Reset, Ending::Shutdown, Ending::ShutdownThenReset, Ending::Open}) {
            for (const std::string framing : {"length", "chunks", "none"}) {
                if (framing == "none" && (ending == Ending::Reset || ending == Ending::Open))
                    continue;
                CAPTURE(static_cast<int>(kind), static_cast<int>(ending), framing);
                EarlyServers servers(makeRoute(kind), [&](int, const std::string &head) -> Answer {
                    const std::string id = fieldOf(head, "Id");
                    if (framing == "none")
                        return {makeUnframed(id, "text/plain", "body"), ending};
                    if (framing == "chunks")
                        return {makeChunked(id, "text/plain", "body"), ending};
                    return {makeAnswer(id, "text/plain", "body"), ending};
                });
                for (int call = 1; call <= 2; ++call) {
                    const HttpResponse response = servers.upload();
                    CHECK(response.status == 200);
                    CHECK(response.body == "body");
                    CHECK(static_cast<int>(servers.heads.size()) == call);
                }
                CHECK(servers.connectionsOfRequests[0] != servers.connectionsOfRequests[1]);
            }
        }
    }
}

// Guards against a stream that ends as complete after the events that came before a reset.
TEST_CASE("An unframed stream that is reset during its upload is cut", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::Stream), [](int, const std::string &head) -> Answer {
        return {makeUnframed(fieldOf(head, "Id"), "text/event-stream", event1)};
    });
    const HttpResponse response = servers.upload();
    CHECK(response.status == 0);
    CHECK(servers.fixture.receivedBody == event1);
    CHECK(servers.heads.size() == 1);
}

// Guards against the same for a body that is no event stream, and for one without an event.
TEST_CASE("Other unframed bodies of a stream that are reset are not whole", "[resets]")
{
    for (const std::string type : {"text/plain", "text/event-stream"}) {
        CAPTURE(type);
        const std::string body = type == "text/plain" ? "part" : "";
        EarlyServers servers(makeRoute(CallKind::Stream),
                             [&](int, const std::string &head) -> Answer {
                                 return {makeUnframed(fieldOf(head, "Id"), type, body)};
                             });
        CHECK(servers.upload().status != 200);
        CHECK(servers.heads.size() == 1);
    }
}

// Guards against a failure of a server that its caller gets with a part of its body.
TEST_CASE("An unframed failure of a stream that is reset is not passed on", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::Stream), [](int, const std::string &head) -> Answer {
        return {makeHead(fieldOf(head, "Id"), "text/plain", "Connection: close", 404) + "part"};
    });
    const HttpResponse response = servers.upload();
    CHECK(response.status != 404);
    CHECK(response.body.find("part") == std::string::npos);
}

// Guards against a resumable stream that ends early, and against events that come twice.
TEST_CASE("A resumable stream that is reset during its upload goes on elsewhere", "[resets]")
{
    EarlyServers servers(
            makeRoute(CallKind::Stream, true), [](int attempt, const std::string &head) -> Answer {
                const std::string id = fieldOf(head, "Id");
                if (attempt == 1)
                    return {makeUnframed(id, "text/event-stream", event1)};
                return {makeAnswer(id, "text/event-stream", event2 + event3), Ending::Open};
            });
    const HttpResponse response = servers.upload();
    CHECK(response.status == 200);
    CHECK(response.body == event1 + event2 + event3);
    REQUIRE(servers.heads.size() == 2);
    CHECK(fieldOf(servers.heads[1], "Last") == "1");
}

// Guards against the same in the part that continues a stream.
TEST_CASE("A continuation that is reset during its upload is cut", "[resets]")
{
    EarlyServers servers(makeRoute(CallKind::Stream, true),
                         [](int attempt, const std::string &head) -> Answer {
                             return {makeUnframed(fieldOf(head, "Id"), "text/event-stream",
                                                  attempt == 1 ? event1 : event2)};
                         });
    const HttpResponse response = servers.upload();
    CHECK(response.status == 0);
    CHECK(servers.fixture.receivedBody == event1 + event2);
    CHECK(servers.heads.size() == 2);
}

// Guards against the same in a stream that its caller takes up.
TEST_CASE("A stream that is taken up and reset during its upload goes on or is cut", "[resets]")
{
    for (const bool isOnlyServer : {true, false}) {
        CAPTURE(isOnlyServer);
        Route route = makeRoute(CallKind::Stream, true);
        route.maximumAttempts = isOnlyServer ? 1 : 2;
        EarlyServers servers(route, [](int attempt, const std::string &head) -> Answer {
            const std::string id = fieldOf(head, "Id");
            if (attempt == 1)
                return {makeUnframed(id, "text/event-stream", event2)};
            return {makeAnswer(id, "text/event-stream", event3), Ending::Open};
        });
        const HttpResponse response = servers.upload(takeUpFields(servers.fixture));
        CHECK(response.status == (isOnlyServer ? 0 : 200));
        CHECK(servers.fixture.receivedBody == (isOnlyServer ? event2 : event2 + event3));
        REQUIRE_FALSE(servers.heads.empty());
        CHECK(fieldOf(servers.heads.front(), "Last") == "1");
    }
}

// Guards against a part of an answer that passes a peer as the whole.
TEST_CASE("An early answer that is reset does not pass a peer", "[resets]")
{
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream}) {
        CAPTURE(static_cast<int>(kind));
        StrandedHosts stranded = makeStrandedHosts(kind);
        GatewayFixture &relaying = *stranded.hosts.hosts[1];
        const std::string type = kind == CallKind::Stream ? "text/event-stream" : "text/plain";
        const auto runs = std::make_shared<int>(0);
        for (const std::string name : {"a", "b", "c"})
            relaying.markLeaving(name);
        relaying.addRawServer(
                "early",
                resetAfter([type](const std::string &id) { return makeUnframed(id, type, event1); },
                           runs));
        stranded.setPeers({{"1", stranded.relayAddressOf(1)}});
        stranded.notice();
        const HttpResponse response = uploadThrough(stranded);
        CHECK(response.status == (kind == CallKind::Stream ? 0 : 502));
        CHECK(response.body.find(event1) == std::string::npos);
        CHECK(*runs == (kind == CallKind::Idempotent ? 2 : 1));
    }
}

// Guards against a part of a peer's answer, with and without framing.
TEST_CASE("An early answer of a peer that is reset is not whole", "[resets]")
{
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream}) {
        for (const std::string framing :
             {"Connection: close", "Content-Length: 100", "Transfer-Encoding: chunked"}) {
            CAPTURE(static_cast<int>(kind), framing);
            StrandedHosts stranded = makeStrandedHosts(kind);
            GatewayFixture &peer = *stranded.hosts.hosts[2];
            const std::string body = framing.find("chunked") == std::string::npos
                    ? event1
                    : "f\r\n" + event1 + "\r\n";
            const auto runs = std::make_shared<int>(0);
            peer.addRawServer("peer",
                              resetAfter(
                                      [=](const std::string &id) {
                                          return makeHead(id, "text/event-stream", framing) + body;
                                      },
                                      runs));
            stranded.setPeers({{"1", peer.addressOf("peer")}});
            stranded.notice();
            const HttpResponse response = uploadThrough(stranded);
            CHECK(response.status == (kind == CallKind::Stream ? 0 : 502));
            CHECK(response.body.find(event1) == std::string::npos);
            CHECK(*runs == 1);
        }
    }
}
