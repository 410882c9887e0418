#pragma once

#include "core/core.h"
#include "gateway/calls/enginecalls.h"

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
     * Returns the state of a process whose stream has just been closed: Outlived or Unknown.
     *
     * A process that does not answer is asked again for up to two seconds, because a sound one may
     * stand still for a second or so. One that accepts connections for so long but closes each has
     * outlived the stream, too: a server may have as many connections as it takes.
     *
     * @param calls outlives the check, which may go on after this has returned.
     * @param timeLeft how long to wait, in milliseconds.
     */
    boost::asio::awaitable<ProcessState> check(boost::asio::any_io_executor executor,
                                               const EngineCalls &calls, ServerProcess process,
                                               Milliseconds timeLeft);

private:
    using Timer = boost::asio::steady_timer;

    /** A check that has not begun to ask, or is in progress. */
    struct Check
    {
        /** Each ends one wait for the result. */
        std::vector<std::shared_ptr<Timer>> waits;
        ProcessState state = ProcessState::Unknown;
    };

    boost::asio::awaitable<void> run(boost::asio::any_io_executor executor,
                                     const EngineCalls &calls, ServerProcess process,
                                     std::shared_ptr<Check> check);

    /** The checks that have not begun to ask, by the process. */
    std::map<std::string, std::shared_ptr<Check>> gathering;
};

} // namespace sassafrasyard
