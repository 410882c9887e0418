#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Backend servers on loopback whose work a request's header fields describe.
 *
 * Work-Ms: the time until the answer, in milliseconds. Events: the number of events of a stream;
 * without it the call is a plain one. Event-Ms: the time before each event, in milliseconds.
 * Refuse-First: the first server that receives the request holds it until releaseRefusals() and
 * then refuses it as not run. Break-First: the same, but it closes the connection instead. A
 * request to continue a run from a copy is refused as not run, and a request to copy a run with
 * status 503: the servers have no room for copies.
 */
class StandInServers
{
public:
    /** Creates the object without servers. */
    explicit StandInServers(boost::asio::io_context &context);
    StandInServers(const StandInServers &) = delete;
    StandInServers &operator=(const StandInServers &) = delete;

    /** Starts a server and returns its address. */
    Endpoint add();

    /** Returns how often servers received a request. */
    std::size_t receivedCount(const std::string &requestId) const;

    /** Lets the servers refuse, or break off, the requests that they hold. */
    void releaseRefusals();

    /** Lets a server send no event for some time from now. @param index in the order of add(). */
    void silence(std::size_t index, Milliseconds time);

    /**
     * Lets a server refuse new connections from now on; open ones are served. A server that leaves
     * may close its listener first.
     */
    void refuseConnections(std::size_t index);

    /** Returns the number of requests to continue a run from a copy, all of which were refused. */
    std::size_t refusedContinuations() const;

    /** Returns the body of the whole answer to a request. */
    static std::string answerTo(const HttpRequest &request);

private:
    /** A server and when its silence ends. */
    struct Server
    {
        Milliseconds silentUntil{0};
        std::unique_ptr<HttpServer> http;
    };

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder,
                                        const Server &server);
    boost::asio::awaitable<void> hold();
    static boost::asio::awaitable<void> refuse(HttpHeaders headers, HttpResponder &responder);
    boost::asio::awaitable<void> stream(const HttpRequest &request, HttpHeaders headers,
                                        HttpResponder &responder, const Server &server);

    boost::asio::io_context &context;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::string> receivedIds;
    bool mayRefuse = false;
    std::size_t continuationCount = 0;
};

} // namespace sassafrasyard
