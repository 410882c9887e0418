#include "network/network.h"
#include "network/tests/fulllistener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

net::awaitable<void> pauseFor(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

/** A server that responds to each read with the next of a list of texts. */
class ScriptedPeer
{
public:
    explicit ScriptedPeer(std::vector<std::string> responses)
        : acceptor(this->context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
        , responses(std::move(responses))
    {
        net::co_spawn(
                this->context, [this] { return this->accept(); }, net::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    void run(std::function<net::awaitable<void>()> task)
    {
        bool isDone = false;
        net::co_spawn(
                this->context,
                [&]() -> net::awaitable<void> {
                    co_await task();
                    isDone = true;
                },
                net::detached);
        while (!isDone)
            this->context.run_one();
    }

    net::io_context context;
    tcp::acceptor acceptor;
    std::vector<std::string> responses;
    std::size_t accepted = 0;
    std::size_t next = 0;

private:
    net::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(
                    co_await this->acceptor.async_accept(net::use_awaitable));
            ++this->accepted;
            net::co_spawn(
                    this->context, [this, socket] { return this->respond(socket); }, net::detached);
        }
    }

    /** An empty text closes the connection. */
    net::awaitable<void> respond(std::shared_ptr<tcp::socket> socket)
    {
        std::array<char, 4096> bytes{};
        while (this->next < this->responses.size()) {
            co_await socket->async_read_some(net::buffer(bytes), net::use_awaitable);
            const std::string text = this->responses[this->next++];
            if (text.empty())
                co_return;
            co_await net::async_write(*socket, net::buffer(text), net::use_awaitable);
        }
        co_await socket->async_read_some(net::buffer(bytes), net::use_awaitable);
    }
};

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpRequest postRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.headers = {{"Host", "h"}};
    request.body = "body";
    return request;
}

} // namespace

// Guards against opening a new connection for every request.
TEST_CASE("A connection is kept for the next request", "[connection]")
{
    ScriptedPeer peer({okResponse, okResponse});
    HttpConnectionPool pool(peer.context, Clock::steady());
    peer.run([&]() -> net::awaitable<void> {
        for (int index = 0; index < 2; ++index) {
            Error reason;
            auto connection = co_await pool.acquire(peer.endpoint(), Milliseconds(5000),
                                                    Milliseconds(500), reason);
            const HttpRequest request = postRequest();
            const auto response = co_await connection->exchange(request, Milliseconds(500), reason);
            REQUIRE(response);
            const auto body = co_await connection->readAll(100, Milliseconds(500), reason);
            REQUIRE(body == "ok");
            pool.release(std::move(connection));
        }
    });
    REQUIRE(peer.accepted == 1);
}

// Guards against surplus bytes that are parsed as the response to the next request.
TEST_CASE("A connection with bytes after its response is not reused", "[connection]")
{
    ScriptedPeer peer({okResponse + "HTTP/1.1 200 OK\r\n"});
    HttpConnectionPool pool(peer.context, Clock::steady());
    peer.run([&]() -> net::awaitable<void> {
        Error reason;
        auto connection = co_await pool.acquire(peer.endpoint(), Milliseconds(5000),
                                                Milliseconds(500), reason);
        const HttpRequest request = postRequest();
        co_await connection->exchange(request, Milliseconds(500), reason);
        co_await connection->readAll(100, Milliseconds(500), reason);
        REQUIRE_FALSE(connection->isReusable());
        pool.release(std::move(connection));
    });
    REQUIRE(pool.idleCount() == 0);
}

// Guards against the use of a connection that its peer closed or wrote to while it was idle.
TEST_CASE("An idle connection that its peer closed or wrote to is not reused", "[connection]")
{
    ScriptedPeer peer({okResponse, "", okResponse});
    HttpConnectionPool pool(peer.context, Clock::steady());
    peer.run([&]() -> net::awaitable<void> {
        Error reason;
        auto first = co_await pool.acquire(peer.endpoint(), Milliseconds(5000), Milliseconds(500),
                                           reason);
        const HttpRequest request = postRequest();
        co_await first->exchange(request, Milliseconds(500), reason);
        co_await first->readAll(100, Milliseconds(500), reason);
        // The peer closes the connection at its second read.
        const auto lost = co_await first->exchange(request, Milliseconds(500), reason);
        REQUIRE_FALSE(lost);
        REQUIRE(reason.runState == RunState::OutcomeUnknown);
        REQUIRE_FALSE(first->isIdle());
    });
}

