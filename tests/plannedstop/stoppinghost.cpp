#include "stoppinghost.h"

#include "freeports.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds startTimeout{20000};
constexpr Milliseconds stepTime{2};
/** Callers, readiness, addresses, peers and metrics. */
constexpr std::uint16_t portCount = 6;
constexpr int plainServerCount = 2;
constexpr int plainSlots = 100;

Milliseconds now()
{
    return Clock::steady().now();
}

net::awaitable<void> pause(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace

std::string SentCall::requestId() const
{
    return findHeader(this->request.headers, "Request-Id").value_or("");
}

bool SentCall::hasEnded() const
{
    return this->result.end != CallEnd::Pending;
}

bool SentCall::isAnswered() const
{
    return this->result.isAnswer(StandInServers::answerTo(this->request));
}

std::string SentCall::describe() const
{
    return this->request.target + " sent " + std::to_string(this->sentAt.count())
            + " ms after the SIGTERM, ended after " + std::to_string(this->elapsed.count())
            + " ms: " + this->result.describe();
}

namespace {

HostConfiguration withSlots(int engineSlots)
{
    HostConfiguration configuration;
    configuration.engineSlots = engineSlots;
    return configuration;
}

} // namespace

StoppingHost::StoppingHost(int engineSlots)
    : StoppingHost(withSlots(engineSlots))
{
}

StoppingHost::StoppingHost(HostConfiguration configuration)
    : store(this->context)
    , backendServers(this->context)
    , configuration(std::move(configuration))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "plannedstop-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    this->directory = pattern;
    this->writeConfiguration(this->configuration);
    this->registerServers("desk", plainServerCount, plainSlots);
    this->registerServers("engine", engineCount, this->configuration.engineSlots);
    // Without the history, the host does not know for minutes whether the version is the only one.
    this->store.put(std::string(objectkind::serviceVersions), "engine", R"({"versions":["v1"]})");
    bool isRunning = false;
    // Another process may take a free port before the daemon does.
    constexpr int maximumStarts = 5;
    for (int tries = 0; !isRunning && tries < maximumStarts; ++tries)
        isRunning = this->startDaemon();
    REQUIRE(isRunning);
    for (int index = 0; index < engineCount; ++index) {
        const SentCall &call = this->send(this->makeCall("/order/", Milliseconds(0), {}));
        const SentCall &stream = this->send(this->makeStream("/story/", 1, Milliseconds(1)));
        REQUIRE(this->runUntil([&] { return call.hasEnded() && stream.hasEnded(); }, startTimeout));
        INFO(call.describe() << "; " << stream.describe());
        REQUIRE((call.isAnswered() && stream.isAnswered()));
    }
    this->sentCalls.clear();
}

