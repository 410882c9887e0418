#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using Cut = StrandedHosts::Cut;

constexpr Milliseconds callInterval{50};
/** Within this time a host must have noticed that it is cut off. */
constexpr Milliseconds noticeTime{2000};
constexpr int callCount = 40;
constexpr int streamEvents = 5;

Route makeRoute(CallKind kind)
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = kind;
    route.maximumAttempts = 2;
    route.timeout = Milliseconds(2000);
    route.targetLatency = Milliseconds(300);
    route.targetPause = Milliseconds(100);
    return route;
}

net::awaitable<void> answerCall(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse answer = GatewayFixture::signedAnswer(request);
    co_await responder.send(std::move(answer));
}

net::awaitable<void> answerStream(const HttpRequest &request, HttpResponder &responder)
{
    HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    bool isOpen = co_await responder.startStream(200, headers);
    for (int number = 1; isOpen && number <= streamEvents; ++number)
        isOpen = co_await responder.write("id: " + std::to_string(number) + "\ndata: t\n\n");
    co_await responder.finish();
}

/** Answers after a time in which the call works. */
GatewayFixture::Handler answerAfter(Milliseconds time)
{
    return [time](const HttpRequest &request, HttpResponder &responder) -> net::awaitable<void> {
        co_await GatewayFixture::pause(time);
        HttpResponse answer = GatewayFixture::signedAnswer(request);
        co_await responder.send(std::move(answer));
    };
}

/** Answers like a host that does not forward the call. */
GatewayFixture::Handler refuseWith(int status)
{
    return [status](const HttpRequest &, HttpResponder &responder) -> net::awaitable<void> {
        HttpResponse answer;
        answer.status = status;
        answer.body = "refused";
        co_await responder.send(std::move(answer));
    };
}

/** Closes the connection after the call was read. */
net::awaitable<void> loseConnection(const HttpRequest &, HttpResponder &responder)
{
    responder.abort();
    co_return;
}

/** Returns the identifiers of the calls that a peer got. */
std::vector<std::string> identifiersOf(const PeerStandIn &peer)
{
    std::vector<std::string> identifiers;
    for (const HttpRequest &request : peer.received)
        identifiers.push_back(findHeader(request.headers, "Id").value_or(""));
    return identifiers;
}

/** Returns whether a server got one of the calls. */
bool hasServerReceived(const StrandedHosts &stranded, const std::vector<std::string> &identifiers)
{
    for (const auto &host : stranded.hosts.hosts) {
        for (const ReceivedCall &call : host->received) {
            const std::string id = findHeader(call.request.headers, "Id").value_or("");
            if (std::find(identifiers.begin(), identifiers.end(), id) != identifiers.end())
                return true;
        }
    }
    return false;
}

/** Sends a call through a host and closes the connection after a time without a response. */
void leaveAfter(StrandedHosts &stranded, const std::string &path, Milliseconds time)
{
    bool hasLeft = false;
    const Endpoint endpoint = stranded.hosts.hosts[0]->callerEndpoint();
    net::co_spawn(
            *stranded.hosts.context,
            [&stranded, &hasLeft, endpoint, path, time]() -> net::awaitable<void> {
                Error reason;
                HttpConnection connection(stranded.hosts.context->get_executor(), endpoint);
                const bool isOpen = co_await connection.connect(Milliseconds(500), reason);
                const HttpRequest request = GatewayFixture::makeCall(path, "leaving");
                if (isOpen)
                    co_await connection.exchange(request, time, reason);
                connection.close();
                hasLeft = true;
            },
            net::detached);
    while (!hasLeft)
        stranded.hosts.runFor(Milliseconds(20));
}

/** Returns how many calls through the cut-off host are served once it has noticed. */
std::ptrdiff_t countServed(StrandedHosts &stranded)
{
    stranded.sendCalls("/route/x", static_cast<int>(noticeTime / callInterval), callInterval);
    const auto statuses = stranded.sendCalls("/route/x", callCount, callInterval);
    return std::count(statuses.begin(), statuses.end(), 200);
}

} // namespace

