#include "plannedstop/stoppinghost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds targetPause{120};
/** Longer than eight target pauses and than the shortest silence after which an engine is probed.
 */
constexpr Milliseconds silenceTime{1250};
constexpr Milliseconds eventInterval{25};
/** How long the streams run before a change; backups exist by then. */
constexpr Milliseconds leadTime{600};
/** How long a change may take to come into force. */
constexpr Milliseconds changeTimeout{3000};
constexpr Milliseconds endTimeout{30000};
constexpr std::size_t streamCount = 12;
/** The position of the first engine among the stand-ins, after the plain servers. */
constexpr std::size_t firstEngine = 2;
constexpr const char *streamKey = "k1";

HostConfiguration firstConfiguration()
{
    HostConfiguration configuration;
    configuration.targetPause = targetPause;
    configuration.copiesRuns = true;
    configuration.key = streamKey;
    return configuration;
}

/** A host with streams in progress on both engines, which may not be resumed. */
class StreamingHost
{
public:
    /**
     * Starts the streams and waits until they have run for the lead time.
     *
     * @param isChunked whether the bodies of the requests are sent in chunks.
     */
    explicit StreamingHost(int events, bool isChunked = false)
        : host(firstConfiguration())
    {
        for (std::size_t index = 0; index < streamCount; ++index) {
            const bool isSecret = index % 3 == 2;
            HttpRequest request =
                    this->host.makeStream(isSecret ? "/secret/" : "/story/", events, eventInterval);
            if (isSecret)
                request.headers.emplace_back("Authorization", std::string("Bearer ") + streamKey);
            if (isChunked)
                request.headers.emplace_back("Transfer-Encoding", "chunked");
            this->streams.push_back(&this->host.send(std::move(request)));
        }
        const auto areRunning = [this] {
            return std::all_of(
                    this->streams.begin(), this->streams.end(), [this](const SentCall *stream) {
                        return this->host.servers().receivedCount(stream->requestId()) == 1;
                    });
        };
        REQUIRE(this->host.runUntil(areRunning, changeTimeout));
        this->run(leadTime);
    }

    void run(Milliseconds time)
    {
        this->host.runUntil([] { return false; }, time);
    }

    void silence(std::size_t engine)
    {
        this->host.servers().silence(firstEngine + engine, silenceTime);
    }

    void refuseConnections(std::size_t engine)
    {
        this->host.servers().refuseConnections(firstEngine + engine);
    }

    void markLeaving(std::size_t engine)
    {
        this->host.markLeaving(engine);
        constexpr Milliseconds applyTime{300};
        this->run(applyTime);
    }

    /** Writes a new version with a change and waits until it is in force. */
    void changeConfiguration(const std::function<void(HostConfiguration &)> &change)
    {
        this->startConfigurationChange(change);
        const std::string version = "\"version\":\"" + std::to_string(this->version) + "\"";
        this->waitForLine("routes_applied", version);
    }

    /** Writes a new version with a change. */
    void startConfigurationChange(const std::function<void(HostConfiguration &)> &change)
    {
        HostConfiguration next = firstConfiguration();
        next.version = ++this->version;
        change(next);
        this->host.writeConfiguration(next);
    }

    /** Writes another settings file, sends SIGHUP and waits until the settings are in force. */
    void changeSettings(const HostSettings &settings)
    {
        const std::size_t count = this->host.logLines("settings_reloaded").size();
        this->host.writeSettings(settings);
        this->host.signal(SIGHUP);
        REQUIRE(this->host.runUntil(
                [&] { return this->host.logLines("settings_reloaded").size() > count; },
                changeTimeout));
    }

    void rewriteServers()
    {
        this->host.rewriteServers();
        constexpr Milliseconds applyTime{300};
        this->run(applyTime);
    }

    /** Checks that no stream has ended, neither complete nor cut. */
    void checkInProgress()
    {
        const auto ended = std::count_if(this->streams.begin(), this->streams.end(),
                                         [](const SentCall *stream) { return stream->hasEnded(); });
        CHECK(ended == 0);
    }

