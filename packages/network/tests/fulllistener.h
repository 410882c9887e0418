#pragma once

#include "network/http/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <vector>

#include <linux/filter.h>
#include <sys/socket.h>

namespace sassafrasyard {

/**
 * Lets the operating system drop all packets that arrive at a socket, so that it answers nothing,
 * as if its machine had no power or were cut off.
 */
inline void dropArrivingPackets(int socket)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/**
 * A listener on loopback of a process that stands still: once its backlog is full, new connections
 * are neither accepted nor refused.
 */
class FullListener
{
public:
    /** Listens with the smallest backlog. */
    explicit FullListener(boost::asio::io_context &context)
        : context(context)
        , acceptor(context)
    {
        using Tcp = boost::asio::ip::tcp;
        const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), std::uint16_t{0});
        this->acceptor.open(any.protocol());
        this->acceptor.bind(any);
        this->acceptor.listen(0);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    /** Returns the address that it listens on. */
    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    /** Accepts the next connection. */
    boost::asio::awaitable<boost::asio::ip::tcp::socket> accept()
    {
        return this->acceptor.async_accept(boost::asio::use_awaitable);
    }

    /** Fills the backlog; accept no connection until drain(). */
    void fill()
    {
        // With a backlog of 0 one connection waits to be accepted; the others get no answer.
        constexpr int connections = 4;
        for (int index = 0; index < connections; ++index) {
            auto socket = std::make_shared<boost::asio::ip::tcp::socket>(this->context);
            socket->async_connect(this->acceptor.local_endpoint(),
                                  [socket](boost::system::error_code) {});
            this->waiting.push_back(std::move(socket));
        }
    }

    /** From now on, drops what arrives for the listener, as if its machine had no power. */
    void dropPackets() { dropArrivingPackets(this->acceptor.native_handle()); }

    /** Stops listening, so that connections are refused. */
    void close() { this->acceptor.close(); }

    /** Gives up the connections that fill the backlog. */
    void drain()
    {
        boost::system::error_code ignored;
        for (const auto &socket : this->waiting)
            socket->close(ignored);
        this->waiting.clear();
    }

private:
    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> waiting;
};

} // namespace sassafrasyard
