#pragma once

#include "engineconnection.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Accepts the connections to an engine of a test. */
class EngineServer
{
public:
    /** Listens on a free port of loopback. @param handler handles the requests. */
    EngineServer(boost::asio::io_context &context, EngineConnection::Handler handler);
    /** Closes the listener and all connections. */
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    /** Returns the address as IP:PORT. */
    std::string address() const;

    /** Returns whether new connections are accepted. */
    bool isAccepting() const;

    /** Closes the listener; open connections are served. */
    void stopAccepting();

private:
    /** What the coroutine that accepts connections shares with the server. */
    struct State
    {
        explicit State(boost::asio::io_context &context);

        boost::asio::ip::tcp::acceptor acceptor;
        EngineConnection::Handler handler;
        std::vector<std::weak_ptr<EngineConnection>> connections;
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

} // namespace sassafrasyard