    /** Checks that each stream ends with all its bytes. */
    void checkComplete()
    {
        const bool haveEnded = this->host.runUntil(
                [this] {
                    return std::all_of(this->streams.begin(), this->streams.end(),
                                       [](const SentCall *stream) { return stream->hasEnded(); });
                },
                endTimeout);
        REQUIRE(haveEnded);
        const auto cutCount =
                std::count_if(this->streams.begin(), this->streams.end(),
                              [](const SentCall *stream) { return !stream->isAnswered(); });
        std::string lines;
        for (const std::string &line : this->host.logLines("stream_cut"))
            lines += line + "\n";
        INFO(this->streams.size() << " streams, " << this->host.servers().refusedContinuations()
                                  << " refused continuations\n"
                                  << lines);
        CHECK(cutCount == 0);
        CHECK(this->host.servers().refusedContinuations() == 0);
    }

private:
    void waitForLine(std::string_view eventName, const std::string &text)
    {
        REQUIRE(this->host.runUntil(
                [&] {
                    const auto lines = this->host.logLines(eventName);
                    return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
                        return line.find(text) != std::string::npos;
                    });
                },
                changeTimeout));
    }

    StoppingHost host;
    std::vector<SentCall *> streams;
    int version = 1;
};

using ConfigurationChange = std::pair<const char *, std::function<void(HostConfiguration &)>>;
using SettingsChange = std::pair<const char *, std::function<void(HostSettings &)>>;

/** Returns the kinds of change of a configuration that could touch a stream in progress. */
std::vector<ConfigurationChange> configurationChanges()
{
    return {
            {"nothing but the version",
             [](HostConfiguration &) {
             }},
            {"a shorter time-out",
             [](HostConfiguration &next) {
                 next.storyTimeout = Milliseconds(500);
             }},
            {"another service",
             [](HostConfiguration &next) {
                 next.storyServices = R"("service":"desk")";
             }},
            {"weights",
             [](HostConfiguration &next) {
                 next.storyServices = R"("traffic-split":[{"service":"engine","weight":1},)"
                                      R"({"service":"desk","weight":9}])";
             }},
            {"the route removed",
             [](HostConfiguration &next) {
                 next.hasStory = false;
             }},
            {"a shorter target pause",
             [](HostConfiguration &next) {
                 next.targetPause = Milliseconds(5);
             }},
            {"another key",
             [](HostConfiguration &next) {
                 next.key = "k2";
             }},
            {"no accounts",
             [](HostConfiguration &next) {
                 next.key.clear();
             }},
            {"many routes more",
             [](HostConfiguration &next) {
                 next.furtherRoutes = 3000;
             }},
            {"short limits of connections",
             [](HostConfiguration &next) {
                 next.idleTimeout = Milliseconds(50);
                 next.readTimeout = Milliseconds(50);
             }},
            {"fewer slots",
             [](HostConfiguration &next) {
                 next.engineSlots = 1;
             }},
            {"engines without copies",
             [](HostConfiguration &next) {
                 next.copiesRuns = false;
             }},
    };
}

/** Returns the kinds of change of the settings that are read again. */
std::vector<SettingsChange> settingsChanges()
{
    return {
            {"a shorter grace",
             [](HostSettings &next) {
                 next.grace = Milliseconds(1000);
             }},
            {"a shorter trust in keys",
             [](HostSettings &next) {
                 next.maximumKeyAge = Milliseconds(1000);
             }},
            {"no retries",
             [](HostSettings &next) {
                 next.retryRatio = 0;
                 next.retrySlack = 0;
             }},
    };
}

HostSettings withChange(const SettingsChange &change)
{
    HostSettings settings;
    change.second(settings);
    return settings;
}

constexpr int shortEvents = 120;

} // namespace

// Guards against streams that are given up because their engine is silent for a time, also without
// a change.
TEST_CASE("An engine's silence cuts no stream", "[silence]")
{
    StreamingHost host(shortEvents);
    host.silence(0);
    host.checkComplete();
}

// Guards against case 1 of incidents/dsm-yard-cut-streams.md.
TEST_CASE("A new version beside a silent engine cuts no stream", "[silence][configuration]")
{
    const bool isBefore = GENERATE(true, false);
    StreamingHost host(shortEvents);
    const auto change = [&] {
        host.changeConfiguration([](HostConfiguration &next) { next.furtherRoutes = 100; });
    };
    if (isBefore)
        change();
    host.silence(0);
    if (!isBefore)
        change();
    host.checkComplete();
}

