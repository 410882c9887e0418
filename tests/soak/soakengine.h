#pragma once

#include "runregister.h"

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace sassafrasyard {

/**
 * A backend server on loopback that stops, copies and continues runs as the platform's engines do.
 *
 * The header fields of a request describe its work as for StandInServers. It breaks off no stream
 * that no host asked it to stop.
 */
class SoakEngine
{
public:
    /** Starts the server. @param runs outlives it. */
    SoakEngine(boost::asio::io_context &context, RunRegister &runs);
    SoakEngine(const SoakEngine &) = delete;
    SoakEngine &operator=(const SoakEngine &) = delete;

    /** Returns the address as IP:PORT. */
    const std::string &address() const;

    /** Sends nothing for some time from now, but accepts connections and requests. */
    void silence(Milliseconds time);

    /** Refuses new connections from now on; open ones are served. */
    void refuseConnections();

    /** Returns whether no request is in progress. */
    bool isIdle() const;

    /** Closes the listener and all connections, as the end of the process does. */
    void exit();

private:
    /** A stream in progress. */
    struct Run
    {
        int lastEvent = 0;
        bool isStopped = false;
        bool isCallerGone = false;
    };

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> stream(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<bool> sendEvents(const HttpRequest &request, HttpResponder &responder,
                                            Run &run);
    boost::asio::awaitable<void> move(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> waitForSilence();
    bool mayBegin(const HttpRequest &request);

    RunRegister &runs;
    /** Null after the exit. */
    std::unique_ptr<HttpServer> server;
    std::string listening;
    Milliseconds silentUntil{0};
    std::map<std::string, std::shared_ptr<Run>> inProgress;
    int requestCount = 0;
    int copyCount = 0;
};

} // namespace sassafrasyard