// Guards against a host that is cut off from all servers and goes on to accept calls that it can't
// place, although its peers reach the servers.
TEST_CASE("Calls to a host that reaches no server are served", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent);
    const auto cut = GENERATE(Cut::Refused, Cut::Silent);
    StrandedHosts stranded(makeRoute(kind), cut, answerCall);
    REQUIRE(countServed(stranded) == callCount);
    REQUIRE(stranded.mostArrivals() == 1);
}

// Guards against the same for streams.
TEST_CASE("Streams of a host that reaches no server are served", "[stranded]")
{
    const auto cut = GENERATE(Cut::Refused, Cut::Silent);
    StrandedHosts stranded(makeRoute(CallKind::Stream), cut, answerStream);
    REQUIRE(countServed(stranded) == callCount);
    REQUIRE(stranded.mostArrivals() == 1);
}

// Guards against calls that circle between hosts, or wait for their deadline, when the servers are
// down and each host takes itself for cut off.
TEST_CASE("A service whose servers are down is relayed nowhere", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const auto cut = GENERATE(Cut::Refused, Cut::Silent);
    StrandedHosts stranded(makeRoute(kind), cut, answerCall);
    for (std::size_t host = 0; host < stranded.hosts.size(); ++host)
        stranded.strand(host);
    for (std::size_t host = 0; host < stranded.hosts.size(); ++host)
        stranded.notice(host);
    for (int index = 0; index < 5; ++index) {
        const Milliseconds sentAt = Clock::steady().now();
        REQUIRE(stranded.call("/route/x").status == 503);
        CHECK(Clock::steady().now() - sentAt < Milliseconds(1000));
    }
    CHECK(stranded.arrivals() == 0);
    for (const auto &host : stranded.hosts.hosts)
        CHECK(host->metricsText().find("sassafrasyard_relayed_calls_total") == std::string::npos);
}

// Guards against a host that goes on to burden its peers after it reaches servers again.
TEST_CASE("A host that reaches servers again sends calls there within half a second", "[stranded]")
{
    const auto cut = GENERATE(Cut::Refused, Cut::Silent);
    StrandedHosts stranded(makeRoute(CallKind::Idempotent), cut, answerCall);
    stranded.notice();
    stranded.sendCalls("/route/x", 5, callInterval);
    REQUIRE(stranded.relayedArrivals() == 5);
    stranded.rejoin();
    stranded.hosts.runFor(Milliseconds(500));
    const auto statuses = stranded.sendCalls("/route/x", 20, callInterval);
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 20);
    CHECK(stranded.relayedArrivals() == 5);
    CHECK(stranded.arrivals() == 25);
}

// Guards against a call that runs twice because its peer was lost after it had got the call.
TEST_CASE("A call whose peer is lost after it was sent is not run twice", "[stranded]")
{
    const auto kind = GENERATE(CallKind::NonIdempotent, CallKind::Stream);
    StrandedHosts stranded(makeRoute(kind), Cut::Refused, answerStream);
    PeerStandIn lost(*stranded.hosts.context, loseConnection);
    stranded.setPeers({{"1", lost.address()}, {"2", stranded.relayAddressOf(2)}});
    stranded.notice();
    constexpr int calls = 30;
    const auto statuses = stranded.sendCalls("/route/x", calls, callInterval);
    const std::ptrdiff_t served = std::count(statuses.begin(), statuses.end(), 200);
    const std::ptrdiff_t unknown = std::count(statuses.begin(), statuses.end(), 502)
            + std::count(statuses.begin(), statuses.end(), 504);
    REQUIRE_FALSE(lost.received.empty());
    CHECK(unknown == static_cast<std::ptrdiff_t>(lost.received.size()));
    CHECK(served + unknown == calls);
    CHECK_FALSE(hasServerReceived(stranded, identifiersOf(lost)));
    CHECK(stranded.mostArrivals() == 1);
}

