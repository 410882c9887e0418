#include "stoppinghost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <utility>
#include <vector>

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

namespace {

void testShortCalls(bool isKept)
{
    const std::vector<int> answeredMoments{0, 500, 1000, 1500, 1700};
    const std::vector<int> refusedMoments{2200, 2350};
    constexpr std::size_t callsPerMoment = 3;
    StoppingHost host;
    auto connections = host.keepConnections(
            isKept ? callsPerMoment * (answeredMoments.size() + refusedMoments.size()) : 0);
    const auto sendAt = [&](int moment) {
        host.runUntilMoment(Milliseconds(moment));
        std::vector<SentCall *> calls;
        calls.push_back(&host.send(host.makeCall("/lookup/", shortWork, shortDeadline),
                                   takeConnection(connections)));
        calls.push_back(&host.send(host.makeCall("/order/", shortWork, shortDeadline),
                                   takeConnection(connections)));
        // This route's time-out is the deadline.
        calls.push_back(
                &host.send(host.makeCall("/quick/", shortWork, {}), takeConnection(connections)));
        return calls;
    };
    std::vector<SentCall *> answered;
    std::vector<SentCall *> refused;
    host.stop();
    for (const int moment : answeredMoments) {
        const auto calls = sendAt(moment);
        answered.insert(answered.end(), calls.begin(), calls.end());
    }
    for (const int moment : refusedMoments) {
        const auto calls = sendAt(moment);
        refused.insert(refused.end(), calls.begin(), calls.end());
    }
    host.runUntilExit();
    for (const SentCall *call : answered) {
        INFO(call->describe());
        CHECK(call->isAnswered());
    }
    for (const SentCall *call : refused)
        checkRefusedAtOnce(host, *call);
}

} // namespace

// Guards against a stopping host that refuses calls which can end in time, or accepts others.
TEST_CASE("A stopping host answers the short calls that end before it on new connections",
          "[calls]")
{
    testShortCalls(false);
}

// Guards against the same on connections that callers keep open from before the stop.
TEST_CASE("A stopping host answers the short calls that end before it on kept connections",
          "[calls]")
{
    testShortCalls(true);
}

// Guards against a call that waits for an engine until the stop although it cannot end in time.
TEST_CASE("A stopping host refuses calls that wait for a full engine and outlast it", "[queue]")
{
    constexpr int slots = 2;
    StoppingHost host(slots);
    std::vector<SentCall *> running;
    for (int index = 0; index < slots * StoppingHost::engineCount; ++index)
        running.push_back(&host.send(makeLongStream(host, "/story/")));
    const auto areAllRunning = [&] {
        return std::all_of(running.begin(), running.end(), [&](const SentCall *call) {
            return host.servers().receivedCount(call->requestId()) == 1;
        });
    };
    REQUIRE(host.runUntil(areAllRunning, Milliseconds(2000)));
    const SentCall &resumable = host.send(makeLongStream(host, "/report/"));
    const SentCall &other = host.send(makeLongStream(host, "/story/"));
    constexpr Milliseconds sendingTime{50};
    host.runUntil([] { return false; }, sendingTime);
    REQUIRE_FALSE(resumable.hasEnded());
    REQUIRE_FALSE(other.hasEnded());
    host.stop();
    const bool areRefused =
            host.runUntil([&] { return resumable.hasEnded() && other.hasEnded(); }, refusalTime);
    CHECK(areRefused);
    host.runUntilExit();
    for (const SentCall *call : {&resumable, &other}) {
        INFO(call->describe());
        CHECK(call->result.isRefusedByStop());
        CHECK(host.servers().receivedCount(call->requestId()) == 0);
    }
}

namespace {

/** Checks the responses to two requests that were sent on one connection during a planned stop. */
void checkPipelined(StoppingHost &host, const std::pair<SentCall *, SentCall *> &calls,
                    bool isFirstAnswered)
{
    const auto &[first, second] = calls;
    INFO("first: " << first->describe());
    INFO("second: " << second->describe());
    if (isFirstAnswered)
        CHECK(first->isAnswered());
    else
        CHECK(first->result.isRefusedByStop());
    const std::size_t received = host.servers().receivedCount(second->requestId());
    const bool isSettled = second->isAnswered()
            || ((second->result.end == CallEnd::Closed || second->result.isRefusedByStop())
                && received == 0);
    CHECK(isSettled);
}

} // namespace

