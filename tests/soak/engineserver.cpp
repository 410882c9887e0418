#include "engineserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;
using boost::system::error_code;
using tcp = net::ip::tcp;

EngineServer::State::State(net::io_context &context)
    : acceptor(context, tcp::endpoint(net::ip::address_v4::loopback(), 0))
{
}

EngineServer::EngineServer(net::io_context &context, EngineConnection::Handler handler)
    : state(std::make_shared<State>(context))
{
    this->state->handler = std::move(handler);
    net::co_spawn(context, accept(this->state), net::detached);
}

EngineServer::~EngineServer()
{
    this->stopAccepting();
    for (const auto &weak : this->state->connections) {
        if (const auto connection = weak.lock())
            connection->exit();
    }
}

std::string EngineServer::address() const
{
    const auto endpoint = this->state->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool EngineServer::isAccepting() const
{
    return this->state->acceptor.is_open();
}

void EngineServer::stopAccepting()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
}

net::awaitable<void> EngineServer::accept(std::shared_ptr<State> state)
{
    while (state->acceptor.is_open()) {
        error_code code;
        tcp::socket socket = co_await state->acceptor.async_accept(
                net::redirect_error(net::use_awaitable, code));
        if (code)
            continue;
        socket.set_option(tcp::no_delay(true), code);
        const auto connection = std::make_shared<EngineConnection>(std::move(socket));
        std::erase_if(state->connections, [](const auto &weak) { return weak.expired(); });
        state->connections.push_back(connection);
        net::co_spawn(
                state->acceptor.get_executor(),
                [connection, handler = state->handler] { return connection->serve(handler); },
                net::detached);
    }
}

} // namespace sassafrasyard