// Guards against callers that are refused because one of several peers has no room.
TEST_CASE("A call that a peer refuses as not run goes to another peer", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const int status = GENERATE(503, 429, 408);
    StrandedHosts stranded(makeRoute(kind), Cut::Refused, answerStream);
    PeerStandIn full(*stranded.hosts.context, refuseWith(status));
    stranded.setPeers({{"1", full.address()}, {"2", stranded.relayAddressOf(2)}});
    stranded.notice();
    constexpr int calls = 30;
    const auto statuses = stranded.sendCalls("/route/x", calls, callInterval);
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == calls);
    CHECK_FALSE(full.received.empty());
    CHECK(stranded.mostArrivals() == 1);
}

// Guards against callers that get no answer, or an answer without a reason, if all peers refuse.
TEST_CASE("A call that all peers refuse gets the refusal of the last one", "[stranded]")
{
    StrandedHosts stranded(makeRoute(CallKind::Idempotent), Cut::Refused, answerCall);
    PeerStandIn full(*stranded.hosts.context, refuseWith(429));
    stranded.setPeers({{"1", full.address()}});
    stranded.notice();
    const HttpResponse response = stranded.call("/route/x");
    CHECK(response.status == 429);
    CHECK(response.body == "refused");
    CHECK(full.received.size() == 1);
}

// Guards against servers that work on relayed calls whose callers have left.
TEST_CASE("A caller that leaves cancels its call at the server of the peer", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::Stream);
    bool isCancelled = false;
    const auto work = [&isCancelled](const HttpRequest &request,
                                     HttpResponder &responder) -> net::awaitable<void> {
        responder.setCallerGoneHook([&isCancelled] { isCancelled = true; });
        co_await GatewayFixture::pause(Milliseconds(1500));
        HttpResponse answer = GatewayFixture::signedAnswer(request);
        co_await responder.send(std::move(answer));
    };
    Route route = makeRoute(kind);
    route.targetLatency = Milliseconds(2000);
    StrandedHosts stranded(route, Cut::Refused, work);
    stranded.notice();
    leaveAfter(stranded, "/route/x", Milliseconds(200));
    REQUIRE(stranded.relayedArrivals() == 1);
    stranded.hosts.runFor(Milliseconds(300));
    CHECK(isCancelled);
    stranded.hosts.runFor(Milliseconds(1500));
    CHECK(stranded.arrivals() == 1);
}

// Guards against servers that work on a relayed call beyond its deadline.
TEST_CASE("The deadline of a relayed call is not later than that of its caller", "[stranded]")
{
    constexpr Milliseconds answerTime{300};
    StrandedHosts stranded(makeRoute(CallKind::Idempotent), Cut::Refused, answerCall);
    stranded.setPeers({{"2", stranded.relayAddressOf(2)}}, answerTime);
    stranded.notice();
    // What the peers told when the host noticed no longer counts, so the call waits for an answer.
    stranded.hosts.runFor(Milliseconds(3500));
    const bool isTold = GENERATE(true, false);
    HttpHeaders headers;
    if (isTold)
        headers.emplace_back("Patience", "1500");
    REQUIRE(stranded.call("/route/x", headers).status == 200);
    const std::vector<ReceivedCall> &received = stranded.hosts.hosts[1]->received;
    REQUIRE(received.size() == 1);
    const auto left = findHeader(received.front().request.headers, "Left");
    REQUIRE(left);
    const Milliseconds limit = isTold ? Milliseconds(1500) : Milliseconds(2000);
    CHECK(Milliseconds(std::stoll(*left)) <= limit - answerTime);
    CHECK(Milliseconds(std::stoll(*left)) > limit - answerTime - Milliseconds(500));
}

