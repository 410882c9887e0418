#include "network/network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using net::ip::tcp;

namespace {

/** A server on loopback and a caller that writes and reads raw bytes. */
class RawCaller
{
public:
    /** @param bodyBytes the size of the body of each response. */
    explicit RawCaller(std::size_t bodyBytes)
        : server(
                context, {},
                [this, bodyBytes](const HttpRequest &,
                                  HttpResponder &responder) -> net::awaitable<void> {
                    if (this->isThrowing)
                        throw std::runtime_error("handler");
                    HttpResponse response;
                    response.body = std::string(bodyBytes, 'x');
                    ++this->handledCount;
                    co_await responder.send(std::move(response));
                },
                [](const Error &error) {
                    return HttpResponse{httpStatus(error.code), {}, ""};
                })
    {
        Error reason;
        this->endpoint = *this->server.listen({"127.0.0.1", 0}, reason);
    }

    /** Writes each text by itself, waits, and reads until the connection has ended. */
    void exchange(const std::vector<std::string> &texts, Milliseconds delay)
    {
        this->run([this, &texts, delay](tcp::socket &socket) -> net::awaitable<void> {
            for (const std::string &text : texts)
                co_await net::async_write(socket, net::buffer(text), net::use_awaitable);
            net::steady_timer timer(this->context, delay);
            co_await timer.async_wait(net::use_awaitable);
            co_await this->readAll(socket);
        });
    }

    /** Sends a request, waits, and sends another one on the same connection. */
    void exchangeAfter(const std::string &first, const std::string &second, Milliseconds delay)
    {
        this->run([this, first, second, delay](tcp::socket &socket) -> net::awaitable<void> {
            co_await net::async_write(socket, net::buffer(first), net::use_awaitable);
            net::steady_timer timer(this->context, delay);
            co_await timer.async_wait(net::use_awaitable);
            boost::system::error_code ignored;
            co_await net::async_write(socket, net::buffer(second),
                                      net::redirect_error(net::use_awaitable, ignored));
            co_await this->readAll(socket);
        });
    }

    /** Returns how often a text occurs in the received bytes. */
    std::size_t countOf(std::string_view text) const
    {
        std::size_t count = 0;
        for (std::size_t at = this->received.find(text); at != std::string::npos;
             at = this->received.find(text, at + 1)) {
            ++count;
        }
        return count;
    }

    net::io_context context;
    HttpServer server;
    Endpoint endpoint;
    std::string received;
    std::size_t handledCount = 0;
    /** Whether the handler throws instead of responding. */
    bool isThrowing = false;

private:
    using Session = std::function<net::awaitable<void>(tcp::socket &)>;

    /** Connects and runs until the session has ended, for at most 5 s. */
    void run(const Session &session)
    {
        bool hasEnded = false;
        net::co_spawn(
                this->context,
                [&]() -> net::awaitable<void> {
                    tcp::socket socket(this->context);
                    const tcp::endpoint address(net::ip::make_address(this->endpoint.address),
                                                this->endpoint.port);
                    co_await socket.async_connect(address, net::use_awaitable);
                    socket.set_option(tcp::no_delay(true));
                    co_await session(socket);
                    hasEnded = true;
                },
                net::detached);
        const Clock clock = Clock::steady();
        const Milliseconds end = clock.now() + Milliseconds(5000);
        while (!hasEnded && clock.now() < end) {
            try {
                this->context.run_for(std::chrono::milliseconds(10));
            } catch (const std::runtime_error &) {
                // The exception of a handler ends only its own connection.
            }
        }
    }