// Guards against case 2 of incidents/dsm-yard-cut-streams.md.
TEST_CASE("A SIGHUP beside a silent engine cuts no stream", "[silence][settings]")
{
    const bool isBefore = GENERATE(true, false);
    StreamingHost host(shortEvents);
    if (isBefore)
        host.changeSettings(withChange(settingsChanges().front()));
    host.silence(0);
    if (!isBefore)
        host.changeSettings(withChange(settingsChanges().front()));
    host.checkComplete();
}

// Guards against streams that are cut by a change which comes while another one takes effect.
TEST_CASE("Changes in series beside silent engines cut no stream", "[silence][series]")
{
    constexpr int rounds = 3;
    constexpr int events = 300;
    StreamingHost host(events);
    const auto settings = settingsChanges();
    for (int round = 0; round < rounds; ++round) {
        host.silence(static_cast<std::size_t>(round % StoppingHost::engineCount));
        host.startConfigurationChange([](HostConfiguration &next) { next.hasStory = false; });
        host.changeSettings(withChange(settings[static_cast<std::size_t>(round)]));
        host.changeConfiguration([](HostConfiguration &next) { next.furtherRoutes = 500; });
        host.startConfigurationChange([](HostConfiguration &) {});
        host.rewriteServers();
        host.run(silenceTime);
    }
    host.checkComplete();
}

// Guards against streams that need something that a new version no longer has.
TEST_CASE("No kind of change of the configuration cuts a stream", "[changes][configuration]")
{
    constexpr int events = 280;
    constexpr Milliseconds effectTime{200};
    StreamingHost host(events);
    for (const auto &[name, change] : configurationChanges()) {
        INFO(name);
        host.changeConfiguration(change);
        host.run(effectTime);
        host.checkInProgress();
    }
    host.checkComplete();
}

// Guards against streams that are cut when the settings or the entries of servers are read again.
TEST_CASE("No change of the settings or of the servers' entries cuts a stream", "[changes]")
{
    constexpr int events = 280;
    constexpr Milliseconds effectTime{1200};
    StreamingHost host(events);
    for (const auto &change : settingsChanges()) {
        INFO(change.first);
        host.changeSettings(withChange(change));
        host.run(effectTime);
        host.checkInProgress();
    }
    host.rewriteServers();
    host.checkInProgress();
    host.checkComplete();
}

// Guards against streams that are cut because a refused new connection to their silent engine is
// taken for the end of runs whose own connections are open; see incidents/dsm-yard-sighup-cut.md.
TEST_CASE("A SIGHUP beside a silent engine that refuses connections cuts no stream", "[refused]")
{
    const bool isLeaving = GENERATE(false, true);
    const bool hasReload = GENERATE(true, false);
    constexpr bool isChunked = true;
    StreamingHost host(shortEvents, isChunked);
    host.refuseConnections(0);
    if (isLeaving)
        host.markLeaving(0);
    host.silence(0);
    if (hasReload)
        host.changeSettings(withChange(settingsChanges().front()));
    host.checkComplete();
}

namespace {

/** A host with a key, one place per engine, and streams that keep both places for a time. */
class FullHost
{
public:
    FullHost()
        : host(makeConfiguration())
    {
        constexpr int events = 60;
        for (int index = 0; index < StoppingHost::engineCount; ++index)
            this->running.push_back(
                    &this->host.send(this->host.makeStream("/story/", events, eventInterval)));
        const auto areRunning = [this] {
            return std::all_of(
                    this->running.begin(), this->running.end(), [this](const SentCall *stream) {
                        return this->host.servers().receivedCount(stream->requestId()) == 1;
                    });
        };
        REQUIRE(this->host.runUntil(areRunning, changeTimeout));
    }

    static HostConfiguration makeConfiguration()
    {
        HostConfiguration configuration = firstConfiguration();
        configuration.engineSlots = 1;
        // A backup would take the place on the other engine.
        configuration.copiesRuns = false;
        return configuration;
    }

    /** Returns a stream for each kind of route. */
    std::vector<HttpRequest> makeStreams()
    {
        std::vector<HttpRequest> requests;
        for (const char *path : {"/report/", "/story/", "/secret/"}) {
            constexpr int events = 4;
            requests.push_back(this->host.makeStream(path, events, eventInterval));
            requests.back().headers.emplace_back("Deadline-Ms", "5000");
            if (std::string_view(path) == "/secret/")
                requests.back().headers.emplace_back("Authorization",
                                                     std::string("Bearer ") + streamKey);
        }
        return requests;
    }

