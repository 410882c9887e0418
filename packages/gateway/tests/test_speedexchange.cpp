#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr double slowInterval = 17.0;
constexpr double usualInterval = 7.0;

EngineProperties makeEngineProperties()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100'000;
    return engine;
}

/** A host with three engines, and peers that it tells its measurements. */
class SpeedFixture
{
public:
    explicit SpeedFixture(std::size_t peerCount = 0)
    {
        Route route;
        route.name = "stream";
        route.pathPrefix = "/stream/";
        route.kind = CallKind::Stream;
        this->fixture.addRoute(route, makeEngineProperties());
        for (const char *name : {"a", "b", "c"})
            this->fixture.registerServer(name, "127.0.0.1:9");
        this->fixture.runFor(Milliseconds(50));
        SpeedExchangeHooks hooks;
        hooks.peersUsing = [peerCount](std::span<const BackendServerName>) {
            std::vector<std::string> peers;
            for (std::size_t index = 0; index < peerCount; ++index)
                peers.push_back("peer-" + std::to_string(index));
            return peers;
        };
        hooks.tell = [this](std::string address, SpeedUpdate update, Milliseconds,
                            Error &) -> net::awaitable<bool> {
            this->told.push_back(address);
            this->lastUpdate = std::move(update);
            co_return !this->silentPeers.contains(address);
        };
        this->exchange = std::make_unique<SpeedExchange>(this->fixture.dispatchService(),
                                                         this->fixture.context, Clock::steady(),
                                                         std::move(hooks));
    }

    /** Lets the host run a stream on each engine, and know how fast the engines are. */
    void measure()
    {
        bool isDone = false;
        this->fixture.dispatchService().post([&](Dispatcher &dispatcher, Milliseconds now) {
            for (int stream = 0; stream < 3; ++stream) {
                WorkRequest work;
                work.name = RequestName("measured-" + std::to_string(stream));
                work.model = ModelName("service");
                work.promptTokens = 10;
                dispatcher.submit(work, now);
                for (std::uint32_t step = 1; step <= 6; ++step)
                    dispatcher.recordProgress(work.name, 10 * step, now + Milliseconds(70 * step));
            }
            isDone = true;
        });
        this->fixture.runFor(Milliseconds(100));
        REQUIRE(isDone);
    }

    void send()
    {
        this->fixture.spawn([this]() -> net::awaitable<void> { co_await this->exchange->send(); });
        this->fixture.runFor(Milliseconds(100));
    }

    /** Returns the learned speed ratio of an engine. */
    double ratioOf(const std::string &name)
    {
        double ratio = 0.0;
        this->fixture.dispatchService().post([&](Dispatcher &dispatcher, Milliseconds now) {
            ratio = dispatcher.engineCondition(BackendServerName(name), now).speedRatio;
        });
        this->fixture.runFor(Milliseconds(50));
        return ratio;
    }

    GatewayFixture fixture;
    std::unique_ptr<SpeedExchange> exchange;
    std::vector<std::string> told;
    std::set<std::string> silentPeers;
    SpeedUpdate lastUpdate;
};

} // namespace

// Guards against speeds of peers that are lost, and against an impossible one that is used.
TEST_CASE("What a peer measured is learned, unless it can't be true", "[speeds]")
{
    SpeedFixture host;
    const double nothing = std::numeric_limits<double>::quiet_NaN();
    const SpeedUpdate update{
            5, {{"a", usualInterval, 8.0}, {"b", usualInterval, 8.0}, {"c", slowInterval, 8.0}}};
    REQUIRE(host.exchange->record(update).sequence == 5);
    host.exchange->record({6, {{"a", nothing, 8.0}, {"b", -1.0, 8.0}, {"unknown", 7.0, 8.0}}});
    host.fixture.runFor(Milliseconds(400));
    CHECK(host.ratioOf("c") == Approx(slowInterval / usualInterval));
    CHECK(host.ratioOf("a") == 1.0);
}

// Guards against traffic that grows with the number of hosts, and against peers that are never
// told.
TEST_CASE("Each update goes to a few peers in turn", "[speeds]")
{
    SpeedFixture host(9);
    host.send();
    CHECK(host.told.empty());
    host.measure();
    host.send();
    REQUIRE(host.told.size() == SpeedExchange::peersPerInterval);
    CHECK_FALSE(host.lastUpdate.speeds.empty());
    CHECK(host.lastUpdate.speeds.front().millisecondsPerToken > 0.0);
    host.send();
    CHECK(std::set<std::string>(host.told.begin(), host.told.end()).size() == 9);
}

// Guards against a host of an earlier build that gets a message that it does not know each second.
TEST_CASE("A peer that does not confirm an update is left out for a time", "[speeds]")
{
    SpeedFixture host(2);
    host.silentPeers = {"peer-0"};
    host.measure();
    host.send();
    host.send();
    host.send();
    CHECK(std::count(host.told.begin(), host.told.end(), "peer-0") == 1);
    CHECK(std::count(host.told.begin(), host.told.end(), "peer-1") == 3);
}