// Guards against a connection that is closed with unread bytes: the reset can destroy the response.
TEST_CASE("A stopping host completes a response that unread requests follow", "[pipelined]")
{
    constexpr std::size_t largeBody = 64U << 10U;
    constexpr std::size_t pairCount = 6;
    StoppingHost host;
    auto connections = host.keepConnections(pairCount);
    host.stop();
    std::vector<std::pair<SentCall *, SentCall *>> answered;
    std::vector<std::pair<SentCall *, SentCall *>> refused;
    for (const bool isLarge : {false, true}) {
        const auto makeSecond = [&] {
            HttpRequest request = host.makeCall("/lookup/", shortWork, shortDeadline);
            request.body.resize(isLarge ? largeBody : request.body.size(), 'x');
            return request;
        };
        for (const Milliseconds delay : {Milliseconds(0), shortWork / 2}) {
            answered.push_back(
                    host.sendPipelined(host.makeCall("/order/", shortWork, shortDeadline),
                                       makeSecond(), delay, takeConnection(connections)));
        }
        refused.push_back(host.sendPipelined(makeLongStream(host, "/story/"), makeSecond(),
                                             Milliseconds(0), takeConnection(connections)));
    }
    host.runUntilExit();
    for (const auto &calls : answered)
        checkPipelined(host, calls, true);
    for (const auto &calls : refused)
        checkPipelined(host, calls, false);
}

namespace {

/** Checks a request of the last moments: only one that the process did not read has no response. */
void checkLastCall(StoppingHost &host, const SentCall &call)
{
    INFO(call.describe());
    const std::size_t received = host.servers().receivedCount(call.requestId());
    const CallEnd end = call.result.end;
    if (end == CallEnd::Response) {
        const bool isRefused = call.result.isRefusedAsNotRun() && received == 0;
        CHECK((call.isAnswered() || isRefused || call.result.isOutcomeUnknown()));
        return;
    }
    CHECK((end == CallEnd::NotConnected || end == CallEnd::ClosedBeforeSending
           || end == CallEnd::Reset));
    CHECK(received == 0);
}

} // namespace

// Guards against requests that a process reads right before its exit and leaves without a response.
TEST_CASE("A host answers or refuses each request that it reads before its exit", "[exit]")
{
    constexpr Milliseconds firstMoment{1500};
    constexpr Milliseconds lastMoment{3500};
    constexpr Milliseconds interval{20};
    constexpr std::size_t keptCount = 160;
    // Some calls may still be served shortly before the stop.
    constexpr Milliseconds lateDeadline{100};
    StoppingHost host;
    auto connections = host.keepConnections(keptCount);
    host.stop();
    std::vector<SentCall *> calls;
    bool isRefusingConnections = false;
    for (Milliseconds moment = firstMoment; moment < lastMoment && !isRefusingConnections;
         moment += interval) {
        host.runUntilMoment(moment);
        const Milliseconds work = interval / 2;
        for (const bool isKept : {false, true}) {
            const auto connection = [&] {
                return isKept ? takeConnection(connections) : nullptr;
            };
            calls.push_back(
                    &host.send(host.makeCall("/lookup/", work, shortDeadline), connection()));
            calls.push_back(&host.send(host.makeCall("/order/", work, lateDeadline), connection()));
            calls.push_back(&host.send(makeLongStream(host, "/story/"), connection()));
        }
        isRefusingConnections = std::any_of(calls.begin(), calls.end(), [](const SentCall *call) {
            return call->result.end == CallEnd::NotConnected;
        });
    }
    host.runUntilExit();
    CHECK(isRefusingConnections);
    for (const SentCall *call : calls)
        checkLastCall(host, *call);
}