// Guards against a peer's Keep-Alive timeout that expires while a request is in transit.
TEST_CASE("A connection is closed before its peer's Keep-Alive timeout", "[connection]")
{
    ScriptedPeer peer({"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    const auto now = std::make_shared<Milliseconds>(Milliseconds(0));
    HttpConnectionPool pool(peer.context, Clock::manual(now));
    peer.run([&]() -> net::awaitable<void> {
        Error reason;
        auto connection = co_await pool.acquire(peer.endpoint(), Milliseconds(5000),
                                                Milliseconds(500), reason);
        const HttpRequest request = postRequest();
        co_await connection->exchange(request, Milliseconds(500), reason);
        co_await connection->readAll(100, Milliseconds(500), reason);
        REQUIRE(connection->keepAlive() == Milliseconds(2000));
        pool.release(std::move(connection));
        REQUIRE(pool.idleCount() == 1);
        *now = Milliseconds(1500);
        auto next = co_await pool.acquire(peer.endpoint(), Milliseconds(5000), Milliseconds(500),
                                          reason);
        REQUIRE(next);
        pool.closeExpired();
    });
    // The kernel completes a connection before the peer's accept() returns it.
    peer.context.run_for(std::chrono::milliseconds(50));
    REQUIRE(pool.idleCount() == 0);
    REQUIRE(peer.accepted == 2);
}

// Guards against a request on a connection that its peer may have dropped without notice.
TEST_CASE("A connection that exceeds a call's idle limit is not used", "[connection]")
{
    ScriptedPeer peer({okResponse, okResponse});
    const auto now = std::make_shared<Milliseconds>(Milliseconds(0));
    HttpConnectionPool pool(peer.context, Clock::manual(now));
    peer.run([&]() -> net::awaitable<void> {
        Error reason;
        auto connection = co_await pool.acquire(peer.endpoint(), Milliseconds(5000),
                                                Milliseconds(500), reason);
        const HttpRequest request = postRequest();
        co_await connection->exchange(request, Milliseconds(500), reason);
        co_await connection->readAll(100, Milliseconds(500), reason);
        pool.release(std::move(connection));
        *now = Milliseconds(300);
        auto fresh = co_await pool.acquire(peer.endpoint(), Milliseconds(250), Milliseconds(500),
                                           reason);
        REQUIRE(fresh);
        REQUIRE(pool.idleCount() == 1);
    });
}

// Guards against a truncated response that is treated as complete.
TEST_CASE("A body that ends early is an error", "[connection]")
{
    ScriptedPeer peer({"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort", ""});
    peer.run([&]() -> net::awaitable<void> {
        Error reason;
        const net::any_io_executor executor = peer.context.get_executor();
        HttpConnection connection(executor, peer.endpoint());
        co_await connection.connect(Milliseconds(500), reason);
        const HttpRequest request = postRequest();
        const auto response = co_await connection.exchange(request, Milliseconds(500), reason);
        REQUIRE(response);
        const auto body = co_await connection.readAll(100, Milliseconds(200), reason);
        REQUIRE_FALSE(body);
        REQUIRE(reason.runState == RunState::OutcomeUnknown);
    });
}

// Guards against a request that is reported as not run although it was sent, or the reverse.
TEST_CASE("A refused connection means that nothing was sent", "[connection]")
{
    net::io_context context;
    Endpoint closed;
    {
        tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
        closed = {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    bool isDone = false;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                Error reason;
                const net::any_io_executor executor = context.get_executor();
                HttpConnection connection(executor, closed);
                const bool isOpen = co_await connection.connect(Milliseconds(500), reason);
                REQUIRE_FALSE(isOpen);
                REQUIRE(reason.runState == RunState::NotRun);
                isDone = true;
            },
            net::detached);
    context.run();
    REQUIRE(isDone);
}

// Guards against a peer that only does not answer in time and is taken for one that has ended.
TEST_CASE("Only a refused connection shows that nothing listens", "[connection]")
{
    net::io_context context;
    FullListener full(context);
    full.fill();
    FullListener closed(context);
    const Endpoint closedEndpoint = closed.endpoint();
    closed.close();
    const auto connect = [&](Endpoint endpoint) {
        std::optional<ConnectFailure> failure;
        net::co_spawn(
                context,
                [&, endpoint]() -> net::awaitable<void> {
                    co_await pauseFor(Milliseconds(20));
                    const net::any_io_executor executor = context.get_executor();
                    HttpConnection connection(executor, endpoint);
                    Error reason;
                    co_await connection.connect(Milliseconds(200), reason);
                    failure = connection.connectFailure();
                },
                net::detached);
        while (!failure)
            context.run_one();
        return *failure;
    };
    CHECK(connect(full.endpoint()) == ConnectFailure::Unanswered);
    CHECK(connect(closedEndpoint) == ConnectFailure::Refused);
    CHECK(connect(Endpoint{"no address", 80}) == ConnectFailure::Local);
}

// Guards against a stream that waits for a machine that is gone, and against one that is lost
// because its server stands still.
TEST_CASE("Probes tell a machine that is gone from a server that stands still", "[connection]")
{
    const bool isGone = GENERATE(true, false);
    constexpr Milliseconds silence{4500};
    net::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                tcp::socket socket = co_await acceptor.async_accept(net::use_awaitable);
                const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
                co_await net::async_write(socket, net::buffer(header), net::use_awaitable);
                if (isGone)
                    dropArrivingPackets(socket.native_handle());
                co_await pauseFor(silence);
                if (!isGone)
                    co_await net::async_write(socket, net::buffer("x", 1), net::use_awaitable);
            },
            net::detached);
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                const net::any_io_executor executor = context.get_executor();
                HttpConnection connection(executor, endpoint);
                Error reason;
                co_await connection.connect(Milliseconds(500), reason);
                connection.setProbing(true);
                co_await connection.exchange(HttpRequest(), Milliseconds(500), reason);
                const auto bytes = co_await connection.read(2 * silence, reason);
                CHECK(bytes.has_value() != isGone);
                if (isGone)
                    CHECK(reason.code == ErrorCode::ConnectionFailed);
            },
            net::detached);
    context.run();
}
