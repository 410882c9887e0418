#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr std::uint64_t eventsBeforeLoss = 3;
constexpr std::uint64_t lastEvent = 8;

Route makeStreamRoute(bool isResumable)
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.isResumable = isResumable;
    route.maximumAttempts = isResumable ? 2 : 1;
    route.timeout = Milliseconds(8000);
    route.targetLatency = Milliseconds(500);
    route.targetPause = Milliseconds(100);
    return route;
}

EngineProperties makeEngineProperties(bool supportsBackup = true)
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100000;
    engine.tokensPerEvent = 4;
    engine.supportsBackup = supportsBackup;
    engine.supportsMoves = true;
    engine.copyLifetime = Milliseconds(200);
    return engine;
}

std::string events(std::uint64_t first, std::uint64_t last, const std::string &version)
{
    std::string all;
    for (std::uint64_t number = first; number <= last; ++number)
        all += "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
    return all;
}

std::uint64_t lastEventOf(const HttpRequest &request)
{
    return std::stoull(findHeader(request.headers, "Last").value_or("0"));
}

/** Stand-ins whose events state the software version of the server that produced them. */
class VersionedServers
{
public:
    /** What a stand-in does with a call instead of streaming all events. */
    using Action = std::function<net::awaitable<bool>(const std::string &server,
                                                      const HttpRequest &, HttpResponder &)>;

    /** Creates a gateway with a stream route and no servers. */
    explicit VersionedServers(bool isResumable, bool supportsBackup = true)
    {
        this->fixture.addRoute(makeStreamRoute(isResumable), makeEngineProperties(supportsBackup));
        this->fixture.answerStop = [](const MoveOrder &order) {
            return RunStopResult{RunStopResult::State::Stopped,
                                 MemoryCopy{order.sourceAddress, "kept"}, false};
        };
    }

    /** Lets servers answer a request to stop a run that they have no such run. */
    void forgetRuns()
    {
        this->fixture.answerStop = [](const MoveOrder &) {
            return RunStopResult{RunStopResult::State::Stopped, {}, false};
        };
    }

    /** Adds a server of a version. */
    void add(const std::string &name, const std::string &version)
    {
        this->versions[name] = version;
        this->fixture.addServer(
                name,
                [this, name, version](const HttpRequest &request,
                                      HttpResponder &responder) -> net::awaitable<void> {
                    const bool isHandled = co_await this->action(name, request, responder);
                    if (!isHandled)
                        co_await this->stream(request, responder, version);
                },
                version);
    }

    /** Lets the first call be lost after some events; the hook is called just before. */
    void loseFirstCall(std::uint64_t eventCount = eventsBeforeLoss,
                       const std::function<void(const std::string &server)> &beforeLoss = {})
    {
        this->action = [this, eventCount,
                        beforeLoss](const std::string &server, const HttpRequest &request,
                                    HttpResponder &responder) -> net::awaitable<bool> {
            if (this->fixture.received.size() > 1)
                co_return false;
            co_await this->lose(server, request, responder, eventCount, beforeLoss);
            co_return true;
        };
    }

    /** Lets calls with an identifier be lost after some events; further runs are refused. */
    void loseCalls(const std::string &id)
    {
        this->action = [this, id](const std::string &server, const HttpRequest &request,
                                  HttpResponder &responder) -> net::awaitable<bool> {
            if (findHeader(request.headers, "Id") != id)
                co_return false;
            if (lastEventOf(request) > 0) {
                HttpResponse refusal = GatewayFixture::refusal(request);
                co_await responder.send(std::move(refusal));
                co_return true;
            }
            co_await this->lose(server, request, responder, eventsBeforeLoss, {});
            co_return true;
        };
    }