// Guards against a process that a further signal or change during the grace ends early.
TEST_CASE("Signals and changes during the grace cut nothing", "[signals]")
{
    constexpr int events = 18;
    constexpr int changedVersion = 2;
    constexpr Milliseconds shorterGrace{1000};
    StoppingHost host;
    std::vector<SentCall *> calls;
    // Ends 2 s after its start, before the stop.
    calls.push_back(&host.send(host.makeStream("/story/", events, Milliseconds(100))));
    const std::string streamId = calls.front()->requestId();
    REQUIRE(host.runUntil([&] { return host.servers().receivedCount(streamId) == 1; },
                          Milliseconds(1000)));
    host.stop();
    const std::vector<std::function<void()>> disturbances{
            [&] { host.signal(SIGTERM); }, [&] { host.signal(SIGHUP); },
            [&] { host.writeConfiguration(changedVersion); },
            [&] {
                host.writeSettings(shorterGrace);
                host.signal(SIGHUP);
            },
            [&] {
                host.signal(SIGTERM);
            }};
    Milliseconds moment{200};
    for (const auto &disturb : disturbances) {
        host.runUntilMoment(moment);
        calls.push_back(&host.send(host.makeCall("/order/", shortWork, shortDeadline)));
        calls.push_back(&host.send(host.makeCall("/lookup/", shortWork, shortDeadline)));
        host.runUntil([] { return false; }, shortWork / 2);
        disturb();
        moment += Milliseconds(300);
    }
    host.runUntilExit();
    for (const SentCall *call : calls) {
        INFO(call->describe());
        CHECK(call->isAnswered());
    }
    constexpr Milliseconds timerTolerance{50};
    CHECK(host.exitedAt() >= StoppingHost::stopTime - timerTolerance);
    CHECK(host.exitStatus() == 0);
}

// Guards against a stream that is started at another server although it outlasts the stop.
TEST_CASE("A stopping host starts no refused stream again that outlasts it", "[retry]")
{
    StoppingHost host;
    std::vector<SentCall *> streams;
    for (const char *path : {"/report/", "/story/"}) {
        HttpRequest request = makeLongStream(host, path);
        request.headers.emplace_back("Refuse-First", "1");
        streams.push_back(&host.send(std::move(request)));
    }
    const auto areHeld = [&] {
        return std::all_of(streams.begin(), streams.end(), [&](const SentCall *stream) {
            return host.servers().receivedCount(stream->requestId()) == 1;
        });
    };
    REQUIRE(host.runUntil(areHeld, Milliseconds(1000)));
    host.stop();
    host.servers().releaseRefusals();
    const auto haveEnded = [&] {
        return std::all_of(streams.begin(), streams.end(),
                           [](const SentCall *stream) { return stream->hasEnded(); });
    };
    CHECK(host.runUntil(haveEnded, refusalTime));
    host.runUntilExit();
    for (const SentCall *stream : streams) {
        INFO(stream->describe());
        CHECK(stream->result.isRefusedAsNotRun());
        CHECK(host.servers().receivedCount(stream->requestId()) == 1);
    }
}

// Guards against calls from before the stop whose connection is closed without a response.
TEST_CASE("A host gives the calls that still run at its stop a final response", "[final]")
{
    constexpr Milliseconds longWork{10000};
    StoppingHost host;
    const std::vector<SentCall *> calls{
            &host.send(host.makeCall("/lookup/", longWork, {})),
            &host.send(host.makeCall("/order/", longWork, {})),
            // No event of these arrives before the stop.
            &host.send(host.makeStream("/report/", 1, longWork)),
            &host.send(host.makeStream("/story/", 1, longWork)),
    };
    const auto areRunning = [&] {
        return std::all_of(calls.begin(), calls.end(), [&](const SentCall *call) {
            return host.servers().receivedCount(call->requestId()) == 1;
        });
    };
    REQUIRE(host.runUntil(areRunning, Milliseconds(1000)));
    host.stop();
    host.runUntilExit();
    for (const SentCall *call : calls) {
        INFO(call->describe());
        CHECK(call->result.isOutcomeUnknown());
    }
    CHECK(host.exitedAt() < StoppingHost::grace);
}

// Guards against a process that does not exit within the grace, after which it would be killed.
TEST_CASE("A stopping host exits with status 0 before its grace is over", "[exit]")
{
    for (const bool isBusy : {false, true}) {
        StoppingHost host;
        if (isBusy) {
            const SentCall &stream = host.send(makeLongStream(host, "/story/"));
            REQUIRE(host.runUntil(
                    [&] { return host.servers().receivedCount(stream.requestId()) == 1; },
                    Milliseconds(1000)));
        }
        host.stop();
        host.runUntilExit();
        INFO((isBusy ? "with" : "without") << " a stream");
        CHECK(host.exitStatus() == 0);
        CHECK(host.exitedAt() < StoppingHost::grace);
    }
}