// Guards against callers that wait longer than they asked for, because a peer does not answer.
TEST_CASE("A relayed call ends at its deadline if its peer does not answer", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent);
    StrandedHosts stranded(makeRoute(kind), Cut::Refused, answerCall);
    PeerStandIn silent(*stranded.hosts.context, answerAfter(Milliseconds(3000)));
    stranded.setPeers({{"1", silent.address()}});
    stranded.notice();
    const Milliseconds sentAt = Clock::steady().now();
    CHECK(stranded.call("/route/x", {{"Patience", "800"}}).status == 504);
    CHECK(Clock::steady().now() - sentAt < Milliseconds(1200));
    stranded.hosts.runFor(Milliseconds(3000));
    CHECK(silent.received.size() == 1);
}

// Guards against calls that go from host to host, because a peer has lost the servers since it was
// asked.
TEST_CASE("A call that its peer can't place is not relayed on", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream);
    const auto cut = GENERATE(Cut::Refused, Cut::Silent);
    StrandedHosts stranded(makeRoute(kind), cut, answerCall);
    stranded.setPeers({{"1", stranded.relayAddressOf(1)}});
    stranded.strand(1);
    stranded.notice(1);
    stranded.notice();
    CHECK(stranded.call("/route/x").status == 503);
    CHECK(stranded.arrivals() == 0);
}

// Guards against a listener for peers that forwards calls without their key.
TEST_CASE("A host checks the key of a relayed call", "[stranded]")
{
    StrandedHosts stranded(makeRoute(CallKind::Idempotent), Cut::Refused, answerCall);
    const std::string address = stranded.relayAddressOf(1);
    std::optional<int> status;
    net::co_spawn(
            *stranded.hosts.context,
            [&]() -> net::awaitable<void> {
                Error reason;
                HttpConnection connection(stranded.hosts.context->get_executor(),
                                          *parseEndpoint(address, reason));
                const bool isOpen = co_await connection.connect(Milliseconds(500), reason);
                HttpRequest request = GatewayFixture::makeCall("/route/x", "unknown-key");
                request.headers.back().second = "another key";
                std::optional<HttpResponse> response;
                if (isOpen)
                    response = co_await connection.exchange(request, Milliseconds(1000), reason);
                status = response ? response->status : 0;
            },
            net::detached);
    while (!status)
        stranded.hosts.runFor(Milliseconds(20));
    CHECK(*status == 401);
    CHECK(stranded.arrivals() == 0);
}

// Guards against callers that are told that their key or path is unknown, because a peer has not
// read the configuration yet that their own host has.
TEST_CASE("A denial by a peer with another configuration reaches the caller as 503", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::Stream);
    const int status = GENERATE(401, 403, 404);
    StrandedHosts stranded(makeRoute(kind), Cut::Refused, answerStream);
    PeerStandIn other(*stranded.hosts.context, refuseWith(status));
    stranded.setPeers({{"1", other.address()}});
    stranded.notice();
    const HttpResponse response = stranded.call("/route/x");
    CHECK(response.status == 503);
    CHECK(findHeader(response.headers, "Retry-After"));
    CHECK(other.received.size() == 1);
}

// Guards against calls that peers handle by older routes than those in force at their own host, and
// against peers that are not chosen although they have the routes by now.
TEST_CASE("Calls wait for peers that have the routes of their host", "[stranded]")
{
    StrandedHosts stranded(makeRoute(CallKind::Idempotent), Cut::Refused, answerCall);
    Route added = makeRoute(CallKind::Idempotent);
    added.name = "added";
    added.pathPrefix = "/added/";
    stranded.hosts.hosts[0]->addRoute(added);
    stranded.notice();
    CHECK(stranded.call("/added/x").status == 503);
    CHECK(stranded.call("/route/x").status == 503);
    CHECK(stranded.arrivals() == 0);
    for (const std::size_t peer : {1U, 2U})
        stranded.hosts.hosts[peer]->addRoute(added);
    stranded.hosts.runFor(Milliseconds(1000));
    CHECK(stranded.call("/added/x").status == 200);
    CHECK(stranded.call("/route/x").status == 200);
}

