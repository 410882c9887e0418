#include "gateway/relay/stoprecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

using State = RunStopResult::State;

/** Longer than a busy machine takes to run a handler that is ready. */
constexpr std::chrono::milliseconds readyTime{50};

/** One request to stop a run and its answer. */
struct Request
{
    State state = State::Unknown;
    bool hasMemory = false;
    /** Whether the answer is from the process that runs the call. */
    bool isFromRun = true;
};

constexpr Request copiedOrKept{State::Stopped, true};
constexpr Request absent{State::Stopped};
constexpr Request declined{State::Declined};
constexpr Request busy{State::Busy};
constexpr Request refused{State::Unreachable};
constexpr Request lost{State::Unknown};

/** A record and the context of its waits. */
class Recorder
{
public:
    void ask(const Request &request)
    {
        this->record.recordRequest();
        this->answer(request);
    }

    void ask(const std::vector<Request> &requests)
    {
        for (const Request &request : requests)
            this->ask(request);
    }

    void answer(const Request &request)
    {
        RunStopResult result;
        result.state = request.state;
        if (request.hasMemory)
            result.memory = MemoryCopy{"127.0.0.1:1", "copy"};
        this->record.recordAnswer(result, request.isFromRun);
    }

    /** Starts to wait for the answer. */
    void startWait()
    {
        net::co_spawn(
                this->context,
                [this]() -> net::awaitable<void> {
                    co_await this->record.waitForAnswer();
                    this->hasWaited = true;
                },
                net::detached);
    }

    /** Runs the waits. @return whether one has ended. */
    bool runWait()
    {
        this->context.restart();
        this->context.run_for(readyTime);
        return this->hasWaited;
    }

    net::io_context context;
    StopRecord record{this->context.get_executor(), BackendServerName("a")};

private:
    bool hasWaited = false;
};

/** Requests in their order, and what they may have done. */
struct Sequence
{
    std::vector<Request> requests;
    StopEffect effect = StopEffect::None;
    bool mayStillAct = false;
};

void check(const Sequence &sequence)
{
    Recorder recorder;
    recorder.ask(sequence.requests);
    INFO("expected " << toString(sequence.effect));
    CHECK(toString(recorder.record.effect()) == toString(sequence.effect));
    CHECK(recorder.record.mayStillAct() == sequence.mayStillAct);
}

} // namespace

// Guards against an effect of requests that were never made.
TEST_CASE("A record without requests has no effect", "[stoprecord]")
{
    const Recorder recorder;
    CHECK(recorder.record.effect() == StopEffect::None);
    CHECK_FALSE(recorder.record.mayStillAct());
    CHECK(recorder.record.server() == BackendServerName("a"));
}

// Guards against a stream that is taken for complete or for stopped against its engine's answer.
TEST_CASE("One answer shows what the request has done", "[stoprecord]")
{
    check({{copiedOrKept}, StopEffect::Stopped});
    check({{absent}, StopEffect::Absent});
    check({{declined}, StopEffect::Declined});
    check({{busy}, StopEffect::Declined});
    check({{lost}, StopEffect::Unknown, true});
    for (const State state : {State::Unreachable, State::Unanswered, State::NotSent})
        check({{{state}}, StopEffect::None});
}

// Guards against the answer of a process that was started later, which is taken for the run's.
TEST_CASE("An answer from another process does not show the end of the run", "[stoprecord]")
{
    for (const State state : {State::Stopped, State::Declined, State::Busy})
        check({{{state, false, false}}, StopEffect::Unknown, true});
    for (const State state : {State::Unreachable, State::Unanswered, State::NotSent})
        check({{{state, false, false}}, StopEffect::None});
}