    net::awaitable<void> readAll(tcp::socket &socket)
    {
        std::array<char, 65536> bytes{};
        boost::system::error_code code;
        while (!code) {
            const std::size_t count = co_await socket.async_read_some(
                    net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
            this->received.append(bytes.data(), count);
        }
    }
};

constexpr const char *keptRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char *lastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a request that is received in full together with another one during a planned
// stop, and is dropped when the connection closes after the first response.
TEST_CASE("A planned stop answers requests that were received together", "[network]")
{
    RawCaller caller(10);
    caller.server.closeAfterResponses();
    caller.exchange({std::string(keptRequest) + keptRequest}, Milliseconds(0));
    CHECK(caller.handledCount == 2);
    CHECK(caller.countOf("HTTP/1.1 200") == 2);
    CHECK(caller.countOf("Connection: close") == 1);
}

// Guards against a response that is lost on its way: closing a connection with unread bytes resets
// it, and the bytes of the response that the caller has not received yet are dropped.
TEST_CASE("Bytes after the last request don't cut its response off", "[network]")
{
    constexpr std::size_t bodyBytes = 2U << 20U;
    RawCaller caller(bodyBytes);
    caller.exchange({lastRequest, std::string(4096, 'y')}, Milliseconds(300));
    CHECK(caller.handledCount == 1);
    CHECK(caller.countOf("HTTP/1.1 200") == 1);
    CHECK(caller.received.size() > bodyBytes);
}

// Guards against a caller that fills the memory with a chunk extension or a trailer without an end.
TEST_CASE("A request whose framing has no end is refused", "[network]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &framing : {std::string("1;x="), std::string("0\r\nX: ")}) {
        CAPTURE(framing);
        RawCaller caller(10);
        caller.exchange({head + framing, std::string(1U << 20U, 'x')}, Milliseconds(0));
        CHECK(caller.handledCount == 0);
        CHECK(caller.countOf("HTTP/1.1 431") == 1);
    }
}

// Guards against connections that are closed while callers still use them: after a change that
// raises the idle time, callers keep connections for the new one.
TEST_CASE("A longer idle time applies to connections that are already idle", "[network]")
{
    RawCaller caller(10);
    HttpServerOptions options;
    options.idleTimeout = Milliseconds(200);
    caller.server.setOptions(options);
    net::steady_timer change(caller.context, std::chrono::milliseconds(100));
    change.async_wait([&caller, options](const boost::system::error_code &) {
        HttpServerOptions changed = options;
        changed.idleTimeout = Milliseconds(60000);
        caller.server.setOptions(changed);
    });
    caller.exchangeAfter(keptRequest, lastRequest, Milliseconds(400));
    CHECK(caller.countOf("HTTP/1.1 200") == 2);
}

// Guards against idle connections that are closed by the exit of the process only, with requests
// that arrive at that moment.
TEST_CASE("A planned stop closes the connections that wait for a request", "[network]")
{
    RawCaller caller(10);
    net::steady_timer stop(caller.context, std::chrono::milliseconds(200));
    stop.async_wait(
            [&caller](const boost::system::error_code &) { caller.server.closeIdleConnections(); });
    const Clock clock = Clock::steady();
    const Milliseconds start = clock.now();
    caller.exchange({keptRequest}, Milliseconds(0));
    CHECK(caller.countOf("HTTP/1.1 200") == 1);
    CHECK(clock.now() - start < Milliseconds(2000));
    CHECK(caller.server.openConnections() == 0);
}

// Guards against requests on kept connections that are refused under the limits of an older
// configuration.
TEST_CASE("A larger body limit applies to connections that are already idle", "[network]")
{
    RawCaller caller(10);
    HttpServerOptions options;
    options.maximumBodyBytes = 4;
    caller.server.setOptions(options);
    net::steady_timer change(caller.context, std::chrono::milliseconds(100));
    change.async_wait([&caller, options](const boost::system::error_code &) {
        HttpServerOptions changed = options;
        changed.maximumBodyBytes = 4096;
        caller.server.setOptions(changed);
    });
    const std::string longRequest =
            "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 100\r\n\r\n"
            + std::string(100, 'x');
    caller.exchangeAfter(keptRequest, longRequest, Milliseconds(200));
    CHECK(caller.countOf("HTTP/1.1 200") == 2);
    CHECK(caller.countOf("HTTP/1.1 413") == 0);
}

// Guards against a request without a response, and a connection that counts as open for ever, when
// its handler ends with an exception.
TEST_CASE("A request whose handler throws gets a response", "[network]")
{
    RawCaller caller(10);
    caller.isThrowing = true;
    caller.exchange({keptRequest}, Milliseconds(0));
    CHECK(caller.countOf("HTTP/1.1 500") == 1);
    CHECK(caller.server.openConnections() == 0);
}