namespace {

/** Sends requests of which the first server to receive each holds it until releaseRefusals(). */
std::vector<SentCall *> sendHeld(StoppingHost &host, const std::vector<std::string> &paths,
                                 const char *heldField)
{
    constexpr Milliseconds longWork{10000};
    std::vector<SentCall *> calls;
    for (const std::string &path : paths) {
        const bool isStream = path == "/report/" || path == "/story/";
        HttpRequest request =
                isStream ? makeLongStream(host, path) : host.makeCall(path, longWork, {});
        request.headers.emplace_back(heldField, "1");
        calls.push_back(&host.send(std::move(request)));
    }
    const auto areHeld = [&] {
        return std::all_of(calls.begin(), calls.end(), [&](const SentCall *call) {
            return host.servers().receivedCount(call->requestId()) == 1;
        });
    };
    REQUIRE(host.runUntil(areHeld, Milliseconds(1000)));
    return calls;
}

bool haveAllEnded(const std::vector<SentCall *> &calls)
{
    return std::all_of(calls.begin(), calls.end(),
                       [](const SentCall *call) { return call->hasEnded(); });
}

} // namespace

// Guards against a plain call that is sent to another server although it outlasts the stop.
TEST_CASE("A stopping host sends no refused call again that outlasts it", "[retry]")
{
    StoppingHost host;
    const auto calls = sendHeld(host, {"/lookup/", "/order/"}, "Refuse-First");
    host.stop();
    host.servers().releaseRefusals();
    CHECK(host.runUntil([&] { return haveAllEnded(calls); }, refusalTime));
    host.runUntilExit();
    for (const SentCall *call : calls) {
        INFO(call->describe());
        CHECK(call->result.isRefusedAsNotRun());
        CHECK(host.servers().receivedCount(call->requestId()) == 1);
    }
}

// Guards against a call that runs again, or a stream that continues from its backup, at another
// server although no response has begun and it outlasts the stop.
TEST_CASE("A stopping host starts no broken call again that outlasts it", "[retry]")
{
    HostConfiguration configuration;
    configuration.copiesRuns = GENERATE(false, true);
    StoppingHost host(configuration);
    const auto calls =
            sendHeld(host, {"/lookup/", "/order/", "/report/", "/story/"}, "Break-First");
    host.stop();
    host.servers().releaseRefusals();
    host.runUntilExit();
    for (const SentCall *call : calls) {
        INFO(call->describe());
        CHECK(call->result.isOutcomeUnknown());
        CHECK(host.servers().receivedCount(call->requestId()) == 1);
    }
}

// Guards against a request that began to arrive before the stop and counts as accepted then.
TEST_CASE("A stopping host judges a call by when all of it has arrived", "[body]")
{
    constexpr std::size_t bodySize = 64U << 10U;
    const bool isChunked = GENERATE(false, true);
    const std::vector<int> delays{300, 1000, 2000};
    StoppingHost host;
    std::vector<SentCall *> streams;
    std::vector<SentCall *> shortCalls;
    const auto sendSplit = [&](HttpRequest request, int delay) {
        request.body.resize(bodySize, 'x');
        if (isChunked)
            request.headers.emplace_back("Transfer-Encoding", "chunked");
        return &host.sendSplit(std::move(request), Milliseconds(delay));
    };
    for (const int delay : delays) {
        streams.push_back(sendSplit(makeLongStream(host, "/report/"), delay));
        streams.push_back(sendSplit(makeLongStream(host, "/story/"), delay));
        // The last of these ends before the stop.
        shortCalls.push_back(
                sendSplit(host.makeCall("/order/", shortWork, Milliseconds(300)), delay));
    }
    constexpr Milliseconds arrivalTime{100};
    host.runUntil([] { return false; }, arrivalTime);
    host.stop();
    host.runUntilExit();
    for (const SentCall *stream : streams)
        checkRefusedAtOnce(host, *stream);
    for (const SentCall *call : shortCalls) {
        INFO(call->describe());
        CHECK(call->isAnswered());
    }
}