StoppingHost::~StoppingHost()
{
    this->daemon.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

HttpRequest StoppingHost::makeCall(const std::string &pathPrefix, Milliseconds work,
                                   std::optional<Milliseconds> deadline)
{
    const std::string requestId = "call-" + std::to_string(++this->requestCount);
    HttpRequest request;
    request.method = "POST";
    request.target = pathPrefix + requestId;
    request.body = "body of " + requestId;
    request.headers = {
            {"Host", "h"}, {"Request-Id", requestId}, {"Work-Ms", std::to_string(work.count())}};
    if (deadline)
        request.headers.emplace_back("Deadline-Ms", std::to_string(deadline->count()));
    return request;
}

HttpRequest StoppingHost::makeStream(const std::string &pathPrefix, int events,
                                     Milliseconds interval)
{
    HttpRequest request = this->makeCall(pathPrefix, Milliseconds(0), {});
    request.headers.emplace_back("Events", std::to_string(events));
    request.headers.emplace_back("Event-Ms", std::to_string(interval.count()));
    request.headers.emplace_back("Token-Counts", "100," + std::to_string(events));
    return request;
}

SentCall &StoppingHost::send(HttpRequest request,
                             const std::shared_ptr<CallerConnection> &connection)
{
    SentCall &call = this->addCall(std::move(request));
    const auto used = connection ? connection : this->makeConnection();
    net::co_spawn(
            this->context,
            [this, &call, used]() -> net::awaitable<void> {
                const Milliseconds startedAt = now();
                CallResult result = co_await used->call(call.request);
                this->finish(call, std::move(result), startedAt);
            },
            net::detached);
    return call;
}

std::pair<SentCall *, SentCall *> StoppingHost::sendPipelined(
        HttpRequest first, HttpRequest second, Milliseconds delay,
        const std::shared_ptr<CallerConnection> &connection)
{
    SentCall &firstCall = this->addCall(std::move(first));
    SentCall &secondCall = this->addCall(std::move(second));
    net::co_spawn(
            this->context,
            [this, &firstCall, &secondCall, delay, connection]() -> net::awaitable<void> {
                const Milliseconds startedAt = now();
                std::string bytes = CallerConnection::toText(firstCall.request);
                if (delay > Milliseconds(0)) {
                    co_await connection->send(std::exchange(bytes, ""));
                    co_await pause(delay);
                }
                bytes += CallerConnection::toText(secondCall.request);
                co_await connection->send(std::move(bytes));
                CallResult result = co_await connection->receive();
                this->finish(firstCall, result, startedAt);
                // After an incomplete response the connection carries no other one.
                if (result.end == CallEnd::Response)
                    result = co_await connection->receive();
                this->finish(secondCall, std::move(result), startedAt);
            },
            net::detached);
    return {&firstCall, &secondCall};
}

SentCall &StoppingHost::sendSplit(HttpRequest request, Milliseconds delay)
{
    SentCall &call = this->addCall(std::move(request));
    const auto connection = this->makeConnection();
    net::co_spawn(
            this->context,
            [this, &call, delay, connection]() -> net::awaitable<void> {
                const std::string bytes = CallerConnection::toText(call.request);
                const std::size_t firstBytes = bytes.size() - call.request.body.size() / 2;
                Milliseconds startedAt = now();
                CallResult result;
                const bool isOpen = co_await connection->connect();
                result.end = CallEnd::NotConnected;
                if (isOpen)
                    result.end = co_await connection->send(bytes.substr(0, firstBytes));
                if (result.end == CallEnd::Pending) {
                    co_await pause(delay);
                    startedAt = now();
                    result.end = co_await connection->send(bytes.substr(firstBytes));
                }
                // An early refusal may have arrived although the rest could not be sent.
                if (isOpen)
                    result = co_await connection->receive();
                this->finish(call, std::move(result), startedAt);
            },
            net::detached);
    return call;
}

std::vector<std::shared_ptr<CallerConnection>> StoppingHost::keepConnections(std::size_t count)
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    std::vector<SentCall *> used;
    for (std::size_t index = 0; index < count; ++index) {
        connections.push_back(this->makeConnection());
        used.push_back(
                &this->send(this->makeCall("/lookup/", Milliseconds(0), {}), connections.back()));
    }
    const auto areAllAnswered = [&used] {
        return std::all_of(used.begin(), used.end(),
                           [](const SentCall *call) { return call->isAnswered(); });
    };
    REQUIRE(this->runUntil(areAllAnswered, startTimeout));
    return connections;
}

void StoppingHost::stop()
{
    this->stoppedAt = now();
    this->daemon->signal(SIGTERM);
    REQUIRE(this->runUntil([this] { return !this->isReady(); }, Milliseconds(1000)));
}

void StoppingHost::signal(int number)
{
    this->daemon->signal(number);
}

void StoppingHost::writeSettings(Milliseconds newGrace)
{
    HostSettings settings;
    settings.grace = newGrace;
    this->writeSettings(settings);
}

void StoppingHost::writeSettings(const HostSettings &settings)
{
    std::ofstream file(this->directory / "settings.yaml");
    file << settings.toText(this->firstPort, this->store.endpoint());
}

void StoppingHost::writeConfiguration(int version)
{
    HostConfiguration next = this->configuration;
    next.version = version;
    this->writeConfiguration(next);
}

void StoppingHost::writeConfiguration(const HostConfiguration &next)
{
    this->store.put(std::string(objectkind::configuration), std::string(configurationObjectName),
                    next.toText());
}

void StoppingHost::setStoreDown(bool isDown)
{
    this->store.isDown = isDown;
}

void StoppingHost::rewriteServers()
{
    for (const auto &[name, entry] : this->serverEntries)
        this->store.put(std::string(objectkind::servers), name, entry);
}

void StoppingHost::moveEngine(std::size_t engine, const std::string &failureDomain)
{
    const std::string name = "engine-" + std::to_string(engine + 1);
    std::string &text = this->serverEntries.at(name);
    const std::string before = R"("zone":"a")";
    text.replace(text.find(before), before.size(), R"("zone":")" + failureDomain + R"(")");
    this->store.put(std::string(objectkind::servers), name, text);
}

void StoppingHost::setEvacuated(const std::string &failureDomain, bool isEvacuated)
{
    const std::string kind(objectkind::evacuations);
    if (isEvacuated)
        this->store.put(kind, failureDomain, "{}");
    else
        this->store.remove(kind, failureDomain);
}

void StoppingHost::copyStore()
{
    this->store.copy();
}

void StoppingHost::restoreStore()
{
    this->store.restore();
}

void StoppingHost::markLeaving(std::size_t engine)
{
    constexpr std::string_view readyState = "\"ready\"";
    const std::string name = "engine-" + std::to_string(engine + 1);
    std::string &entry = this->serverEntries.at(name);
    entry.replace(entry.find(readyState), readyState.size(), "\"draining\"");
    this->store.put(std::string(objectkind::servers), name, entry);
}

