#include "network/network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr Milliseconds responseTimeout{4000};
/** Larger than what the buffers of a connection hold, so that its write is still pending. */
constexpr std::size_t largeUpload = 24U << 20U;
constexpr std::size_t smallUpload = 100;

const std::string openHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

net::awaitable<void> pause(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

/** How a server ends a connection. */
enum class Ending {
    /** By a close, which resets the connection if bytes of the upload are unread. */
    Close,
    /** By a reset. */
    Reset,
    /** In order; it then waits for the client. */
    Shutdown,
    /** In order, and by a reset at once. */
    ShutdownThenReset,
    /** Not at all. */
    Open,
};

/** A server that answers an upload without having read it. */
struct EarlyServer
{
    explicit EarlyServer(net::io_context &context)
        : acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
    {
        net::co_spawn(
                context, [this] { return this->serve(); }, net::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    net::awaitable<void> serve()
    {
        tcp::socket socket = co_await this->acceptor.async_accept(net::use_awaitable);
        std::array<char, 512> bytes{};
        boost::system::error_code code;
        if (this->isKept) {
            co_await socket.async_read_some(net::buffer(bytes), net::use_awaitable);
            const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
            co_await net::async_write(socket, net::buffer(first), net::use_awaitable);
        }
        co_await socket.async_read_some(net::buffer(bytes), net::use_awaitable);
        co_await net::async_write(socket, net::buffer(this->answer), net::use_awaitable);
        if (this->pauseBeforeEnd > Milliseconds(0))
            co_await pause(this->pauseBeforeEnd);
        if (this->ending == Ending::Shutdown || this->ending == Ending::ShutdownThenReset)
            socket.shutdown(tcp::socket::shutdown_send, code);
        if (this->ending == Ending::Reset || this->ending == Ending::ShutdownThenReset)
            socket.set_option(net::socket_base::linger(true, 0), code);
        if (this->ending == Ending::Shutdown || this->ending == Ending::Open)
            co_await pause(responseTimeout);
        socket.close(code);
    }

    tcp::acceptor acceptor;
    std::string answer;
    Ending ending = Ending::Close;
    /** The time between the answer and the end; without it the client meets both at once. */
    Milliseconds pauseBeforeEnd{0};
    /** Whether the connection has carried another request before. */
    bool isKept = false;
};

/** What the client made of an answer. */
struct Reading
{
    bool isComplete = false;
    std::string body;
    Error reason;
    bool isReusable = false;
};

/** Sends an upload to a server. @param onHeader is called once the header was read. */
Reading upload(const std::function<void(EarlyServer &)> &configure, std::size_t size = largeUpload,
               const std::function<void(const EarlyServer &)> &onHeader = {})
{
    net::io_context context;
    EarlyServer server(context);
    configure(server);
    Reading reading;
    bool isDone = false;
    const auto task = [&]() -> net::awaitable<void> {
        const net::any_io_executor executor = context.get_executor();
        HttpConnection connection(executor, server.endpoint());
        co_await connection.connect(Milliseconds(500), reading.reason);
        HttpRequest request;
        request.method = "POST";
        request.headers = {{"Host", "h"}};
        if (server.isKept) {
            co_await connection.exchange(request, responseTimeout, reading.reason);
            const auto first = co_await connection.readAll(100, responseTimeout, reading.reason);
            CHECK(first == "first");
            CHECK(connection.isReusable());
        }
        request.body.assign(size, 'u');
        const auto response =
                co_await connection.exchange(request, responseTimeout, reading.reason);
        if (response) {
            if (onHeader)
                onHeader(server);
            const auto body = co_await connection.readAll(1000, responseTimeout, reading.reason);
            reading.isComplete = body.has_value();
            reading.body = body.value_or("");
        }
        reading.isReusable = connection.isReusable();
        isDone = true;
    };
    net::co_spawn(context, task, net::detached);
    while (!isDone)
        context.run_one();
    return reading;
}

void requireLoss(const Reading &reading)
{
    CHECK_FALSE(reading.isComplete);
    CHECK(reading.reason.code == ErrorCode::ConnectionFailed);
    CHECK(reading.reason.runState == RunState::OutcomeUnknown);
    CHECK_FALSE(reading.isReusable);
}

std::string withLength(std::size_t length, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

std::string withChunks(const std::string &rest)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

/** Sets how long the system keeps the connection to a port without progress, in milliseconds. */
void setUserTimeout(std::uint16_t port, unsigned int milliseconds)
{
    constexpr int maximumDescriptor = 256;
    for (int descriptor = 0; descriptor < maximumDescriptor; ++descriptor) {
        sockaddr_in peer{};
        socklen_t length = sizeof(peer);
        auto *address = reinterpret_cast<sockaddr *>(&peer);
        if (::getpeername(descriptor, address, &length) == 0 && ntohs(peer.sin_port) == port)
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                         sizeof(milliseconds));
    }
}

} // namespace

// Guards against the part of an answer that was sent before a reset being read as a whole body. The
// pending write of the upload takes the reset from the system, which then reports an end to reads.
TEST_CASE("A reset during an upload breaks a body without framing", "[resets]")
{
    for (const Ending ending : {Ending::Close, Ending::Reset}) {
        for (const bool isKept : {false, true}) {
            for (const int pauseTime : {0, 1, 50}) {
                for (const std::string body : {"", "part"}) {
                    CAPTURE(static_cast<int>(ending), isKept, pauseTime, body);
                    requireLoss(upload([&](EarlyServer &server) {
                        server.answer = openHead + body;
                        server.ending = ending;
                        server.isKept = isKept;
                        server.pauseBeforeEnd = Milliseconds(pauseTime);
                    }));
                }
            }
        }
    }
}

// Guards against the same where a timer of the system gives the connection up.
TEST_CASE("A connection that times out during an upload breaks a body without framing", "[resets]")
{
    requireLoss(upload(
            [](EarlyServer &server) {
                server.answer = openHead + "part";
                server.ending = Ending::Open;
            },
            largeUpload,
            [](const EarlyServer &server) { setUserTimeout(server.endpoint().port, 300); }));
}

// Guards against a reset that is missed once the upload was written.
TEST_CASE("A reset after an upload breaks a body without framing", "[resets]")
{
    for (const bool isKept : {false, true}) {
        for (const int pauseTime : {0, 50}) {
            CAPTURE(isKept, pauseTime);
            requireLoss(upload(
                    [&](EarlyServer &server) {
                        server.answer = openHead + "part";
                        server.ending = Ending::Reset;
                        server.isKept = isKept;
                        server.pauseBeforeEnd = Milliseconds(pauseTime);
                    },
                    smallUpload));
        }
    }
}

// Guards against a body that is cut short although its framing tells.
TEST_CASE("A reset during an upload breaks an unfinished body with framing", "[resets]")
{
    for (const std::string &answer :
         {withLength(10, "part"), withChunks("4\r\npart\r\n"), withChunks("a\r\npart"),
          withChunks("4\r\npart\r\n0\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Le")}) {
        for (const int pauseTime : {0, 50}) {
            CAPTURE(answer, pauseTime);
            requireLoss(upload([&](EarlyServer &server) {
                server.answer = answer;
                server.pauseBeforeEnd = Milliseconds(pauseTime);
            }));
        }
    }
}

// Guards against a whole early answer that is lost because its upload can't be finished, and
// against a connection on which the rest of the upload would be read as the next request.
TEST_CASE("A whole answer during an upload is read and its connection not reused", "[resets]")
{
    for (const std::string &answer :
         {withLength(4, "body"), withChunks("4\r\nbody\r\n0\r\n\r\n")}) {
        for (const Ending ending : {Ending::Close, Ending::Reset, Ending::Shutdown, Ending::Open}) {
            for (const int pauseTime : {0, 50}) {
                CAPTURE(answer, static_cast<int>(ending), pauseTime);
                const Reading reading = upload([&](EarlyServer &server) {
                    server.answer = answer;
                    server.ending = ending;
                    server.pauseBeforeEnd = Milliseconds(pauseTime);
                });
                CHECK(reading.isComplete);
                CHECK(reading.body == "body");
                CHECK_FALSE(reading.isReusable);
            }
        }
    }
}

// Guards against the same for a body that the server ended in order, also if a reset follows
// because the upload is unread.
TEST_CASE("An orderly end during an upload is the end of a body without framing", "[resets]")
{
    for (const Ending ending : {Ending::Shutdown, Ending::ShutdownThenReset}) {
        for (const bool isKept : {false, true}) {
            for (const int pauseTime : {0, 50}) {
                CAPTURE(static_cast<int>(ending), isKept, pauseTime);
                const Reading reading = upload([&](EarlyServer &server) {
                    server.answer = openHead + "body";
                    server.ending = ending;
                    server.isKept = isKept;
                    server.pauseBeforeEnd = Milliseconds(pauseTime);
                });
                CHECK(reading.isComplete);
                CHECK(reading.body == "body");
                CHECK_FALSE(reading.isReusable);
            }
        }
    }
}
