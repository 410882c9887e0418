#include "gateway/relay/processchecks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using Answer = ProcessAnswer::State;

/** Checks of one process, whose answers are given in advance; the last one repeats. */
class Checks
{
public:
    explicit Checks(std::vector<ProcessAnswer> answers)
        : answers(std::move(answers))
    {
        this->calls.askProcess = [this](std::string,
                                        Milliseconds) -> net::awaitable<ProcessAnswer> {
            const std::size_t last = this->answers.size() - 1;
            co_return this->answers[std::min(last, this->askedCount++)];
        };
    }

    /** Starts a check of a process that was started at 7. */
    void start(Milliseconds timeLeft = Milliseconds(8000))
    {
        net::co_spawn(
                this->context,
                [this, timeLeft]() -> net::awaitable<void> {
                    const ServerProcess process{"10.0.0.1:80", 7};
                    const ProcessState state = co_await this->checks.check(
                            this->context.get_executor(), this->calls, process,
                            std::make_shared<net::steady_timer>(this->context, timeLeft));
                    this->states.push_back(state);
                },
                net::detached);
    }

    /** Runs all checks that were started. @return the states that they found, in order. */
    std::vector<ProcessState> run()
    {
        this->context.run();
        return this->states;
    }

    net::io_context context;
    std::size_t askedCount = 0;
    std::vector<ProcessState> states;

private:
    std::vector<ProcessAnswer> answers;
    EngineCalls calls;
    ProcessChecks checks;
};

} // namespace

// Guards against a stream that counts as complete although its process has ended or is another one.
TEST_CASE("Only an answer of the same process shows that it outlived a stream", "[processchecks]")
{
    const auto [answer, expected] = GENERATE(table<ProcessAnswer, ProcessState>({
            {{Answer::Answered, 7}, ProcessState::Outlived},
            {{Answer::Answered, {}}, ProcessState::Outlived},
            {{Answer::Answered, 8}, ProcessState::Unknown},
            {{Answer::Refused, {}}, ProcessState::Unknown},
            {{Answer::Unanswered, {}}, ProcessState::Unknown},
            {{Answer::Closed, {}}, ProcessState::Outlived},
    }));
    Checks checks({answer});
    checks.start();
    CHECK(checks.run() == std::vector{expected});
}

// Guards against a sound stream that does not count as complete because its engine, which may stand
// still for a second or so, answers late.
TEST_CASE("A process that does not answer is asked again", "[processchecks]")
{
    Checks checks({{Answer::Unanswered, {}}, {Answer::Unanswered, {}}, {Answer::Answered, 7}});
    checks.start();
    CHECK(checks.run() == std::vector{ProcessState::Outlived});
    CHECK(checks.askedCount == 3);
}

// Guards against a stream that counts as complete because the process that ends still had a
// listener when it was asked.
TEST_CASE("A process that closes a connection and then refuses one has ended", "[processchecks]")
{
    Checks checks({{Answer::Closed, {}}, {Answer::Refused, {}}});
    checks.start();
    CHECK(checks.run() == std::vector{ProcessState::Unknown});
    CHECK(checks.askedCount == 2);
}

// Guards against a request for each of many streams that end in the same moment.
TEST_CASE("Streams that are closed in the same moment share a check", "[processchecks]")
{
    Checks checks({{Answer::Answered, 7}});
    constexpr std::size_t streamCount = 5;
    for (std::size_t index = 0; index < streamCount; ++index)
        checks.start();
    CHECK(checks.run() == std::vector(streamCount, ProcessState::Outlived));
    CHECK(checks.askedCount == 1);
}

// Guards against a call that outlasts its deadline because the process does not answer.
TEST_CASE("A check ends with the time of its call", "[processchecks]")
{
    Checks checks({{Answer::Unanswered, {}}});
    checks.start(Milliseconds(50));
    checks.context.run_for(std::chrono::milliseconds(150));
    CHECK(checks.states == std::vector{ProcessState::Unknown});
}