    /** Puts a new version into force. */
    void change(const std::function<void(HostConfiguration &)> &change)
    {
        HostConfiguration next = makeConfiguration();
        next.version = 2;
        change(next);
        this->host.writeConfiguration(next);
        REQUIRE(this->host.runUntil(
                [this] { return this->host.logLines("routes_applied").size() == 2; },
                changeTimeout));
    }

    /** Checks that each request ends with its whole answer or with a refusal as not run. */
    void checkSettled(const std::vector<SentCall *> &calls)
    {
        const auto haveEnded = [&calls] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const SentCall *call) { return call->hasEnded(); });
        };
        CHECK(this->host.runUntil(haveEnded, endTimeout));
        for (const SentCall *call : calls) {
            INFO(call->describe());
            const bool isRefused =
                    call->result.end == CallEnd::Response && call->result.saysNotRun();
            CHECK((call->isAnswered() || isRefused));
            // An answer and a refusal as not run exclude each other.
            CHECK(this->host.servers().receivedCount(call->requestId())
                  == (call->isAnswered() ? 1 : 0));
        }
    }

    StoppingHost host;
    std::vector<SentCall *> running;
};

/** Returns the changes that take something away that a call needs which is not yet sent. */
std::vector<ConfigurationChange> removals()
{
    return {
            {"the route removed",
             [](HostConfiguration &next) {
                 next.hasStory = false;
             }},
            {"the service removed",
             [](HostConfiguration &next) {
                 next.hasEngines = false;
             }},
            {"another service",
             [](HostConfiguration &next) {
                 next.storyServices = R"("service":"desk")";
             }},
            {"another key",
             [](HostConfiguration &next) {
                 next.key = "k2";
             }},
            {"a shorter time-out",
             [](HostConfiguration &next) {
                 next.storyTimeout = Milliseconds(50);
             }},
            {"lower limits",
             [](HostConfiguration &next) {
                 next.maximumBodyBytes = 1024;
                 next.idleTimeout = Milliseconds(50);
                 next.readTimeout = Milliseconds(50);
             }},
    };
}

} // namespace

// Guards against a call that waits for an engine and gets neither an answer nor a refusal because
// a new version no longer has its route, service or key.
TEST_CASE("A change beside calls that wait leaves none without a response", "[waiting]")
{
    const auto [name, change] = GENERATE(from_range(removals()));
    INFO(name);
    FullHost full;
    std::vector<SentCall *> waiting;
    for (HttpRequest &request : full.makeStreams())
        waiting.push_back(&full.host.send(std::move(request)));
    constexpr Milliseconds arrivalTime{100};
    full.host.runUntil([] { return false; }, arrivalTime);
    REQUIRE(std::none_of(waiting.begin(), waiting.end(),
                         [](const SentCall *call) { return call->hasEnded(); }));
    full.change(change);
    full.checkSettled(waiting);
    full.checkSettled(full.running);
}

// Guards against a request that gets no response because a new version takes its route, service or
// key away, or lowers a limit, while it arrives.
TEST_CASE("A change beside requests that arrive leaves none without a response", "[reading]")
{
    constexpr std::size_t bodySize = 64U << 10U;
    constexpr Milliseconds restDelay{500};
    const bool isChunked = GENERATE(false, true);
    const auto [name, change] = GENERATE(from_range(removals()));
    INFO(name);
    FullHost full;
    std::vector<HttpRequest> requests = full.makeStreams();
    requests.push_back(full.host.makeCall("/lookup/", Milliseconds(10), {}));
    requests.push_back(full.host.makeCall("/order/", Milliseconds(10), {}));
    std::vector<SentCall *> arriving;
    for (HttpRequest &request : requests) {
        request.body.resize(bodySize, 'x');
        if (isChunked)
            request.headers.emplace_back("Transfer-Encoding", "chunked");
        arriving.push_back(&full.host.sendSplit(std::move(request), restDelay));
    }
    constexpr Milliseconds arrivalTime{100};
    full.host.runUntil([] { return false; }, arrivalTime);
    full.change(change);
    REQUIRE(std::none_of(arriving.begin(), arriving.end(),
                         [](const SentCall *call) { return call->hasEnded(); }));
    full.checkSettled(arriving);
    full.checkSettled(full.running);
}