// Guards against a stopping host that judges a call by the time-out of an older configuration.
TEST_CASE("A stopping host judges a call by the time-out in force when it arrives", "[timeout]")
{
    constexpr Milliseconds shortTimeout{400};
    constexpr Milliseconds applyTime{200};
    constexpr int events = 4;
    HostConfiguration configuration;
    configuration.storyTimeout = shortTimeout;
    StoppingHost host(configuration);
    const auto sendStream = [&] {
        return &host.send(host.makeStream("/story/", events, Milliseconds(20)));
    };
    host.stop();
    std::vector<SentCall *> answered{sendStream()};
    host.runUntilMoment(Milliseconds(400));
    HostConfiguration next = configuration;
    next.version = 2;
    next.storyTimeout = Milliseconds(60000);
    host.writeConfiguration(next);
    host.runUntilMoment(Milliseconds(400) + applyTime);
    const SentCall *refused = sendStream();
    host.runUntilMoment(Milliseconds(1000));
    next.version = 3;
    next.storyTimeout = shortTimeout;
    host.writeConfiguration(next);
    host.runUntilMoment(Milliseconds(1000) + applyTime);
    answered.push_back(sendStream());
    host.runUntilExit();
    for (const SentCall *stream : answered) {
        INFO(stream->describe());
        CHECK(stream->isAnswered());
    }
    checkRefusedAtOnce(host, *refused);
}

// Guards against calls that are judged by another end of the stop than that of the exit, because
// the grace changed right before the SIGTERM or changes after it.
TEST_CASE("A stopping host judges calls by the grace in force at its SIGTERM", "[grace]")
{
    constexpr Milliseconds exitMargin{500};
    const Milliseconds newGrace = GENERATE(Milliseconds(1800), Milliseconds(4200));
    const bool hasReload = GENERATE(false, true);
    const Milliseconds end = newGrace - exitMargin;
    StoppingHost host;
    host.writeSettings(newGrace);
    if (hasReload)
        host.signal(SIGHUP);
    host.stop();
    const auto sendShortCall = [&] {
        return &host.send(host.makeCall("/order/", shortWork, shortDeadline));
    };
    std::vector<SentCall *> refused{&host.send(makeLongStream(host, "/story/"))};
    host.runUntilMoment(end - shortDeadline - Milliseconds(250));
    const SentCall *answered = sendShortCall();
    // The end of the stop stays as it is.
    host.writeSettings(StoppingHost::grace);
    host.signal(SIGHUP);
    host.runUntilMoment(end - shortDeadline + Milliseconds(50));
    refused.push_back(sendShortCall());
    refused.push_back(&host.send(makeLongStream(host, "/report/")));
    host.runUntilExit();
    INFO(answered->describe());
    CHECK(answered->isAnswered());
    for (const SentCall *call : refused)
        checkRefusedAtOnce(host, *call);
    CHECK(host.exitedAt() < newGrace);
}

namespace {

/** Returns a stream that its caller resumes and of which no host knows the software version. */
HttpRequest makeUnknownResumption(StoppingHost &host)
{
    HttpRequest request = makeLongStream(host, "/report/");
    request.headers.emplace_back("Last-Event-Id", "3");
    request.headers.emplace_back("Resumes", "a-call-of-another-host");
    return request;
}

} // namespace

// Guards against a stream that its caller resumes during the stop and that is started, or held
// until the exit closes it without a response, while the store confirms no list of servers.
TEST_CASE("A stopping host refuses streams that are resumed at it", "[resumed]")
{
    StoppingHost host;
    host.stop();
    host.setStoreDown(true);
    std::vector<SentCall *> streams;
    for (const int moment : {300, 1200, 2000, 2350}) {
        host.runUntilMoment(Milliseconds(moment));
        streams.push_back(&host.send(makeUnknownResumption(host)));
    }
    host.runUntilExit();
    for (const SentCall *stream : streams)
        checkRefusedAtOnce(host, *stream);
}

// Guards against the same for a stream that was resumed before the stop.
TEST_CASE("A host refuses a resumed stream that waits for a list of servers at its SIGTERM",
          "[resumed]")
{
    StoppingHost host;
    host.setStoreDown(true);
    const SentCall &stream = host.send(makeUnknownResumption(host));
    constexpr Milliseconds waitTime{500};
    host.runUntil([&] { return stream.hasEnded(); }, waitTime);
    REQUIRE_FALSE(stream.hasEnded());
    host.stop();
    CHECK(host.runUntil([&] { return stream.hasEnded(); }, refusalTime));
    host.runUntilExit();
    INFO(stream.describe());
    CHECK(stream.result.isRefusedByStop());
    CHECK(host.servers().receivedCount(stream.requestId()) == 0);
}