    /** Lets the server of the first call leave after a time; it continues to stream. */
    void leaveDuringFirstCall(
            Milliseconds after,
            const std::function<void(const std::string &server)> &beforeLeaving = {})
    {
        this->interval = Milliseconds(10);
        this->action = [this, after, beforeLeaving](const std::string &server, const HttpRequest &,
                                                    HttpResponder &) -> net::awaitable<bool> {
            if (this->fixture.received.size() == 1) {
                net::co_spawn(
                        this->fixture.context,
                        [this, server, after, beforeLeaving]() -> net::awaitable<void> {
                            co_await GatewayFixture::pause(after);
                            if (beforeLeaving)
                                beforeLeaving(server);
                            this->fixture.markLeaving(server);
                        },
                        net::detached);
            }
            co_return false;
        };
    }

    /** Takes a stream up after the events before its loss. */
    HttpResponse resume(const std::string &id, const std::string &resumes)
    {
        HttpHeaders headers{{"After", std::to_string(eventsBeforeLoss)}};
        if (!resumes.empty())
            headers.emplace_back("Resumes", resumes);
        return this->fixture.call("/stream/", id, headers);
    }

    /** Returns the name of another server than the named one. */
    std::string otherThan(const std::string &name) const
    {
        for (const auto &[other, version] : this->versions) {
            if (other != name)
                return other;
        }
        return {};
    }

    /** Returns the versions of the servers that received calls. */
    std::set<std::string> calledVersions() const
    {
        std::set<std::string> called;
        for (const ReceivedCall &call : this->fixture.received)
            called.insert(this->versions.at(call.server));
        return called;
    }

    GatewayFixture fixture;
    std::map<std::string, std::string> versions;
    std::uint64_t last = lastEvent;
    Milliseconds interval{1};

private:
    net::awaitable<void> stream(const HttpRequest &request, HttpResponder &responder,
                                std::string version)
    {
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        bool isOpen = co_await responder.startStream(200, headers);
        for (std::uint64_t number = lastEventOf(request) + 1; isOpen && number <= this->last;
             ++number) {
            co_await GatewayFixture::pause(this->interval);
            const std::string text = events(number, number, version);
            isOpen = co_await responder.write(text);
        }
        if (isOpen)
            co_await responder.finish();
        else
            responder.abort();
    }

    net::awaitable<void> lose(const std::string &server, const HttpRequest &request,
                              HttpResponder &responder, std::uint64_t eventCount,
                              const std::function<void(const std::string &)> &beforeLoss)
    {
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        co_await responder.startStream(200, headers);
        const std::string text = events(1, eventCount, this->versions.at(server));
        if (!text.empty())
            co_await responder.write(text);
        co_await GatewayFixture::pause(Milliseconds(30));
        if (beforeLoss)
            beforeLoss(server);
        responder.abort();
    }

    Action action = [](const std::string &, const HttpRequest &,
                       HttpResponder &) -> net::awaitable<bool> {
        co_return false;
    };
};

} // namespace

// Guards against a copy of a run on a server of another version, from which the stream goes on when
// its engine is lost.
TEST_CASE("A stream has no backup on a server of another version", "[order]")
{
    VersionedServers servers(false);
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.loseFirstCall();
    REQUIRE(servers.fixture.call("/stream/", "r1").status == 0);
    REQUIRE(servers.fixture.received.size() == 1);
    REQUIRE_FALSE(findHeader(servers.fixture.received[0].request.headers, "Backup"));
}

// Guards against streams that are lost although a second server of their version is alive.
TEST_CASE("A stream goes on from its backup on a server of its version", "[order]")
{
    VersionedServers servers(false);
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.add("c", "v1");
    servers.add("d", "v2");
    servers.loseFirstCall();
    const HttpResponse answer = servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 2);
    REQUIRE(servers.calledVersions().size() == 1);
    REQUIRE(answer.body == events(1, lastEvent, *servers.calledVersions().begin()));
}

