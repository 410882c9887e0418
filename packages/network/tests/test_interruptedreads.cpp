#include "network/network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr Milliseconds pieceInterval{60};
constexpr Milliseconds readTimeout{1000};

/** A server that reads one request and sends pieces of a response, with a pause before each. */
class PausingPeer
{
public:
    explicit PausingPeer(std::vector<std::string> pieces)
        : acceptor(this->context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
        , pieces(std::move(pieces))
    {
        net::co_spawn(
                this->context, [this] { return this->respond(); }, net::detached);
    }

    /** Runs a task that gets a connection whose response header was read. */
    void run(const std::function<net::awaitable<void>(HttpConnection &)> &task)
    {
        bool isDone = false;
        net::co_spawn(
                this->context,
                [&]() -> net::awaitable<void> {
                    const net::any_io_executor executor = this->context.get_executor();
                    HttpConnection connection(
                            executor, {"127.0.0.1", this->acceptor.local_endpoint().port()});
                    Error reason;
                    co_await connection.connect(readTimeout, reason);
                    HttpRequest request;
                    request.method = "GET";
                    request.headers = {{"Host", "h"}};
                    const auto response =
                            co_await connection.exchange(request, readTimeout, reason);
                    CHECK(response);
                    co_await task(connection);
                    isDone = true;
                },
                net::detached);
        while (!isDone)
            this->context.run_one();
    }

    /** Interrupts a read of a connection after a time. */
    void interruptAfter(HttpConnection &connection, Milliseconds time)
    {
        this->timer.expires_after(time);
        this->timer.async_wait([&connection, this](boost::system::error_code) {
            this->wasInterrupted = connection.interruptRead();
        });
    }

    /** Waits without blocking the thread. */
    net::awaitable<void> pause(Milliseconds time)
    {
        net::steady_timer waiting(this->context, time);
        co_await waiting.async_wait(net::use_awaitable);
    }

    bool wasInterrupted = false;
    /** Whether the connection is reset after the last piece. */
    bool resetsAtEnd = false;

private:
    net::awaitable<void> respond()
    {
        tcp::socket socket = co_await this->acceptor.async_accept(net::use_awaitable);
        std::array<char, 4096> bytes{};
        co_await socket.async_read_some(net::buffer(bytes), net::use_awaitable);
        for (const std::string &piece : this->pieces) {
            co_await net::async_write(socket, net::buffer(piece), net::use_awaitable);
            co_await this->pause(pieceInterval);
        }
        if (!this->resetsAtEnd)
            co_return;
        socket.set_option(net::socket_base::linger(true, 0));
        // The destructor would close it in order.
        socket.close();
    }

    net::io_context context;
    tcp::acceptor acceptor;
    net::steady_timer timer{this->context};
    std::vector<std::string> pieces;
};

const std::string chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a body that loses bytes, or a connection that is closed, by an interruption, also
// inside the size of a chunk.
TEST_CASE("A body is read on after an interruption", "[interruption]")
{
    PausingPeer peer({chunkedHeader + "2\r\nab\r\n1", "0\r\n0123456789abcdef\r\n0\r\n\r\n"});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        Error reason;
        const auto first = co_await connection.read(readTimeout, reason);
        CHECK(first == "ab");
        peer.interruptAfter(connection, pieceInterval / 3);
        const auto none = co_await connection.read(readTimeout, reason);
        CHECK_FALSE(none);
        CHECK(reason.code == ErrorCode::Timeout);
        CHECK(peer.wasInterrupted);
        const auto rest = co_await connection.readAll(100, readTimeout, reason);
        CHECK(rest == "0123456789abcdef");
    });
}

// Guards against an interruption that is kept for a later read, or that hides a time-out.
TEST_CASE("Only a pending read is interrupted", "[interruption]")
{
    PausingPeer peer({chunkedHeader, "2\r\nab\r\n", "0\r\n\r\n"});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        CHECK_FALSE(connection.interruptRead());
        Error reason;
        const auto body = co_await connection.readAll(100, readTimeout, reason);
        CHECK(body == "ab");
        CHECK_FALSE(connection.interruptRead());
    });
}

// Guards against bytes of a silent peer that go unnoticed, or that the next read misses.
TEST_CASE("Bytes that arrive between two reads are told and kept", "[interruption]")
{
    PausingPeer peer({chunkedHeader, "2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        int told = 0;
        connection.watchBytes([&] { ++told; });
        CHECK(told == 0);
        co_await peer.pause(4 * pieceInterval);
        CHECK(told == 1);
        Error reason;
        const auto body = co_await connection.readAll(100, readTimeout, reason);
        CHECK(body == "abcd");
    });
}

// Guards against bytes that are lost, or taken for the end, when they are read between two reads.
TEST_CASE("Bytes that have arrived are read without waiting", "[interruption]")
{
    PausingPeer peer({chunkedHeader, "2\r\nab\r\n1", "\r\nc\r\n", "0\r\n\r\n"});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        CHECK(connection.readAvailable() == "");
        co_await peer.pause(pieceInterval * 3 / 2);
        CHECK(connection.readAvailable() == "ab");
        CHECK(connection.readAvailable() == "");
        co_await peer.pause(pieceInterval);
        CHECK(connection.readAvailable() == "c");
        co_await peer.pause(pieceInterval);
        CHECK_FALSE(connection.readAvailable());
        Error reason;
        const auto end = co_await connection.read(readTimeout, reason);
        CHECK(end == "");
    });
}

// Guards against a body without framing that counts as complete although its connection was reset,
// because the reset was seen between two reads.
TEST_CASE("A loss is left to the next read", "[interruption]")
{
    PausingPeer peer({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "ab"});
    peer.resetsAtEnd = true;
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        co_await peer.pause(4 * pieceInterval);
        CHECK(connection.readAvailable().value_or("nothing") == "ab");
        CHECK(connection.readAvailable().value_or("nothing").empty());
        Error reason;
        const auto bytes = co_await connection.read(readTimeout, reason);
        CHECK(bytes.value_or("nothing") == "nothing");
        CHECK(reason.code == ErrorCode::ConnectionFailed);
    });
}

// Guards against a connection that was lost and is taken for one on which events go on.
TEST_CASE("A close is not told as bytes", "[interruption]")
{
    PausingPeer peer({chunkedHeader});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        int told = 0;
        connection.watchBytes([&] { ++told; });
        co_await peer.pause(3 * pieceInterval);
        CHECK(told == 0);
        Error reason;
        const auto bytes = co_await connection.read(readTimeout, reason);
        CHECK_FALSE(bytes);
        CHECK(reason.code == ErrorCode::ConnectionFailed);
    });
}

// Guards against a hook that is called after it was taken back.
TEST_CASE("A hook for bytes can be taken back", "[interruption]")
{
    PausingPeer peer({chunkedHeader, "2\r\nab\r\n", "0\r\n\r\n"});
    peer.run([&](HttpConnection &connection) -> net::awaitable<void> {
        int told = 0;
        connection.watchBytes([&] { ++told; });
        connection.watchBytes({});
        co_await peer.pause(2 * pieceInterval);
        CHECK(told == 0);
    });
}
