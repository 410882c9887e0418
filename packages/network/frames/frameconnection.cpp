#include "network/frames/frameconnection.h"

#include "network/sockets/listensocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>

namespace sassafrasyard {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t lengthPrefixBytes = 4;

auto redirect(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

Error frameError(error_code code, RunState state)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorCode::Timeout : ErrorCode::ConnectionFailed,
            state,
            code.message(),
            {}};
}

} // namespace

struct FrameConnection::Implementation
{
    explicit Implementation(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
};

FrameConnection::FrameConnection(tcp::socket socket)
    : implementation(std::make_unique<Implementation>(std::move(socket)))
{
    error_code ignored;
    this->implementation->stream.socket().set_option(tcp::no_delay(true), ignored);
}

FrameConnection::~FrameConnection() = default;

net::awaitable<std::unique_ptr<FrameConnection>> FrameConnection::connect(const Endpoint &endpoint,
                                                                          Milliseconds timeout,
                                                                          Error &reason)
{
    beast::tcp_stream stream(co_await net::this_coro::executor);
    stream.expires_after(timeout);
    error_code code;
    const tcp::endpoint address(net::ip::make_address(endpoint.address, code), endpoint.port);
    if (!code)
        co_await stream.async_connect(address, redirect(code));
    if (code) {
        reason = frameError(code, RunState::NotRun);
        co_return nullptr;
    }
    co_return std::make_unique<FrameConnection>(stream.release_socket());
}

net::awaitable<bool> FrameConnection::send(std::string_view payload, Milliseconds timeout,
                                           Error &reason)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    const std::array<unsigned char, lengthPrefixBytes> header = {
            static_cast<unsigned char>(size >> 24U), static_cast<unsigned char>(size >> 16U),
            static_cast<unsigned char>(size >> 8U), static_cast<unsigned char>(size)};
    const std::array<net::const_buffer, 2> buffers = {net::buffer(header),
                                                      net::buffer(payload.data(), payload.size())};
    this->implementation->stream.expires_after(timeout);
    error_code code;
    co_await net::async_write(this->implementation->stream, buffers, redirect(code));
    if (code)
        reason = frameError(code, RunState::OutcomeUnknown);
    co_return !code;
}

net::awaitable<std::optional<std::string>> FrameConnection::receive(Milliseconds timeout,
                                                                    Error &reason)
{
    std::array<unsigned char, lengthPrefixBytes> header{};
    this->implementation->stream.expires_after(timeout);
    error_code code;
    co_await net::async_read(this->implementation->stream, net::buffer(header), redirect(code));
    std::string payload;
    if (!code) {
        const std::size_t size = (std::size_t{header[0]} << 24U) | (std::size_t{header[1]} << 16U)
                | (std::size_t{header[2]} << 8U) | std::size_t{header[3]};
        if (size > maximumFrameBytes - lengthPrefixBytes) {
            reason = {ErrorCode::ProtocolViolation,
                      RunState::OutcomeUnknown,
                      "the frame exceeds the size limit",
                      {}};
            co_return std::nullopt;
        }
        payload.resize(size);
        co_await net::async_read(this->implementation->stream, net::buffer(payload),
                                 redirect(code));
    }
    if (code) {
        reason = frameError(code, RunState::OutcomeUnknown);
        co_return std::nullopt;
    }
    co_return payload;
}

void FrameConnection::close()
{
    this->implementation->stream.close();
}

struct FrameServer::Implementation : std::enable_shared_from_this<FrameServer::Implementation>
{
    Implementation(net::io_context &context, Handler handler)
        : context(context)
        , handler(std::move(handler))
        , acceptor(net::make_strand(context))
    {
    }

    net::awaitable<void> accept()
    {
        auto self = this->shared_from_this();
        while (this->acceptor.is_open()) {
            error_code code;
            auto strand = net::make_strand(this->context);
            tcp::socket socket = co_await this->acceptor.async_accept(strand, redirect(code));
            if (code == net::error::operation_aborted)
                co_return;
            if (code)
                continue;
            net::co_spawn(
                    strand,
                    [self, moved = std::move(socket)]() mutable {
                        return self->serve(std::move(moved));
                    },
                    net::detached);
        }
    }

    net::awaitable<void> serve(tcp::socket socket)
    {
        auto self = this->shared_from_this();
        FrameConnection connection(std::move(socket));
        co_await this->handler(connection);
    }

    net::io_context &context;
    Handler handler;
    tcp::acceptor acceptor;
};

FrameServer::FrameServer(net::io_context &context, Handler handler)
    : implementation(std::make_shared<Implementation>(context, std::move(handler)))
{
}

FrameServer::~FrameServer()
{
    net::post(this->implementation->acceptor.get_executor(), [self = this->implementation] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
}

std::optional<Endpoint> FrameServer::listen(const Endpoint &endpoint, Error &reason)
{
    tcp::acceptor &acceptor = this->implementation->acceptor;
    auto boundEndpoint = listenOn(acceptor, endpoint, reason);
    if (!boundEndpoint)
        return std::nullopt;
    net::co_spawn(
            acceptor.get_executor(), [self = this->implementation] { return self->accept(); },
            net::detached);
    return boundEndpoint;
}

} // namespace sassafrasyard
