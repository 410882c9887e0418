#include "limitedserver.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <limits>

using namespace sassafrasyard;

namespace {

constexpr std::size_t hostCount = 9;
/** The interval of each host's calls: 36 calls a second over all hosts. */
constexpr Milliseconds callInterval{250};

Route makeRoute()
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = CallKind::Idempotent;
    route.maximumAttempts = 2;
    route.timeout = Milliseconds(1000);
    route.targetLatency = Milliseconds(300);
    return route;
}

/** What callers got. */
struct Outcomes
{
    std::size_t answered = 0;
    std::size_t other = 0;
    /** The other responses, for the report of a failed check. */
    std::string otherResponses;

    void record(const HttpResponse &response)
    {
        ++(response.status == 200 ? this->answered : this->other);
        if (response.status != 200)
            this->otherResponses += std::to_string(response.status) + " " + response.body + "\n";
    }
};

/** Sends calls through all hosts in turn for a time, and waits until they have ended. */
Outcomes sendCalls(GatewayHosts &hosts, Milliseconds time)
{
    Outcomes outcomes;
    const Milliseconds interval = callInterval / hosts.size();
    const Milliseconds end = Clock::steady().now() + time;
    for (std::size_t call = 0; Clock::steady().now() < end; ++call) {
        hosts.send(call % hosts.size(), "/route/x",
                   [&outcomes](const HttpResponse &response) { outcomes.record(response); });
        hosts.runFor(interval);
    }
    hosts.runFor(Milliseconds(1500));
    return outcomes;
}

} // namespace

// Guards against hosts that each choose a server with a limit as if it had none, so that it gets
// more calls than it takes from all of them together.
TEST_CASE("A server with a limit gets no more calls than that from all hosts together", "[limit]")
{
    GatewayHosts hosts(hostCount);
    hosts.addRoute(makeRoute());
    LimitedServer first(hosts, "first", 2.3);
    LimitedServer second(hosts, "second", 3.0);
    LimitedServer third(hosts, "third");
    LimitedServer fourth(hosts, "fourth");
    const Outcomes outcomes = sendCalls(hosts, Milliseconds(9000));
    INFO(outcomes.otherResponses);
    CHECK(outcomes.other == 0);
    CHECK(first.largestCount() <= LimitedServer::permittedCalls(2.3));
    CHECK(second.largestCount() <= LimitedServer::permittedCalls(3.0));
    // The limited servers still get calls: half of what they take at least.
    CHECK(first.settledCount() >= 6);
    CHECK(second.settledCount() >= 8);
    CHECK(third.callCount + fourth.callCount > 100);
}

// Guards against a call that waits until its deadline although no server has room for it, and
// against a retry time at which there is still no room.
TEST_CASE("A call without room at any server is refused at once and tells when to return",
          "[limit]")
{
    GatewayHosts hosts(3);
    hosts.addRoute(makeRoute());
    LimitedServer first(hosts, "first", 0.5);
    LimitedServer second(hosts, "second", 0.5);
    sendCalls(hosts, Milliseconds(4000));
    std::optional<HttpResponse> refusal;
    Milliseconds refusedAt{0};
    for (std::size_t call = 0; !refusal && call < 20; ++call) {
        const Milliseconds sentAt = Clock::steady().now();
        bool hasEnded = false;
        hosts.send(0, "/route/x", [&](HttpResponse response) {
            hasEnded = true;
            if (response.status != 200)
                refusal = std::move(response);
        });
        while (!hasEnded)
            hosts.runFor(Milliseconds(5));
        refusedAt = Clock::steady().now();
        REQUIRE(refusedAt - sentAt < Milliseconds(150));
    }
    REQUIRE(refusal);
    REQUIRE(refusal->status == 503);
    REQUIRE(refusal->body.find("not_run") != std::string::npos);
    const auto seconds = findHeader(refusal->headers, "Retry-After");
    REQUIRE(seconds);
    hosts.runFor(Milliseconds(1000 * std::stoi(*seconds)));
    int status = 0;
    hosts.send(0, "/route/x", [&](const HttpResponse &response) { status = response.status; });
    hosts.runFor(Milliseconds(200));
    CHECK(status == 200);
}

// Guards against a server that gets too few calls after its limit has ended.
TEST_CASE("A server whose limit has ended gets calls again from all hosts", "[limit]")
{
    GatewayHosts hosts(hostCount);
    hosts.addRoute(makeRoute());
    LimitedServer only(hosts, "only", 2.0);
    sendCalls(hosts, Milliseconds(3000));
    only.limit.reset();
    hosts.runFor(Milliseconds(500));
    sendCalls(hosts, Milliseconds(1500));
    const std::size_t before = only.callCount;
    const Outcomes outcomes = sendCalls(hosts, Milliseconds(2000));
    CHECK(only.callCount - before >= 60);
    INFO(outcomes.otherResponses);
    CHECK(outcomes.other == 0);
}