// Guards against a stream that goes on from a copy whose server has restarted with another version,
// or has gone, since the copy was reserved.
TEST_CASE("A copy is not used after the version of its server has changed", "[order]")
{
    for (const bool isRemoved : {false, true}) {
        CAPTURE(isRemoved);
        VersionedServers servers(false);
        servers.add("a", "v1");
        servers.add("b", "v1");
        servers.loseFirstCall(eventsBeforeLoss, [&](const std::string &server) {
            const std::string other = servers.otherThan(server);
            if (isRemoved)
                servers.fixture.removeEntry(other);
            else
                servers.fixture.changeVersion(other, "v2");
        });
        REQUIRE(servers.fixture.call("/stream/", "r1").status == 0);
        REQUIRE(servers.fixture.received.size() == 1);
        REQUIRE(findHeader(servers.fixture.received[0].request.headers, "Backup"));
    }
}

// Guards against a stream that moves from a leaving engine to one of another version.
TEST_CASE("A stream is taken over only by a server of its version", "[order]")
{
    VersionedServers servers(false);
    servers.last = 60;
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.leaveDuringFirstCall(Milliseconds(100));
    servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 1);
    REQUIRE(servers.fixture.moves.empty());

    VersionedServers more(false);
    more.last = 120;
    more.add("a", "v1");
    more.add("b", "v2");
    more.add("c", "v1");
    more.add("d", "v2");
    more.leaveDuringFirstCall(Milliseconds(200));
    const HttpResponse answer = more.fixture.call("/stream/", "r1");
    REQUIRE(more.fixture.received.size() == 2);
    REQUIRE(more.calledVersions().size() == 1);
    REQUIRE(answer.body == events(1, 120, *more.calledVersions().begin()));
}

// Guards against a takeover by the server with the copy after that has restarted with another
// version.
TEST_CASE("A stream is not taken over after the version of the copy's server changed", "[order]")
{
    VersionedServers servers(false);
    servers.last = 120;
    servers.add("a", "v1");
    servers.add("b", "v1");
    servers.leaveDuringFirstCall(Milliseconds(500), [&](const std::string &server) {
        servers.fixture.changeVersion(servers.otherThan(server), "v2");
    });
    const HttpResponse answer = servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 1);
    REQUIRE(answer.body == events(1, 120, "v1"));
}

// Guards against a copy that is refreshed at intervals on a server of another version.
TEST_CASE("A refreshed copy is kept only on a server of the same version", "[order]")
{
    VersionedServers servers(false, false);
    servers.last = 170;
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.leaveDuringFirstCall(Milliseconds(1400));
    servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 1);
    REQUIRE(servers.fixture.moves.empty());

    VersionedServers more(false, false);
    more.last = 200;
    more.add("a", "v1");
    more.add("b", "v2");
    more.add("c", "v1");
    more.add("d", "v2");
    more.leaveDuringFirstCall(Milliseconds(1400));
    const HttpResponse answer = more.fixture.call("/stream/", "r1");
    REQUIRE(more.fixture.received.size() == 2);
    REQUIRE(findHeader(more.fixture.received.back().request.headers, "Source") == "handle");
    REQUIRE(more.calledVersions().size() == 1);
    REQUIRE(answer.body == events(1, 200, *more.calledVersions().begin()));
}

// Guards against a new run after the last event on a server of another version.
TEST_CASE("A new run after the loss of a server has the version of the stream", "[order]")
{
    VersionedServers servers(true);
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.loseFirstCall();
    const HttpResponse answer = servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 2);
    REQUIRE(servers.calledVersions().size() == 1);
    REQUIRE(answer.body == events(1, lastEvent, *servers.calledVersions().begin()));
}

// Guards against a new run that starts on another version because no other server of the stream's
// version is left.
TEST_CASE("A stream whose version is gone does not look complete", "[order]")
{
    VersionedServers servers(true);
    servers.forgetRuns();
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.loseFirstCall(eventsBeforeLoss,
                          [&](const std::string &server) { servers.fixture.markLeaving(server); });
    REQUIRE(servers.fixture.call("/stream/", "r1").status == 0);
    REQUIRE(servers.fixture.received.size() == 1);
}

