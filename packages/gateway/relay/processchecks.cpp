#include "gateway/relay/processchecks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Streams of a process that are closed within this time share a check. */
constexpr Milliseconds gatheringTime{20};
/** How long one request waits for its answer. */
constexpr Milliseconds answerTimeout{500};
constexpr Milliseconds repetitionPause{100};
constexpr Milliseconds connectTimeout{300};
/** How long after one connection the others of a process that ends may still look open. */
constexpr Milliseconds closeTime{100};
/** A sound server may stand still for a second or so. */
constexpr Milliseconds maximumUnansweredTime{2000};

net::awaitable<void> pause(const net::any_io_executor &executor, Milliseconds time)
{
    net::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/** Returns whether an answer may come from another process than the one that is asked for. */
bool isFromOther(const ProcessAnswer &answer, const ServerProcess &process)
{
    return answer.startedAt && process.startedAt != 0 && *answer.startedAt != process.startedAt;
}

std::string nameOf(const ServerProcess &process)
{
    return process.address + "/" + std::to_string(process.startedAt);
}

/** Asks a process until its state is clear. */
net::awaitable<ProcessState> ask(const net::any_io_executor &executor, const EngineCalls &calls,
                                 const ServerProcess &process)
{
    using State = ProcessAnswer::State;
    const auto end = std::chrono::steady_clock::now() + maximumUnansweredTime;
    while (true) {
        const ProcessAnswer answer = co_await calls.askProcess(process.address, answerTimeout);
        const bool isOver = std::chrono::steady_clock::now() >= end;
        if (answer.state == State::Answered && !isFromOther(answer, process))
            co_return ProcessState::Outlived;
        // A process that ends does not accept connections for so long.
        if (answer.state == State::Closed && isOver)
            co_return ProcessState::Outlived;
        if (answer.state == State::Answered || answer.state == State::Refused || isOver)
            co_return ProcessState::Unknown;
        co_await pause(executor, repetitionPause);
    }
}

} // namespace

std::string_view toString(ProcessState state)
{
    switch (state) {
    case ProcessState::Unasked:
        return "unasked";
    case ProcessState::Outlived:
        return "outlived";
    case ProcessState::Unknown:
        return "unknown";
    }
    return "unknown";
}

void ProcessChecks::beginStream(const net::any_io_executor &executor, const ServerProcess &process)
{
    std::shared_ptr<Witness> &witness = this->witnesses[nameOf(process)];
    if (!witness)
        witness = std::make_shared<Witness>();
    ++witness->streamCount;
    this->renewConnection(executor, process);
}

void ProcessChecks::renewConnection(const net::any_io_executor &executor,
                                    const ServerProcess &process)
{
    const auto found = this->witnesses.find(nameOf(process));
    if (found == this->witnesses.end() || found->second->isConnecting || this->isConnected(process))
        return;
    Error reason;
    const auto endpoint = parseEndpoint(process.address, reason);
    if (!endpoint)
        return;
    found->second->isConnecting = true;
    net::co_spawn(executor, connect(executor, *endpoint, found->second), net::detached);
}

void ProcessChecks::endStream(const ServerProcess &process)
{
    const auto found = this->witnesses.find(nameOf(process));
    if (found != this->witnesses.end() && --found->second->streamCount == 0)
        this->witnesses.erase(found);
}

/** Opens the connection. Without it there is only less evidence. */
net::awaitable<void> ProcessChecks::connect(net::any_io_executor executor, Endpoint endpoint,
                                            std::shared_ptr<Witness> witness)
{
    auto connection = std::make_unique<HttpConnection>(executor, std::move(endpoint));
    Error ignored;
    const bool isOpen = co_await connection->connect(connectTimeout, ignored);
    if (isOpen)
        witness->connection = std::move(connection);
    witness->isConnecting = false;
}

/** Returns whether the connection to a process is open. */
bool ProcessChecks::isConnected(const ServerProcess &process) const
{
    const auto found = this->witnesses.find(nameOf(process));
    return found != this->witnesses.end() && found->second->connection
            && found->second->connection->isIdle();
}

net::awaitable<ProcessState> ProcessChecks::check(net::any_io_executor executor,
                                                  const EngineCalls &calls, ServerProcess process,
                                                  std::shared_ptr<net::steady_timer> wait)
{
    std::shared_ptr<Check> &gathered = this->gathering[nameOf(process)];
    if (!gathered) {
        gathered = std::make_shared<Check>();
        net::co_spawn(executor, this->run(executor, calls, std::move(process), gathered),
                      net::detached);
    }
    const std::shared_ptr<Check> shared = gathered;
    shared->waits.push_back(wait);
    boost::system::error_code ignored;
    co_await wait->async_wait(net::redirect_error(net::use_awaitable, ignored));
    co_return shared->state;
}

net::awaitable<void> ProcessChecks::run(net::any_io_executor executor, const EngineCalls &calls,
                                        ServerProcess process, std::shared_ptr<Check> check)
{
    co_await pause(executor, gatheringTime);
    this->gathering.erase(nameOf(process));
    check->state = co_await ask(executor, calls, process);
    if (check->state == ProcessState::Unknown) {
        co_await pause(executor, closeTime);
        if (this->isConnected(process))
            check->state = ProcessState::Outlived;
    }
    // A changed expiry also ends a wait that starts later, which cancel() would not.
    for (const auto &wait : check->waits)
        wait->expires_at(net::steady_timer::time_point::min());
}

} // namespace sassafrasyard
