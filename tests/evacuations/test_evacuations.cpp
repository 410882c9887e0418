#include "plannedstop/stoppinghost.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds evacuationTime{5000};
constexpr Milliseconds changeTimeout{3000};
constexpr Milliseconds endTimeout{10000};
/** A refusal that waits for nothing takes some milliseconds; the dispatcher holds calls longer. */
constexpr Milliseconds immediateTime{250};
constexpr std::size_t firstEngine = 2;

/** A host whose second engine is in a failure domain of its own. */
class EvacuatingHost
{
public:
    EvacuatingHost()
    {
        this->host.moveEngine(1, "b");
        HostSettings settings;
        settings.evacuationTime = evacuationTime;
        this->host.writeSettings(settings);
        this->host.signal(SIGHUP);
        REQUIRE(this->host.runUntil(
                [this] { return !this->host.logLines("settings_reloaded").empty(); },
                changeTimeout));
        this->run(Milliseconds(300));
    }

    void run(Milliseconds time)
    {
        this->host.runUntil([] { return false; }, time);
    }

    /** Changes an evacuation and waits until the host knows it. */
    void setEvacuated(const std::string &domain, bool isEvacuated)
    {
        const std::string event = isEvacuated ? "domain_evacuated" : "domain_returned";
        const std::size_t before = this->host.logLines(event).size();
        this->host.setEvacuated(domain, isEvacuated);
        REQUIRE(this->host.runUntil([&] { return this->host.logLines(event).size() > before; },
                                    changeTimeout));
    }

    /** Sends a stream and waits for its end. */
    const SentCall &sendStream(int events = 1, Milliseconds interval = Milliseconds(1))
    {
        SentCall &stream = this->host.send(this->host.makeStream("/story/", events, interval));
        REQUIRE(this->host.runUntil([&] { return stream.hasEnded(); }, endTimeout));
        return stream;
    }

    /** Sends a plain call and waits for its end. */
    const SentCall &sendCall()
    {
        SentCall &call = this->host.send(this->host.makeCall("/order/", Milliseconds(0), {}));
        REQUIRE(this->host.runUntil([&] { return call.hasEnded(); }, endTimeout));
        return call;
    }

    StoppingHost host;
};

void checkRefusedAtOnce(const SentCall &call)
{
    INFO(call.describe());
    constexpr int unavailable = 503;
    CHECK(call.result.response.status == unavailable);
    CHECK(findHeader(call.result.response.headers, "Retry-After").has_value());
    CHECK(call.elapsed < immediateTime);
}

} // namespace

// Guards against requests to servers of an evacuated failure domain, and against a stream there
// that is cut although it can finish.
TEST_CASE("An evacuated domain gets nothing new while its streams finish", "[evacuations]")
{
    EvacuatingHost evacuating;
    StoppingHost &host = evacuating.host;
    constexpr int events = 60;
    constexpr std::size_t streamCount = 6;
    std::vector<SentCall *> streams;
    for (std::size_t index = 0; index < streamCount; ++index)
        streams.push_back(&host.send(host.makeStream("/story/", events, Milliseconds(20))));
    REQUIRE(host.runUntil(
            [&] { return host.servers().receivedCount(streams.back()->requestId()) == 1; },
            changeTimeout));
    evacuating.setEvacuated("a", true);
    // The engine of the other domain is gone as well, so nothing could be served there unnoticed.
    host.servers().refuseConnections(firstEngine + 1);
    const SentCall &refused = evacuating.sendStream();
    CHECK(host.servers().receivedCount(refused.requestId()) == 0);
    for (SentCall *stream : streams) {
        REQUIRE(host.runUntil([&] { return stream->hasEnded(); }, endTimeout));
        INFO(stream->describe());
        CHECK(stream->isAnswered());
    }
}

// Guards against calls that are held for a service whose servers are all in evacuated domains.
TEST_CASE("Calls of a service that is evacuated as a whole are refused at once", "[evacuations]")
{
    EvacuatingHost evacuating;
    evacuating.setEvacuated("a", true);
    checkRefusedAtOnce(evacuating.sendCall());
    CHECK(evacuating.sendStream().isAnswered());
    evacuating.setEvacuated("b", true);
    checkRefusedAtOnce(evacuating.sendStream());
    evacuating.setEvacuated("a", false);
    CHECK(evacuating.sendCall().isAnswered());
    CHECK(evacuating.sendStream().isAnswered());
}

// Guards against an evacuation that ends because the store can't be read for a time.
TEST_CASE("An evacuation outlasts an outage of the store", "[evacuations]")
{
    EvacuatingHost evacuating;
    evacuating.setEvacuated("a", true);
    evacuating.host.setStoreDown(true);
    evacuating.run(Milliseconds(1500));
    checkRefusedAtOnce(evacuating.sendCall());
    evacuating.host.setStoreDown(false);
    evacuating.run(Milliseconds(1500));
    checkRefusedAtOnce(evacuating.sendCall());
}

// Guards against an evacuation that ends because the store was restored from an older copy, before
// the operators have written it again.
TEST_CASE("An evacuation outlasts the restore of a store that lacks it", "[evacuations]")
{
    EvacuatingHost evacuating;
    evacuating.host.copyStore();
    evacuating.setEvacuated("a", true);
    evacuating.host.restoreStore();
    evacuating.run(Milliseconds(1500));
    checkRefusedAtOnce(evacuating.sendCall());
    evacuating.host.setEvacuated("a", true);
    evacuating.run(evacuationTime);
    checkRefusedAtOnce(evacuating.sendCall());
    evacuating.setEvacuated("a", false);
    CHECK(evacuating.sendCall().isAnswered());
}