// Guards against a run on two servers, because a run without its connection is not stopped where
// only servers of another version could take its memory.
TEST_CASE("A run whose version is gone is stopped and returns to its server", "[order]")
{
    VersionedServers servers(true);
    servers.add("a", "v1");
    servers.add("b", "v2");
    const std::uint64_t eventCount = GENERATE(std::uint64_t{0}, eventsBeforeLoss);
    servers.loseFirstCall(eventCount,
                          [&](const std::string &server) { servers.fixture.markLeaving(server); });
    const HttpResponse answer = servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.stops.size() == 1);
    REQUIRE(servers.fixture.received.size() == 2);
    const std::string first = servers.fixture.received[0].server;
    REQUIRE(servers.fixture.received[1].server == first);
    REQUIRE(answer.body == events(1, lastEvent, servers.versions.at(first)));
}

// Guards against streams that are bound before their callers have got an event, and against a
// version that is recorded for a run that brought none.
TEST_CASE("A stream without an event may start on a server of another version", "[order]")
{
    VersionedServers servers(true);
    servers.forgetRuns();
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.loseFirstCall(0,
                          [&](const std::string &server) { servers.fixture.markLeaving(server); });
    const HttpResponse answer = servers.fixture.call("/stream/", "r1");
    REQUIRE(servers.fixture.received.size() == 2);
    const std::string version = servers.versions.at(servers.fixture.received[1].server);
    REQUIRE(servers.fixture.received[1].server != servers.fixture.received[0].server);
    REQUIRE(answer.body == events(1, lastEvent, version));
    REQUIRE(servers.resume("r2", "r1").body == events(eventsBeforeLoss + 1, lastEvent, version));
}

// Guards against a stream that its caller takes up and that is joined with events of another
// version, also over several tries, and against take-ups that are refused without need.
TEST_CASE("A caller takes a stream up on the version that began it", "[order]")
{
    VersionedServers servers(true);
    servers.add("a", "v1");
    servers.add("b", "v2");
    servers.add("c", "v1");
    servers.add("d", "v2");
    for (int number = 0; number < 6; ++number) {
        const std::string id = "call-" + std::to_string(number);
        servers.loseCalls(id);
        servers.fixture.received.clear();
        REQUIRE(servers.fixture.call("/stream/", id).status == 0);
        const std::string version = servers.versions.at(servers.fixture.received[0].server);
        for (const std::string attempt : {"-again", "-once-more"}) {
            const HttpResponse answer = servers.resume(id + attempt, id);
            REQUIRE(answer.status == 200);
            REQUIRE(answer.body == events(eventsBeforeLoss + 1, lastEvent, version));
        }
        REQUIRE(servers.calledVersions().size() == 1);
    }
}

// Guards against a stream that is joined with events of any version because its own is not known.
TEST_CASE("A stream whose version is unknown is not taken up", "[order]")
{
    VersionedServers servers(true);
    servers.add("a", "v1");
    servers.add("b", "v2");
    for (const std::string resumes : {"", "never-seen"}) {
        const HttpResponse answer = servers.resume("r2", resumes);
        REQUIRE(answer.status == 503);
        REQUIRE_FALSE(findHeader(answer.headers, "Retry-After"));
        REQUIRE(answer.body.find("not_run") != std::string::npos);
    }
    REQUIRE(servers.fixture.received.empty());
}

// Guards against a take-up that waits for, or goes to another version than, one whose servers all
// leave or are gone.
TEST_CASE("A stream whose version is gone is not taken up", "[order]")
{
    for (const bool isRemoved : {false, true}) {
        CAPTURE(isRemoved);
        VersionedServers servers(true);
        servers.add("a", "v1");
        servers.add("b", "v2");
        servers.loseCalls("r1");
        REQUIRE(servers.fixture.call("/stream/", "r1").status == 0);
        const std::string first = servers.fixture.received[0].server;
        servers.fixture.received.clear();
        if (isRemoved)
            servers.fixture.removeEntry(first);
        else
            servers.fixture.markLeaving(first);
        const HttpResponse answer = servers.resume("r2", "r1");
        REQUIRE(answer.status == 503);
        REQUIRE_FALSE(findHeader(answer.headers, "Retry-After"));
        REQUIRE(servers.fixture.received.empty());
    }
}