// Guards against a lost answer that a later one hides although the first request stopped the run.
TEST_CASE("A lost answer stays unknown until the engine says that it stopped the run",
          "[stoprecord]")
{
    check({{lost, absent}, StopEffect::Unknown, true});
    check({{lost, declined}, StopEffect::Unknown, true});
    check({{lost, busy}, StopEffect::Unknown, true});
    check({{lost, refused}, StopEffect::Unknown, true});
    check({{absent, lost}, StopEffect::Unknown, true});
    check({{lost, refused, absent}, StopEffect::Unknown, true});
    check({{lost, copiedOrKept}, StopEffect::Stopped, true});
    check({{copiedOrKept, lost}, StopEffect::Stopped, true});
}

// Guards against a sound end that counts as unknown because of a request that did nothing, and
// against a request that was declined and is forgotten: the run that is absent later may have been
// stopped by it.
TEST_CASE("The strongest answer counts where no answer was lost", "[stoprecord]")
{
    check({{busy, absent}, StopEffect::Declined});
    check({{declined, absent}, StopEffect::Declined});
    check({{refused, absent}, StopEffect::Absent});
    check({{busy, copiedOrKept}, StopEffect::Stopped});
    check({{copiedOrKept, absent}, StopEffect::Stopped});
    check({{busy, refused}, StopEffect::Declined});
    check({{absent, refused}, StopEffect::Absent});
    check({{refused, refused}, StopEffect::None});
}

// Guards against an end that is judged before an answer that is under way.
TEST_CASE("A request without an answer is pending", "[stoprecord]")
{
    for (const Request &earlier : {declined, absent, refused, busy}) {
        Recorder recorder;
        recorder.ask(earlier);
        recorder.record.recordRequest();
        CHECK(toString(recorder.record.effect()) == toString(StopEffect::Pending));
        CHECK(recorder.record.mayStillAct());
    }
}

// Guards against a wait for an answer that can't change what is known.
TEST_CASE("A request without an answer does not hide a stop or a lost answer", "[stoprecord]")
{
    for (const Request &earlier : {copiedOrKept, lost}) {
        Recorder recorder;
        recorder.ask(earlier);
        const StopEffect before = recorder.record.effect();
        recorder.record.recordRequest();
        CHECK(toString(recorder.record.effect()) == toString(before));
        CHECK(recorder.record.mayStillAct());
    }
}

// Guards against a relay that waits although nothing is outstanding.
TEST_CASE("A wait without an outstanding answer ends at once", "[stoprecord]")
{
    Recorder recorder;
    if (GENERATE(true, false))
        recorder.ask(declined);
    recorder.startWait();
    CHECK(recorder.runWait());
}

// Guards against a wait that ends before the answer, or never.
TEST_CASE("A wait ends with the answer", "[stoprecord]")
{
    Recorder recorder;
    if (GENERATE(true, false))
        recorder.ask(busy);
    recorder.record.recordRequest();
    recorder.startWait();
    REQUIRE_FALSE(recorder.runWait());
    recorder.answer(absent);
    CHECK(recorder.runWait());
}

// Guards against a wait that ends with the first of two outstanding answers.
TEST_CASE("A wait ends with the last of two outstanding answers", "[stoprecord]")
{
    Recorder recorder;
    recorder.record.recordRequest();
    recorder.record.recordRequest();
    recorder.startWait();
    recorder.answer(busy);
    REQUIRE_FALSE(recorder.runWait());
    CHECK(recorder.record.isPending());
    CHECK(recorder.record.effect() == StopEffect::Pending);
    recorder.answer(copiedOrKept);
    CHECK(recorder.runWait());
    CHECK_FALSE(recorder.record.isPending());
    CHECK(recorder.record.effect() == StopEffect::Stopped);
}

// Guards against a call that waits on after its caller has left.
TEST_CASE("A wait can be ended before the answer", "[stoprecord]")
{
    Recorder recorder;
    recorder.record.recordRequest();
    const bool isEndedBefore = GENERATE(true, false);
    if (isEndedBefore)
        recorder.record.endWait();
    recorder.startWait();
    if (!isEndedBefore) {
        REQUIRE_FALSE(recorder.runWait());
        recorder.record.endWait();
    }
    CHECK(recorder.runWait());
    CHECK(recorder.record.effect() == StopEffect::Pending);
}
