#include "gatewayhosts.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr std::uint64_t eventsBeforeLoss = 3;
constexpr std::uint64_t lastEvent = 8;

Route makeStreamRoute()
{
    Route route;
    route.name = "stream";
    route.pathPrefix = "/stream/";
    route.kind = CallKind::Stream;
    route.isResumable = true;
    route.maximumAttempts = 2;
    route.timeout = Milliseconds(8000);
    return route;
}

EngineProperties makeEngineProperties()
{
    EngineProperties engine;
    engine.slots = 8;
    engine.memoryTokens = 100'000;
    engine.tokensPerEvent = 4;
    return engine;
}

std::string events(std::uint64_t first, std::uint64_t last, const std::string &version)
{
    std::string all;
    for (std::uint64_t number = first; number <= last; ++number)
        all += "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
    return all;
}

/** A stand-in whose events state its software version. */
class VersionedServer
{
public:
    /** Starts a stand-in and registers it with all hosts. */
    VersionedServer(GatewayHosts &hosts, const std::string &name, std::string version,
                    const bool &cutsStreams)
        : version(std::move(version))
        , cutsStreams(cutsStreams)
        , server(
                  *hosts.context, HttpServerOptions(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return this->stream(request, responder);
                  },
                  errorResponse)
    {
        Error reason;
        const auto endpoint = this->server.listen({"127.0.0.1", 0}, reason);
        hosts.registerServer(name, endpoint->toString(), this->version);
    }

private:
    net::awaitable<void> stream(const HttpRequest &request, HttpResponder &responder)
    {
        const std::uint64_t after = std::stoull(findHeader(request.headers, "Last").value_or("0"));
        if (this->cutsStreams && after > 0) {
            responder.abort();
            co_return;
        }
        const HttpHeaders headers = GatewayFixture::signedAnswer(request).headers;
        co_await responder.startStream(200, headers);
        const std::uint64_t last = this->cutsStreams ? eventsBeforeLoss : lastEvent;
        const std::string text = events(after + 1, last, this->version);
        co_await responder.write(text);
        co_await GatewayFixture::pause(Milliseconds(30));
        if (this->cutsStreams)
            responder.abort();
        else
            co_await responder.finish();
    }

    std::string version;
    const bool &cutsStreams;
    HttpServer server;
};

/** Hosts with servers of two versions, two of each. */
class ResumingHosts
{
public:
    ResumingHosts()
    {
        this->hosts.addRoute(makeStreamRoute(), makeEngineProperties());
        for (const std::string name : {"a", "b", "c", "d"}) {
            const std::string version = name < "c" ? "v1" : "v2";
            this->servers.push_back(std::make_unique<VersionedServer>(this->hosts, name, version,
                                                                      this->cutsStreams));
        }
    }

    /** Begins a stream at a host that breaks off. @return what its caller received. */
    std::string begin(std::size_t host)
    {
        this->cutsStreams = true;
        this->call(host, {});
        this->cutsStreams = false;
        return this->hosts.hosts[host]->receivedBody;
    }

    /** Sends a call to a host and waits for its end. */
    HttpResponse call(std::size_t host, const HttpHeaders &headers)
    {
        std::optional<HttpResponse> answer;
        ++this->callCount;
        this->hosts.send(
                host, "/stream/",
                [&answer](HttpResponse response) { answer = std::move(response); }, headers);
        while (!answer)
            this->hosts.runFor(Milliseconds(10));
        return *answer;
    }

    /** Takes up, at a host, the stream of the call with a number. */
    HttpResponse resume(std::size_t host, int number)
    {
        const HttpHeaders headers{{"After", std::to_string(eventsBeforeLoss)},
                                  {"Resumes", "call-" + std::to_string(number)}};
        return this->call(host, headers);
    }

    GatewayHosts hosts{5};
    bool cutsStreams = false;
    int callCount = 0;
    std::vector<std::unique_ptr<VersionedServer>> servers;
};

std::string versionOf(const std::string &body)
{
    return body.find("v1") != std::string::npos ? "v1" : "v2";
}

} // namespace

// Guards against streams that are joined from two versions, or refused, when their callers take
// them up at another host than the one that they lost.
TEST_CASE("A stream of a lost host is taken up at another host on its version", "[runs]")
{
    ResumingHosts callers;
    std::set<std::string> versions;
    for (int time = 0; time < 6; ++time) {
        const std::string received = callers.begin(0);
        const std::string version = versionOf(received);
        REQUIRE(received == events(1, eventsBeforeLoss, version));
        versions.insert(version);
        const int number = callers.callCount;
        callers.hosts.runFor(Milliseconds(60));
        callers.hosts.loseHost(0);
        for (std::size_t host = 1; host < callers.hosts.size(); ++host) {
            const HttpResponse answer = callers.resume(host, number);
            REQUIRE(answer.status == 200);
            REQUIRE(answer.body == events(eventsBeforeLoss + 1, lastEvent, version));
        }
        callers.hosts.returnHost(0);
    }
    CHECK(versions.size() == 2);
}

// Guards against a stream of unknown origin that continues on any version after all hosts are lost.
TEST_CASE("A stream that no host knows is refused while two versions serve", "[runs]")
{
    ResumingHosts callers;
    callers.begin(0);
    const int number = callers.callCount;
    for (std::size_t host = 0; host < callers.hosts.size(); ++host)
        callers.hosts.loseHost(host);
    for (std::size_t host = 1; host < callers.hosts.size(); ++host) {
        const HttpResponse answer = callers.resume(host, number + 100);
        REQUIRE(answer.status == 503);
        REQUIRE(answer.body.find("not_run") != std::string::npos);
    }
}