// Guards against calls that are held up or lost while the host that permits them does not answer.
TEST_CASE("A silent granter delays calls to other servers only briefly", "[limit]")
{
    GatewayHosts hosts(hostCount);
    hosts.addRoute(makeRoute());
    LimitedServer limited(hosts, "limited", 3.0);
    LimitedServer other(hosts, "other");
    sendCalls(hosts, Milliseconds(1000));
    hosts.silenceGranters();
    const std::size_t before = limited.callCount;
    const Outcomes outcomes = sendCalls(hosts, Milliseconds(3000));
    INFO(outcomes.otherResponses);
    CHECK(outcomes.other == 0);
    CHECK(limited.callCount - before <= LimitedServer::permittedCalls(3.0));
}

// Guards against repeated attempts that are not counted under the limit.
TEST_CASE("Further attempts of calls count under the limit", "[limit]")
{
    GatewayHosts hosts(hostCount);
    hosts.addRoute(makeRoute());
    LimitedServer limited(hosts, "limited", 2.0);
    LimitedServer failing(hosts, "failing");
    failing.status = 500;
    sendCalls(hosts, Milliseconds(8000));
    CHECK(limited.largestCount() <= LimitedServer::permittedCalls(2.0));
    CHECK(limited.settledCount() >= 5);
}

// Guards against a peer's malformed limit that stops calls or the process.
TEST_CASE("Malformed limits of peers are ignored", "[limit]")
{
    GatewayFixture fixture;
    ServerLimiter &limiter = fixture.serverLimiter();
    const double infinity = std::numeric_limits<double>::infinity();
    const std::vector<CallLimitMessage> malformed{{"", true, 1.0, 0, 1},
                                                  {"server/1", true, -1.0, 0, 2},
                                                  {"server/1", true, infinity, 0, 3},
                                                  {"server/1", true, std::nan(""), 0, 4},
                                                  {"server/1", true, 1.0, ~0ULL, 5}};
    limiter.recordMessages(malformed);
    REQUIRE_FALSE(limiter.limit(BackendServerName("server/1")));
    REQUIRE_FALSE(limiter.limit(BackendServerName("")));
    CallPermitRequest request;
    request.limit = malformed[3];
    REQUIRE(limiter.answer(request).isGranted);
    limiter.recordMessages(std::vector<CallLimitMessage>{{"server/1", true, 0.5, 10, 6}});
    REQUIRE(limiter.limit(BackendServerName("server/1")) == 0.5);
}

// Guards against a call that is sent after its permit arrives although a planned stop has begun
// meanwhile, which the call outlasts.
TEST_CASE("A call that waits for a permit at a planned stop and outlasts it is not sent", "[limit]")
{
    constexpr int peerCount = 20;
    GatewayFixture fixture;
    fixture.addRoute(makeRoute());
    fixture.addServer("limited",
                      [](const HttpRequest &request,
                         HttpResponder &responder) -> boost::asio::awaitable<void> {
                          co_await responder.send(GatewayFixture::signedAnswer(request));
                      });
    std::vector<MemberRecord> members;
    for (int index = 0; index < peerCount; ++index) {
        MemberRecord record;
        record.host = HostName("peer-" + std::to_string(index));
        record.incarnation = HostIncarnation(record.host.toString() + "-run");
        record.peerAddress = std::to_string(index);
        members.push_back(record);
    }
    fixture.publishMembers(members);
    fixture.advance();
    fixture.serverLimiter().recordMessages(
            std::vector<CallLimitMessage>{{"limited/0", true, 5.0, 10, 1}});
    LimiterHooks hooks;
    bool isAsked = false;
    bool mayAnswer = false;
    hooks.ask = [&](std::string, CallPermitRequest request, Milliseconds,
                    Error &) -> boost::asio::awaitable<std::optional<CallPermitReply>> {
        isAsked = true;
        while (!mayAnswer)
            co_await GatewayFixture::pause(Milliseconds(1));
        CallPermitReply reply;
        reply.isGranted = true;
        reply.limit = request.limit;
        co_return reply;
    };
    fixture.serverLimiter().setHooks(std::move(hooks));
    std::optional<HttpResponse> response;
    fixture.send(GatewayFixture::makeCall("/route/x", "1"),
                 [&](HttpResponse received) { response = std::move(received); });
    const auto runUntil = [&](const std::function<bool()> &condition) {
        const Milliseconds end = Clock::steady().now() + Milliseconds(2000);
        while (!condition() && Clock::steady().now() < end)
            fixture.runOne();
        REQUIRE(condition());
    };
    runUntil([&] { return isAsked; });
    fixture.drain(Milliseconds(500));
    mayAnswer = true;
    runUntil([&] { return response.has_value(); });
    INFO(response->body);
    CHECK(response->status == 503);
    CHECK(response->body.find("this host is stopping") != std::string::npos);
    CHECK(response->body.find("\"run_state\":\"not_run\"") != std::string::npos);
    CHECK(fixture.received.empty());
}
