#pragma once

#include "gateway/relay/gatewayservices.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Where a part of a stream runs. */
struct StreamPlace
{
    /** The name under which the dispatcher knows it. */
    RequestName name;
    /** The backend server. */
    BackendServerName server;
    /** The server's address, "IP:port". */
    std::string address;
    /** The copy of the run's memory that it goes on from. */
    std::optional<MemoryCopy> source;
};

/**
 * Moves a run from an engine that is about to go to another one.
 *
 * The run continues during the first copy, which takes a while, and stops for the second, which
 * holds only what came in between. The move outlives the stream's relay where needed.
 */
class MemoryMove : public std::enable_shared_from_this<MemoryMove>
{
public:
    /**
     * Creates a move that has not begun.
     *
     * @param source where the run is.
     * @param work describes the run; its name is that of the copy.
     */
    MemoryMove(GatewayServices &services, StreamPlace source, WorkRequest work,
               std::string requestId);
    MemoryMove(const MemoryMove &) = delete;
    MemoryMove &operator=(const MemoryMove &) = delete;

    /** Starts the move. */
    void start();
    /** Waits for its end. @return where the run can go on, or nothing; the caller owns the place.
     */
    boost::asio::awaitable<std::optional<StreamPlace>> finish();
    /** Tells the move that its result is not wanted any more. */
    void abandon();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> copyTo(const ServerEntry &target);
    void end();

    GatewayServices &services;
    StreamPlace source;
    WorkRequest work;
    std::string requestId;
    boost::asio::steady_timer ended;
    std::optional<StreamPlace> result;
    bool isAbandoned = false;
    bool hasEnded = false;
};

} // namespace sassafrasyard
