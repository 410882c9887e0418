#include "gatewayhosts.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <string>

using namespace sassafrasyard;

namespace {

/** A stand-in that processes few calls at a time, rejects others and may say that it is brittle. */
class BrittleServer
{
public:
    /** The calls that are processed at the same time. */
    static constexpr std::size_t slots = 8;
    /** The further calls that wait. */
    static constexpr std::size_t places = 2;

    /** Starts a stand-in and registers it with all hosts. */
    BrittleServer(GatewayHosts &hosts, const std::string &name)
        : server(
                *hosts.context, HttpServerOptions(),
                [this](const HttpRequest &request, HttpResponder &responder) {
                    return this->answer(request, responder);
                },
                errorResponse)
    {
        Error reason;
        const auto endpoint = this->server.listen({"127.0.0.1", 0}, reason);
        hosts.registerServer(name, endpoint->toString());
    }

    /** The rejections a second that responses state. */
    std::optional<double> rejectionLimit;
    /** The calls that were rejected since the last reset. */
    std::size_t rejections = 0;
    /** The calls that were served since the last reset. */
    std::size_t served = 0;

private:
    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        const bool isFull = this->present >= slots + places;
        if (!isFull) {
            ++this->present;
            // A call that waits ends after the one before it in its slot.
            const int rounds = this->present > slots ? 2 : 1;
            co_await GatewayFixture::pause(Milliseconds(100 * rounds));
            --this->present;
        }
        ++(isFull ? this->rejections : this->served);
        HttpResponse response = GatewayFixture::signedAnswer(request, isFull ? 503 : 200);
        if (isFull)
            response.headers.emplace_back("Not-Run", "1");
        if (this->rejectionLimit)
            response.headers.emplace_back("Brittle", std::to_string(*this->rejectionLimit));
        co_await responder.send(std::move(response));
    }

    HttpServer server;
    std::size_t present = 0;
};

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
    std::size_t refused = 0;
    std::size_t refusedWithoutTime = 0;
    std::size_t other = 0;

    void record(const HttpResponse &response)
    {
        if (response.status == 200) {
            ++this->answered;
        } else if (response.status == 503) {
            ++this->refused;
            this->refusedWithoutTime += findHeader(response.headers, "Retry-After") ? 0 : 1;
        } else {
            ++this->other;
        }
    }
};

/** Sends bursts of calls through all hosts for a time, and waits until they have ended. */
Outcomes sendBursts(GatewayHosts &hosts, Milliseconds time)
{
    constexpr Milliseconds interval{50};
    constexpr std::size_t callsPerHost = 2;
    Outcomes outcomes;
    const Milliseconds end = Clock::steady().now() + time;
    while (Clock::steady().now() < end) {
        for (std::size_t call = 0; call < callsPerHost * hosts.size(); ++call) {
            hosts.send(call % hosts.size(), "/route/x",
                       [&outcomes](const HttpResponse &response) { outcomes.record(response); });
        }
        hosts.runFor(interval);
    }
    hosts.runFor(Milliseconds(1500));
    return outcomes;
}

} // namespace

// Guards against hosts that learn that a brittle server is full only from its rejections. Each host
// causes few, but a server that has more than its limit of them from all hosts falls over.
TEST_CASE("Hosts send brittle servers no more calls than they have slots", "[brittle]")
{
    GatewayHosts hosts(9);
    hosts.addRoute(makeRoute());
    BrittleServer first(hosts, "first");
    BrittleServer second(hosts, "second");
    sendBursts(hosts, Milliseconds(1000));
    // The load of this test makes servers reject calls unless hosts share their places.
    REQUIRE(first.rejections + second.rejections > 10);
    first.rejectionLimit = 1.0;
    second.rejectionLimit = 1.0;
    sendBursts(hosts, Milliseconds(1000));
    for (BrittleServer *server : {&first, &second}) {
        server->rejections = 0;
        server->served = 0;
    }
    const Outcomes outcomes = sendBursts(hosts, Milliseconds(3000));
    CHECK(first.rejections + second.rejections <= 1);
    // Two servers with eight slots and calls of 100 ms process 480 calls in this time.
    CHECK(first.served + second.served >= 320);
    CHECK(outcomes.answered >= 320);
    CHECK(outcomes.refused > 0);
    CHECK(outcomes.refusedWithoutTime == 0);
    CHECK(outcomes.other == 0);
}

// Guards against calls that need a place, or a pause, for long after the servers have recovered.
TEST_CASE("A service is no longer brittle once its responses don't say so", "[brittle]")
{
    GatewayHosts hosts(3);
    hosts.addRoute(makeRoute());
    BrittleServer server(hosts, "first");
    server.rejectionLimit = 3.0;
    sendBursts(hosts, Milliseconds(300));
    for (const auto &host : hosts.hosts)
        CHECK(host->serverLimiter().brittleServers().hasBrittleServices());
    server.rejectionLimit.reset();
    sendBursts(hosts, Milliseconds(600));
    for (const auto &host : hosts.hosts)
        CHECK_FALSE(host->serverLimiter().brittleServers().hasBrittleServices());
}