std::vector<std::string> StoppingHost::logLines(std::string_view eventName) const
{
    std::vector<std::string> found;
    std::ifstream log(this->directory / "log");
    const std::string name = "\"name\":\"" + std::string(eventName) + "\"";
    for (std::string line; std::getline(log, line);) {
        if (line.find(name) != std::string::npos)
            found.push_back(line);
    }
    return found;
}

bool StoppingHost::runUntil(const std::function<bool()> &condition, Milliseconds timeout)
{
    const Milliseconds end = now() + timeout;
    while (!condition()) {
        if (now() >= end)
            return false;
        this->context.run_for(stepTime);
        if (this->daemon && !this->endedAt && this->daemon->hasEnded())
            this->endedAt = now();
    }
    return true;
}

void StoppingHost::runUntilMoment(Milliseconds moment)
{
    this->runUntil([&] { return this->sinceStop() >= moment; }, startTimeout);
}

void StoppingHost::runUntilExit()
{
    const auto isOver = [this] {
        return this->hasExited()
                && std::all_of(this->sentCalls.begin(), this->sentCalls.end(),
                               [](const auto &call) { return call->hasEnded(); });
    };
    const bool isOverInTime = this->runUntil(isOver, 2 * grace);
    for (const auto &call : this->sentCalls) {
        INFO(call->describe());
        CHECK(call->hasEnded());
    }
    REQUIRE(isOverInTime);
}

Milliseconds StoppingHost::sinceStop() const
{
    return now() - this->stoppedAt;
}

Milliseconds StoppingHost::exitedAt() const
{
    return this->endedAt.value_or(now()) - this->stoppedAt;
}

std::optional<int> StoppingHost::exitStatus()
{
    return this->daemon->exitStatus();
}

bool StoppingHost::hasExited()
{
    return this->daemon->hasEnded();
}

StandInServers &StoppingHost::servers()
{
    return this->backendServers;
}

const std::vector<std::unique_ptr<SentCall>> &StoppingHost::calls() const
{
    return this->sentCalls;
}

/** Starts the daemon on free ports. @return whether it became ready. */
bool StoppingHost::startDaemon()
{
    constexpr int maximumProbes = 100;
    this->firstPort = 0;
    for (int tries = 0; this->firstPort == 0 && tries < maximumProbes; ++tries)
        this->firstPort = findFreePorts(this->context, portCount);
    this->writeSettings(grace);
    this->endedAt.reset();
    this->daemon = std::make_unique<DaemonProcess>((this->directory / "settings.yaml").string(),
                                                   (this->directory / "log").string());
    const bool isDecided =
            this->runUntil([this] { return this->hasExited() || this->isReady(); }, startTimeout);
    return isDecided && !this->hasExited();
}

/** Asks the host whether it takes callers. */
bool StoppingHost::isReady()
{
    constexpr int successStatus = 200;
    const auto port = static_cast<std::uint16_t>(this->firstPort + 1);
    const auto connection =
            std::make_shared<CallerConnection>(this->context, Endpoint{"127.0.0.1", port});
    HttpRequest request;
    request.target = "/ready";
    request.headers = {{"Host", "h"}};
    CallResult result;
    net::co_spawn(
            this->context,
            [&result, connection, request]() -> net::awaitable<void> {
                result = co_await connection->call(request);
            },
            net::detached);
    while (result.end == CallEnd::Pending)
        this->context.run_for(stepTime);
    return result.response.status == successStatus && result.end == CallEnd::Response;
}

std::shared_ptr<CallerConnection> StoppingHost::makeConnection()
{
    return std::make_shared<CallerConnection>(this->context,
                                              Endpoint{"127.0.0.1", this->firstPort});
}

void StoppingHost::registerServers(const std::string &service, int count, int slots)
{
    for (int index = 1; index <= count; ++index) {
        const Endpoint endpoint = this->backendServers.add();
        this->serverEntries[service + "-" + std::to_string(index)] = R"({"service":")" + service
                + R"(","addr":")" + endpoint.toString() + R"(","zone":"a","version":"v1","slots":)"
                + std::to_string(slots) + R"(,"state":"ready","born":1})";
    }
    this->rewriteServers();
}

SentCall &StoppingHost::addCall(HttpRequest request)
{
    this->sentCalls.push_back(std::make_unique<SentCall>());
    SentCall &call = *this->sentCalls.back();
    call.request = std::move(request);
    return call;
}

void StoppingHost::finish(SentCall &call, CallResult result, Milliseconds startedAt)
{
    call.sentAt = startedAt - this->stoppedAt;
    call.elapsed = now() - startedAt;
    call.result = std::move(result);
}

} // namespace sassafrasyard
