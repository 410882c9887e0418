#include "gatewayfixture.h"
#include "network/tests/fulllistener.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr std::uint64_t lastEvent = 100;
constexpr std::uint64_t silentBefore = 40;
constexpr Milliseconds eventInterval{20};

Route makeRoute(CallKind kind)
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = kind;
    route.maximumAttempts = 1;
    route.timeout = Milliseconds(12'000);
    route.targetLatency = Milliseconds(500);
    route.targetPause = Milliseconds(100);
    return route;
}

EngineProperties makeEngineProperties()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100'000;
    engine.tokensPerEvent = 4;
    engine.supportsBackup = true;
    engine.supportsMoves = true;
    engine.copyLifetime = Milliseconds(2000);
    return engine;
}

std::string eventText(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
}

std::string allEvents()
{
    std::string all;
    for (std::uint64_t number = 1; number <= lastEvent; ++number)
        all += eventText(number);
    return all;
}

/** Writes bytes. @return whether the connection is open. */
net::awaitable<bool> write(tcp::socket &socket, std::string bytes)
{
    boost::system::error_code code;
    co_await net::async_write(socket, net::buffer(bytes),
                              net::redirect_error(net::use_awaitable, code));
    co_return !code;
}

/** Reads the header of a request. */
net::awaitable<std::string> readHeader(tcp::socket &socket)
{
    std::string received;
    boost::system::error_code code;
    co_await net::async_read_until(socket, net::dynamic_buffer(received), "\r\n\r\n",
                                   net::redirect_error(net::use_awaitable, code));
    co_return received;
}

/** Engines that stand still for a time during their first run, and work on without a connection. */
class StandingEngines
{
public:
    explicit StandingEngines(bool takesCopies)
        : takesCopies(takesCopies)
    {
        this->fixture.addRoute(makeRoute(CallKind::Stream), makeEngineProperties());
        this->fixture.allowsMove = [](const MoveOrder &) {
            return false;
        };
        for (const std::string name : {"a", "b"}) {
            auto listener = std::make_shared<FullListener>(this->fixture.context);
            this->fixture.registerServer(name, listener->endpoint().toString());
            net::co_spawn(
                    this->fixture.context, [this, listener] { return this->serve(listener); },
                    net::detached);
        }
    }

    /** How long the engine of the first run stands still before an event. */
    Milliseconds silence{0};
    /** Whether its machine goes dark instead, so that it answers no packet. */
    bool isDark = false;
    std::size_t runCount = 0;
    std::size_t working = 0;
    /** The largest number of engines that worked on the run at once. */
    std::size_t mostAtOnce = 0;
    GatewayFixture fixture;

private:
    /** Serves one connection at a time, so that none is accepted during a run. */
    net::awaitable<void> serve(std::shared_ptr<FullListener> listener)
    {
        while (true) {
            tcp::socket socket = co_await listener->accept();
            const std::string request = co_await readHeader(socket);
            const bool isContinuation = request.find("Source:") != std::string::npos;
            if (request.empty())
                continue;
            if (isContinuation && !this->takesCopies) {
                co_await write(socket,
                               "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\n"
                               "Connection: close\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++this->runCount;
            ++this->working;
            this->mostAtOnce = std::max(this->mostAtOnce, this->working);
            co_await this->work(*listener, socket, isContinuation ? silentBefore : 1);
            --this->working;
        }
    }

    net::awaitable<void> work(FullListener &listener, tcp::socket &socket, std::uint64_t first)
    {
        bool isOpen = co_await write(socket,
                                     "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n"
                                     "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
        for (std::uint64_t number = first; number <= lastEvent; ++number) {
            if (number == silentBefore && first == 1)
                co_await this->standStill(listener, socket);
            co_await GatewayFixture::pause(eventInterval);
            const std::string event = eventText(number);
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
            if (isOpen)
                isOpen = co_await write(socket, chunk.str());
        }
        if (isOpen)
            co_await write(socket, "0\r\n\r\n");
    }

    net::awaitable<void> standStill(FullListener &listener, tcp::socket &socket)
    {
        if (this->isDark) {
            listener.dropPackets();
            dropArrivingPackets(socket.native_handle());
        } else {
            listener.fill();
        }
        co_await GatewayFixture::pause(this->silence);
        listener.drain();
    }

    bool takesCopies;
};

} // namespace

// Guards against a stream that is cut, or runs on two engines at once, because an engine that
// stands still for a moment accepts no connection and is taken for lost.
TEST_CASE("A stream stays on an engine that accepts no connection for a moment", "[runstops]")
{
    StandingEngines engines(GENERATE(true, false));
    engines.silence = GENERATE(Milliseconds(1250), Milliseconds(1700));
    const HttpResponse answer = engines.fixture.call("/route/", "r1", {{"Patience", "12000"}});
    REQUIRE(answer.body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runCount == 1);
}

// Guards against a run on two engines at once, because one that stands still accepts no connection
// for seconds while the run's own connection is open.
TEST_CASE("A stream stays on an engine that accepts no connection for seconds", "[refused]")
{
    StandingEngines engines(GENERATE(true, false));
    engines.silence = Milliseconds(5000);
    const HttpResponse answer = engines.fixture.call("/route/", "r1", {{"Patience", "12000"}});
    REQUIRE(answer.body == allEvents());
    REQUIRE(engines.mostAtOnce == 1);
    REQUIRE(engines.runCount == 1);
}

// Guards against a stream that waits until its deadline for an engine that has gone dark.
TEST_CASE("A stream leaves an engine that has not answered for seconds", "[runstops]")
{
    StandingEngines engines(true);
    engines.isDark = true;
    engines.silence = Milliseconds(8000);
    const HttpResponse answer = engines.fixture.call("/route/", "r1", {{"Patience", "12000"}});
    REQUIRE(answer.body == allEvents());
    REQUIRE(engines.runCount == 2);
}

// Guards against a call that is blamed for a crash of its server, which only accepts no connection.
TEST_CASE("A server that does not answer at once has not crashed", "[crash]")
{
    GatewayFixture fixture;
    fixture.addRoute(makeRoute(CallKind::NonIdempotent));
    FullListener listener(fixture.context);
    fixture.registerServer("a", listener.endpoint().toString());
    net::co_spawn(
            fixture.context,
            [&]() -> net::awaitable<void> {
                tcp::socket socket = co_await listener.accept();
                co_await readHeader(socket);
                listener.fill();
                // The connections must reach the backlog before the gateway notices the reset.
                co_await GatewayFixture::pause(Milliseconds(20));
                socket.set_option(net::socket_base::linger(true, 0));
                socket.close();
            },
            net::detached);
    const HttpResponse answer = fixture.call("/route/", "r1");
    REQUIRE(answer.status == 502);
    const std::string metrics = fixture.metricsText();
    REQUIRE(metrics.find(R"(outcome="crashed")") == std::string::npos);
    REQUIRE(metrics.find(R"(outcome="unanswered")") != std::string::npos);
}
