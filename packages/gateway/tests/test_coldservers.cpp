#include "gatewayhosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr std::size_t hostCount = 5;
constexpr double coldRate = 10.0;
/** What the cold server bears in a second. */
constexpr std::size_t permittedCalls = 20;
constexpr Milliseconds second{1000};

ServerEntry makeEntry(std::uint64_t revision, Milliseconds coldTime, std::int64_t startedAt = 1)
{
    ServerEntry entry;
    entry.name = BackendServerName("s");
    entry.service = "service";
    entry.address = "10.0.0.1:80";
    entry.revision = revision;
    entry.coldTime = coldTime;
    entry.startedAt = startedAt;
    return entry;
}

/** Two servers behind several hosts, of which one is cold. */
class ColdFixture
{
public:
    ColdFixture()
        : hosts(hostCount)
    {
        Route route;
        route.name = "call";
        route.pathPrefix = "/call/";
        route.kind = CallKind::Idempotent;
        route.maximumAttempts = 2;
        route.timeout = Milliseconds(3000);
        this->hosts.addRoute(route);
        for (const char *name : {"cold", "warm"}) {
            auto &counts = this->arrivals[name];
            this->servers.push_back(std::make_unique<HttpServer>(
                    *this->hosts.context, HttpServerOptions(),
                    [&counts](const HttpRequest &request,
                              HttpResponder &responder) -> net::awaitable<void> {
                        counts.push_back(Clock::steady().now());
                        co_await responder.send(GatewayFixture::signedAnswer(request));
                    },
                    errorResponse));
            Error reason;
            const auto endpoint = this->servers.back()->listen({"127.0.0.1", 0}, reason);
            this->hosts.registerServer(name, endpoint->toString());
        }
    }

    void setCold(Milliseconds time)
    {
        const std::vector<ColdServer> cold{
                {BackendServerName("cold/0"), coldRate, Clock::steady().now() + time}};
        for (const auto &host : this->hosts.hosts)
            host->serverLimiter().setColdServers(cold);
    }

    /** Sends calls to all hosts in turn, each 5 ms. @return how many were not served. */
    int sendCalls(int count)
    {
        int answered = 0;
        int served = 0;
        for (int number = 0; number < count; ++number) {
            this->hosts.send(static_cast<std::size_t>(number) % hostCount, "/call/",
                             [&](const HttpResponse &response) {
                                 ++answered;
                                 served += response.status == 200 ? 1 : 0;
                             });
            this->hosts.runFor(Milliseconds(5));
        }
        const Milliseconds end = Clock::steady().now() + Milliseconds(5000);
        while (answered < count && Clock::steady().now() < end)
            this->hosts.runFor(Milliseconds(20));
        return count - served;
    }

    std::size_t largestCount(const std::string &name)
    {
        const std::vector<Milliseconds> &times = this->arrivals[name];
        std::size_t largest = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + second);
            largest = std::max(largest, static_cast<std::size_t>(end - first));
        }
        return largest;
    }

    GatewayHosts hosts;
    std::map<std::string, std::vector<Milliseconds>> arrivals;

private:
    std::vector<std::unique_ptr<HttpServer>> servers;
};

} // namespace

// Guards against a cold server that all hosts choose as if it were warm, and against calls that are
// not served although another server is warm.
TEST_CASE("A cold server gets no more calls than it bears from all hosts together", "[coldservers]")
{
    ColdFixture fixture;
    fixture.setCold(Milliseconds(10'000));
    CHECK(fixture.sendCalls(400) == 0);
    CHECK(fixture.largestCount("cold") <= permittedCalls);
    CHECK_FALSE(fixture.arrivals["cold"].empty());
    CHECK(fixture.arrivals["warm"].size() > 300);
}

// Guards against a cold server that gets as much as a warm one because the granting host is lost.
TEST_CASE("A cold server gets no more calls than it bears while no host grants", "[coldservers]")
{
    ColdFixture fixture;
    fixture.hosts.silenceGranters();
    fixture.setCold(Milliseconds(10'000));
    CHECK(fixture.sendCalls(200) == 0);
    CHECK(fixture.largestCount("cold") <= permittedCalls);
}

// Guards against a server whose limit remains after it is warm.
TEST_CASE("A server that is warm gets calls like any other", "[coldservers]")
{
    ColdFixture fixture;
    fixture.setCold(Milliseconds(10'000));
    for (const auto &host : fixture.hosts.hosts)
        host->serverLimiter().setColdServers({});
    CHECK(fixture.sendCalls(200) == 0);
    CHECK(fixture.arrivals["cold"].size() > 50);
}

// Guards against a peer's nonsense that is taken for a limit.
TEST_CASE("A malformed request for a permit at a cold server is not granted", "[coldservers]")
{
    GatewayFixture fixture;
    for (const double rate : {-1.0, std::numeric_limits<double>::quiet_NaN()}) {
        const ColdPermitRequest request{1, "cold/0", rate, 1000, false};
        CHECK_FALSE(fixture.serverLimiter().answer(request).isGranted);
    }
    CHECK_FALSE(
            fixture.serverLimiter().answer(ColdPermitRequest{1, "", 5.0, 1000, false}).isGranted);
    CHECK_FALSE(fixture.serverLimiter().hasLimits());
    // A granter that has not read the entry yet keeps what the asking host knows.
    CHECK(fixture.serverLimiter()
                  .answer(ColdPermitRequest{1, "cold/0", 5.0, 1000, true})
                  .isGranted);
    CHECK(fixture.serverLimiter().limit(BackendServerName("cold/0")) == 5.0);
}

// Guards against a cold time that an older entry from a copy of the store ends, and against one
// that a new process inherits.
TEST_CASE("The cold time of a server comes from its latest entry", "[coldservers]")
{
    Milliseconds now{0};
    ServerCatalogue catalogue({}, Clock([&now] { return now; }));
    catalogue.applyEntry(makeEntry(1, Milliseconds(0)));
    REQUIRE_FALSE(catalogue.coldUntil(BackendServerName("s")));
    now = Milliseconds(1000);
    catalogue.applyEntry(makeEntry(2, Milliseconds(4000)));
    REQUIRE(catalogue.coldUntil(BackendServerName("s")) == Milliseconds(5000));
    catalogue.recordStoreRestored(now);
    catalogue.applyEntry(makeEntry(3, Milliseconds(0)));
    REQUIRE(catalogue.coldUntil(BackendServerName("s")) == Milliseconds(5000));
    catalogue.applyEntry(makeEntry(4, Milliseconds(0), 2));
    REQUIRE_FALSE(catalogue.coldUntil(BackendServerName("s")));
}
