#include "stoppinghost.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds shortDeadline{500};
constexpr Milliseconds shortWork{50};
/** How soon a call that cannot be served must be refused. */
constexpr Milliseconds refusalTime{200};

/** Returns a stream that lasts longer than the grace. */
HttpRequest makeLongStream(StoppingHost &host, const std::string &pathPrefix)
{
    constexpr int events = 60;
    return host.makeStream(pathPrefix, events, Milliseconds(100));
}

std::shared_ptr<CallerConnection> takeConnection(
        std::vector<std::shared_ptr<CallerConnection>> &connections)
{
    if (connections.empty())
        return nullptr;
    auto connection = connections.back();
    connections.pop_back();
    return connection;
}

void checkRefusedAtOnce(StoppingHost &host, const SentCall &call)
{
    INFO(call.describe());
    CHECK(call.result.isRefusedByStop());
    CHECK(call.elapsed <= refusalTime);
    CHECK(host.servers().receivedCount(call.requestId()) == 0);
}

void testLongStreams(bool isKept)
{
    const std::vector<std::string> paths{"/report/", "/story/"};
    const std::vector<int> moments{0, 400, 900, 1500, 2100};
    StoppingHost host;
    auto connections = host.keepConnections(isKept ? paths.size() * moments.size() : 0);
    host.stop();
    std::vector<SentCall *> streams;
    for (const int moment : moments) {
        host.runUntilMoment(Milliseconds(moment));
        for (const std::string &path : paths) {
            streams.push_back(&host.send(makeLongStream(host, path), takeConnection(connections)));
        }
    }
    host.runUntilExit();
    for (const SentCall *stream : streams)
        checkRefusedAtOnce(host, *stream);
}

} // namespace

// Guards against streams that a stopping host starts although they outlast it, and then cuts.
TEST_CASE("A stopping host refuses streams that outlast it on new connections", "[streams]")
{
    testLongStreams(false);
}

// Guards against the same on connections that callers keep open from before the stop.
TEST_CASE("A stopping host refuses streams that outlast it on kept connections", "[streams]")
{
    testLongStreams(true);
}
