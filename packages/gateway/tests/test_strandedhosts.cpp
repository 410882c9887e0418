#include "strandedhosts.h"

#include <catch2/catch.hpp>

#include <algorithm>

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
