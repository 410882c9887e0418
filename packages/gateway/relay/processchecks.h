#pragma once

#include "core/core.h"
#include "gateway/calls/enginecalls.h"
#include "network/network.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** What is known of the process that wrote a stream after that stream was closed. */
enum class ProcessState {
    /** It was not asked. */
    Unasked,
    /** It answered a request that was sent after the close. */
    Outlived,
    /** Nothing shows that it outlived the stream; it may have ended. */
    Unknown,
};

/** Returns the name of a state in logs and metrics. */
std::string_view toString(ProcessState state);

/** One process of a server. */
struct ServerProcess
{
    /** Its address, "IP:port". */
    std::string address;
    /** When it was started, in milliseconds since the Unix epoch; 0 if its entry states none. */
    std::int64_t startedAt = 0;
};

/**
 * Asks the processes of servers whether they outlived a stream.
 *
 * The operating system of a process that ends closes its connections in order, which looks like the
 * end of a stream without a length and chunks. One request serves all streams of a process that
 * were closed in the same moment.
 */
class ProcessChecks
{
public:
    /** Creates an object without checks. */
    ProcessChecks() = default;
    ProcessChecks(const ProcessChecks &) = delete;
    ProcessChecks &operator=(const ProcessChecks &) = delete;

    /**
     * Keeps a connection to a process open from now on, because a stream of it is in progress that
     * only its close ends.
     *
     * A leaving server closes its listener while it still sends its streams, and the operating
     * system closes this connection together with those of the streams if the process ends. Streams
     * of one process share the connection.
     */
    void beginStream(const boost::asio::any_io_executor &executor, const ServerProcess &process);
    /** Opens that connection again if the process has closed it; call it now and then. */
    void renewConnection(const boost::asio::any_io_executor &executor,
                         const ServerProcess &process);
    /** Ends what beginStream() began, after the check of the stream. */
    void endStream(const ServerProcess &process);

    /**
     * Returns the state of a process whose stream has just been closed: Outlived or Unknown.
     *
     * A process that does not answer is asked again for up to two seconds, because a sound one may
     * stand still for a second or so. One that accepts connections for so long but closes each has
     * outlived the stream, too: a server may have as many connections as it takes. Whatever its
     * address shows, it has outlived it if the connection of beginStream() is still open.
     *
     * @param calls outlives the check, which may go on after this has returned.
     * @param wait ends the wait for the result if it expires or is made to expire before.
     */
    boost::asio::awaitable<ProcessState> check(boost::asio::any_io_executor executor,
                                               const EngineCalls &calls, ServerProcess process,
                                               std::shared_ptr<boost::asio::steady_timer> wait);

private:
    /** A check that has not begun to ask, or is in progress. */
    struct Check
    {
        /** Each ends one wait for the result. */
        std::vector<std::shared_ptr<boost::asio::steady_timer>> waits;
        ProcessState state = ProcessState::Unknown;
    };

    /** The connection that is open while streams of a process are in progress. */
    struct Witness
    {
        int streamCount = 0;
        bool isConnecting = false;
        std::unique_ptr<HttpConnection> connection;
    };

    static boost::asio::awaitable<void> connect(boost::asio::any_io_executor executor,
                                                Endpoint endpoint,
                                                std::shared_ptr<Witness> witness);
    bool isConnected(const ServerProcess &process) const;
    boost::asio::awaitable<void> run(boost::asio::any_io_executor executor,
                                     const EngineCalls &calls, ServerProcess process,
                                     std::shared_ptr<Check> check);

    /** The checks that have not begun to ask, by the process. */
    std::map<std::string, std::shared_ptr<Check>> gathering;
    /** The connections to the processes that have streams in progress. */
    std::map<std::string, std::shared_ptr<Witness>> witnesses;
};

} // namespace sassafrasyard
