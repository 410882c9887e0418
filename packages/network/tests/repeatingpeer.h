#pragma once

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
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Within this time an answer that is not waited for has been judged. */
constexpr Milliseconds judgedWithin{1000};

/** Waits without blocking the thread. */
inline boost::asio::awaitable<void> pause(Milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/** A server that sends the same bytes once on each connection. */
class RepeatingPeer
{
public:
    /**
     * Listens on a free port.
     *
     * @param pieces the bytes, which are sent with short pauses between the pieces.
     * @param isClosed whether the connection is closed after the bytes.
     */
    RepeatingPeer(boost::asio::io_context &context, std::vector<std::string> pieces, bool isClosed)
        : acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , pieces(std::move(pieces))
        , isClosed(isClosed)
    {
        boost::asio::co_spawn(
                context, [this, &context] { return this->accept(context); }, boost::asio::detached);
    }

    /** Returns where it listens. */
    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    using Tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept(boost::asio::io_context &context)
    {
        while (true) {
            auto socket = std::make_shared<Tcp::socket>(
                    co_await this->acceptor.async_accept(boost::asio::use_awaitable));
            boost::asio::co_spawn(
                    context, [this, socket] { return this->respond(socket); },
                    boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> respond(std::shared_ptr<Tcp::socket> socket)
    {
        namespace net = boost::asio;
        std::array<char, 4096> bytes{};
        boost::system::error_code code;
        co_await socket->async_read_some(net::buffer(bytes),
                                         net::redirect_error(net::use_awaitable, code));
        for (std::size_t index = 0; index < this->pieces.size() && !code; ++index) {
            if (index > 0)
                co_await pause(Milliseconds(10));
            co_await net::async_write(*socket, net::buffer(this->pieces[index]),
                                      net::redirect_error(net::use_awaitable, code));
        }
        // An open connection is held until the client closes it.
        if (!this->isClosed)
            co_await socket->async_read_some(net::buffer(bytes),
                                             net::redirect_error(net::use_awaitable, code));
    }

    Tcp::acceptor acceptor;
    std::vector<std::string> pieces;
    bool isClosed;
};

/** What the client made of an answer. */
struct Reading
{
    /** The status, header fields and body, if there is a complete response. */
    int status = 0;
    HttpHeaders headers;
    std::string body;
    Error reason;
    Milliseconds elapsed{0};
    bool isReusable = false;
    bool isOpen = false;
};

/** Sends a request to a server that answers with these pieces; returns what the client made. */
inline Reading readPieces(std::vector<std::string> pieces, bool isClosed = false)
{
    constexpr Milliseconds responseTimeout{3000};
    boost::asio::io_context context;
    const RepeatingPeer peer(context, std::move(pieces), isClosed);
    Reading reading;
    bool isDone = false;
    const auto task = [&]() -> boost::asio::awaitable<void> {
        const boost::asio::any_io_executor executor = context.get_executor();
        HttpConnection connection(executor, peer.endpoint());
        co_await connection.connect(Milliseconds(500), reading.reason);
        HttpRequest request;
        request.method = "POST";
        request.headers = {{"Host", "h"}};
        request.body = "body";
        const Milliseconds start = Clock::steady().now();
        const auto response =
                co_await connection.exchange(request, responseTimeout, reading.reason);
        if (response) {
            const auto body = co_await connection.readAll(1000, responseTimeout, reading.reason);
            reading.status = body ? response->status : 0;
            reading.headers = response->headers;
            reading.body = body.value_or("");
        }
        reading.elapsed = Clock::steady().now() - start;
        reading.isReusable = connection.isReusable();
        reading.isOpen = connection.isIdle();
        isDone = true;
    };
    boost::asio::co_spawn(context, task, boost::asio::detached);
    while (!isDone)
        context.run_one();
    return reading;
}

/** Does the same for an answer that is sent in one piece. */
inline Reading readAnswer(const std::string &bytes, bool isClosed = false)
{
    return readPieces({bytes}, isClosed);
}

/** Checks that an answer was no response, and at once. */
inline void requireViolation(const Reading &reading)
{
    CHECK(reading.status == 0);
    CHECK(reading.reason.code == ErrorCode::ProtocolViolation);
    CHECK(reading.reason.runState == RunState::OutcomeUnknown);
    CHECK(reading.elapsed < judgedWithin);
    CHECK_FALSE(reading.isReusable);
    CHECK_FALSE(reading.isOpen);
}

} // namespace sassafrasyard
