#include "unframedengines.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

/** How long after the run has gone on elsewhere the engine there begins to leave. */
constexpr Milliseconds leaveInterval{300};
/** Longer than the host waits for an answer to a request to stop a run. */
constexpr Milliseconds lostAnswerTime{2200};

/** Lets the engine that takes the run up leave as well, and answer its last move late. */
void leaveOneAfterTheOther(UnframedEngines &engines, Milliseconds answerTime)
{
    engines.addEngine("c");
    engines.interval = Milliseconds(25);
    engines.leavesBefore = 20;
    engines.atLeave = [&engines] {
        engines.fixture.publishServers();
        engines.fixture.spawn([&engines]() -> net::awaitable<void> {
            while (engines.runs.size() < 2)
                co_await GatewayFixture::pause(Milliseconds(10));
            co_await GatewayFixture::pause(leaveInterval);
            engines.fixture.markLeaving(engines.runs[1]);
            engines.fixture.publishServers();
        });
    };
    engines.fixture.stopAnswerTime = [&engines, answerTime](const MoveOrder &order) {
        const bool isFirst = order.sourceAddress == engines.fixture.addressOf(engines.runs.front());
        return isFirst ? Milliseconds(0) : answerTime;
    };
}

} // namespace

// Guards against a stream that is cut because two engines leave one after the other and the answer
// to the last move is lost or late.
TEST_CASE("A stream goes on although its second engine leaves and answers late", "[turns]")
{
    UnframedCases cases;
    for (const bool isChunked : {true, false}) {
        for (const Milliseconds answerTime : {Milliseconds(1000), lostAnswerTime}) {
            for (const bool keepsMemory : {true, false}) {
                const auto prepare = [=](UnframedEngines &engines) {
                    engines.isChunked = isChunked;
                    engines.keepsMemory = keepsMemory;
                    leaveOneAfterTheOther(engines, answerTime);
                };
                cases.add(prepare, [=](UnframedEngines &engines) {
                    INFO("chunked " << isChunked << " answer after " << answerTime.count()
                                    << " ms, memory kept " << keepsMemory);
                    CHECK(engines.answer->status == 200);
                    CHECK(engines.answer->body == UnframedEngines::events());
                    CHECK(engines.mostAtOnce == 1);
                });
            }
        }
    }
    cases.run();
}