// Guards against an answer of a server that is taken for a refusal by the peer, and is run again.
TEST_CASE("A denial by a server reaches the caller through a peer", "[stranded]")
{
    const int status = GENERATE(401, 404, 429, 503);
    const auto deny = [status](const HttpRequest &request,
                               HttpResponder &responder) -> net::awaitable<void> {
        HttpResponse answer = GatewayFixture::signedAnswer(request, status);
        co_await responder.send(std::move(answer));
    };
    StrandedHosts stranded(makeRoute(CallKind::NonIdempotent), Cut::Refused, deny);
    stranded.notice();
    CHECK(stranded.call("/route/x").status == status);
    CHECK(stranded.arrivals() == 1);
}

// Guards against calls that are lost because their peer stops.
TEST_CASE("Calls through a peer that stops are served", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent);
    StrandedHosts stranded(makeRoute(kind), Cut::Refused, answerAfter(Milliseconds(30)));
    stranded.notice();
    auto statuses = stranded.sendCalls("/route/x", 10, callInterval);
    stranded.hosts.hosts[1]->drain(Milliseconds(4000));
    const auto duringGrace = stranded.sendCalls("/route/x", 20, callInterval);
    stranded.hosts.hosts[1]->closeIdle();
    const auto afterClose = stranded.sendCalls("/route/x", 20, callInterval);
    statuses.insert(statuses.end(), duringGrace.begin(), duringGrace.end());
    statuses.insert(statuses.end(), afterClose.begin(), afterClose.end());
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 50);
    CHECK(stranded.mostArrivals() == 1);
}

// Guards against relayed calls that are cut without a final response when their host stops.
TEST_CASE("A host that stops gives its relayed calls a final response", "[stranded]")
{
    const auto kind = GENERATE(CallKind::Idempotent, CallKind::NonIdempotent);
    const bool endsInGrace = GENERATE(true, false);
    Route route = makeRoute(kind);
    route.targetLatency = Milliseconds(2000);
    StrandedHosts stranded(route, Cut::Refused, answerAfter(Milliseconds(600)));
    stranded.notice();
    std::optional<int> status;
    stranded.hosts.send(0, "/route/x",
                        [&status](const HttpResponse &response) { status = response.status; });
    stranded.hosts.runFor(Milliseconds(200));
    REQUIRE(stranded.relayedArrivals() == 1);
    stranded.hosts.hosts[0]->drain(Milliseconds(4000));
    if (endsInGrace)
        stranded.hosts.runFor(Milliseconds(600));
    stranded.hosts.hosts[0]->closeIdle();
    stranded.hosts.hosts[0]->endCalls();
    stranded.hosts.runFor(Milliseconds(200));
    REQUIRE(status);
    if (endsInGrace)
        CHECK(*status == 200);
    else
        CHECK((*status == 502 || *status == 504));
    stranded.hosts.runFor(Milliseconds(500));
    CHECK(stranded.arrivals() == 1);
}

// Guards against calls that wait for servers until their deadline, although peers reach these.
TEST_CASE("Calls that wait when their service becomes unreached are relayed", "[stranded]")
{
    Route route = makeRoute(CallKind::Idempotent);
    route.timeout = Milliseconds(5000);
    route.targetLatency = Milliseconds(3000);
    constexpr std::size_t slots = 24;
    constexpr std::size_t waiting = 8;
    StrandedHosts stranded(route, Cut::Refused, answerAfter(Milliseconds(2000)));
    stranded.rejoin();
    std::vector<int> statuses;
    for (std::size_t index = 0; index < slots + waiting; ++index) {
        stranded.hosts.send(0, "/route/x", [&statuses](const HttpResponse &response) {
            statuses.push_back(response.status);
        });
    }
    stranded.hosts.runFor(Milliseconds(300));
    REQUIRE(stranded.arrivals() == slots);
    stranded.strand();
    stranded.notice();
    stranded.hosts.runFor(Milliseconds(300));
    CHECK(stranded.relayedArrivals() == waiting);
    stranded.hosts.runFor(Milliseconds(3000));
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == slots + waiting);
    CHECK(stranded.mostArrivals() == 1);
}
