#pragma once

#include "enginedraws.h"
#include "engineserver.h"
#include "runregister.h"

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sassafrasyard {

/**
 * A backend server on loopback that stops, copies and continues runs as the platform's engines do.
 *
 * The header fields of a request describe its work as for StandInServers. Unless it exits, it
 * breaks off no stream that no host asked it to stop. A share of the streams has neither a length
 * nor chunks; one that is stopped is closed after a whole event, and the answer to the request may
 * be late or lost.
 */
class SoakEngine
{
public:
    /** Starts the server. @param runs outlives it, and so does @p draws. */
    SoakEngine(boost::asio::io_context &context, RunRegister &runs, const EngineDraws &draws);
    SoakEngine(const SoakEngine &) = delete;
    SoakEngine &operator=(const SoakEngine &) = delete;

    /** Returns the address as IP:PORT. */
    const std::string &address() const;

    /** Returns when the server was started, in milliseconds since the Unix epoch. */
    std::int64_t startedAt() const;

    /** Sends nothing for some time from now, but accepts connections and requests. */
    void silence(Milliseconds time);

    /** Refuses new connections from now on; open ones are served. */
    void refuseConnections();

    /** Returns whether no request is in progress. */
    bool isIdle() const;

    /** Closes the listener and then all connections in order, as the end of the process does. */
    void exit(EngineExit how);

private:
    /** A request to copy a run. */
    struct MoveOrder
    {
        std::string requestId;
        std::string target;
        bool isLast = false;
    };

    /** A stream in progress. */
    struct Run
    {
        /** The identifier of the request and the number of its run. */
        std::string name;
        StreamFraming framing = StreamFraming::Chunks;
        int lastEvent = 0;
        bool hasDeclined = false;
        /** When a run stops although its engine declined to stop it. */
        std::optional<Milliseconds> stopsAt;
        bool isStopped = false;
        bool isCallerGone = false;
    };

    boost::asio::awaitable<void> handle(const HttpRequest &request, EngineConnection &connection);
    boost::asio::awaitable<void> report(EngineConnection &connection);
    boost::asio::awaitable<void> answer(const HttpRequest &request, EngineConnection &connection);
    boost::asio::awaitable<void> stream(const HttpRequest &request, EngineConnection &connection);
    std::shared_ptr<Run> beginRun(const HttpRequest &request, EngineConnection &connection);
    boost::asio::awaitable<bool> sendEvents(const HttpRequest &request,
                                            EngineConnection &connection, Run &run);
    boost::asio::awaitable<void> move(const HttpRequest &request, EngineConnection &connection);
    bool mustDecline(Run &run);
    bool stopsUnasked(const std::string &requestId, Run &run);
    boost::asio::awaitable<void> moveRun(const std::shared_ptr<Run> &run, const MoveOrder &order,
                                         EngineConnection &connection);
    boost::asio::awaitable<void> stopRun(const std::shared_ptr<Run> &run,
                                         const std::string &requestId);
    boost::asio::awaitable<void> answerStop(const Run &run, const std::string &requestId,
                                            HttpResponse response, EngineConnection &connection);
    boost::asio::awaitable<void> waitForSilence();
    bool mayBegin(const HttpRequest &request);
    std::shared_ptr<Run> findRun(const std::string &requestId) const;

    RunRegister &runs;
    const EngineDraws &draws;
    /** Null after the exit. */
    std::unique_ptr<EngineServer> server;
    std::string listening;
    std::int64_t born = 0;
    Milliseconds silentUntil{0};
    std::map<std::string, std::shared_ptr<Run>> inProgress;
    /** The requests whose stopped run is being copied or was stopped after an answer of 409. */
    std::set<std::string> moving;
    /** The requests whose unframed stream ended here as complete. */
    std::set<std::string> complete;
    int requestCount = 0;
    int copyCount = 0;
};

} // namespace sassafrasyard
