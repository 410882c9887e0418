#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>
#include <numeric>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds stepTime{2};
/** Forty hosts that watch four kinds of objects each look 8,000 times per second. */
constexpr Milliseconds watchInterval{20};
constexpr Milliseconds startTimeout{60000};
constexpr Milliseconds endTimeout{60000};
/** Shorter than the pauses after which callers abandon a stream. */
constexpr Milliseconds targetPause{120};
/** How long an engine serves after it has left, as the bound drain-ms of the settings. */
constexpr Milliseconds leavingTime{2000};
constexpr int callersPerHost = 4;
constexpr int engineSlots = 16;
constexpr int successStatus = 200;

Milliseconds now()
{
    return Clock::steady().now();
}

int draw(std::mt19937_64 &random, int minimum, int maximum)
{
    return std::uniform_int_distribution<int>(minimum, maximum)(random);
}

bool drawChance(std::mt19937_64 &random, int percent)
{
    constexpr int certain = 100;
    return draw(random, 1, certain) <= percent;
}

Milliseconds drawTime(std::mt19937_64 &random, int minimum, int maximum)
{
    return Milliseconds(draw(random, minimum, maximum));
}

std::string engineEntry(const SoakEngine &engine, const std::string &service,
                        const std::string &state)
{
    return R"({"service":")" + service + R"(","addr":")" + engine.address()
            + R"(","zone":"a","version":"v1","slots":)" + std::to_string(engineSlots)
            + R"(,"state":")" + state + R"(","born":)" + std::to_string(engine.startedAt()) + "}";
}

/** Returns the value of a text field of a log line. */
std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::string start = "\"" + name + "\":\"";
    const std::size_t position = line.find(start);
    if (position == std::string::npos)
        return "absent";
    const std::size_t begin = position + start.size();
    return line.substr(begin, line.find('"', begin) - begin);
}

/** Returns when a log line was written, in milliseconds since the Unix epoch. */
Milliseconds timeOf(const std::string &line)
{
    constexpr std::string_view start = "\"time_ms\":";
    return Milliseconds(std::stoll(line.substr(line.find(start) + start.size())));
}

std::string describeCut(const std::string &line)
{
    std::string text = "stream_cut";
    for (const char *name : {"decision", "stop_outcome", "closed_by", "late_by_ms", "chunked",
                             "framing", "stop_effect"})
        text += std::string(" ") + name + "=" + fieldOf(line, name);
    return text + " " + line;
}

/**
 * Returns whether the line stream_cut of a stream allows that it is broken off: its last run has
 * neither a length nor chunks, the answer to a request to stop it was lost, and no engine has a
 * copy. Then nothing tells whether the close of its connection was its end, the stream can't go on,
 * and it must not look complete.
 */
bool mayBreakOff(const std::string &line)
{
    return fieldOf(line, "framing") == "close" && fieldOf(line, "stop_effect") == "unknown"
            && fieldOf(line, "decision") == "no_continuation";
}

} // namespace

Fleet::Fleet(int hostCount, std::uint64_t seed, int unframedPercent)
    : store(this->context)
    , draws(seed, unframedPercent)
{
    constexpr int plainServerCount = 2;
    this->store.watchInterval = watchInterval;
    this->writeConfiguration(this->baseConfiguration());
    for (int index = 1; index <= plainServerCount; ++index) {
        const std::string name = "desk-" + std::to_string(index);
        this->engines[name] = std::make_unique<SoakEngine>(this->context, this->runs, this->draws);
        this->store.put(std::string(objectkind::servers), name,
                        engineEntry(*this->engines[name], "desk", "ready"));
    }
    for (int index = 0; index < hostCount / 2 + 3; ++index)
        this->addEngine(index % 2 == 0);
    this->startHosts(hostCount);
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        for (int index = 0; index < callersPerHost; ++index) {
            const std::string name = "h" + std::to_string(host) + "c" + std::to_string(index);
            this->callers.push_back(
                    std::make_unique<SoakCaller>(this->context, this->hosts[host]->callerEndpoint(),
                                                 name, seed * 1000 + this->callers.size()));
        }
    }
    this->addChanges(seed);
}

bool Fleet::isReady() const
{
    return this->areReady;
}

bool Fleet::run(Milliseconds time)
{
    const Milliseconds end = now() + time;
    for (const auto &caller : this->callers)
        caller->start(end);
    const auto areDone = [this] {
        return std::all_of(this->callers.begin(), this->callers.end(),
                           [](const auto &caller) { return caller->isDone(); });
    };
    while (now() < end + endTimeout && !(areDone() && this->laterActions.empty())) {
        this->context.run_for(stepTime);
        if (now() < end)
            this->makeChanges();
        this->runLater();
        this->removeLeftEngines();
    }
    return areDone();
}

/**
 * The faults are: a request that a server began but that has no whole answer, a response that
 * breaks off, a stream that ends as complete without all its events or holds events twice or out of
 * order, a request at two servers at one time, a stream_cut line, and a daemon that exits.
 * mayBreakOff() says which streams may be broken off nevertheless, and so does
 * RunRegister::lossReason(): "A replica that crashes or resets may cut off its stream", with chunks
 * or not, where no usable engine has a copy of its run.
 */
std::vector<std::string> Fleet::findFaults()
{
    std::vector<std::string> faults = this->runs.violations();
    std::set<std::string> brokenStreams;
    for (const auto &host : this->hosts) {
        if (host->hasExited())
            faults.emplace_back("a daemon has exited");
        for (const std::string &line : host->logLines("stream_cut")) {
            const auto loss = this->runs.lossReason(fieldOf(line, "request"), timeOf(line));
            const bool isLost = loss && fieldOf(line, "decision") == "no_continuation";
            if (!isLost && !mayBreakOff(line)) {
                faults.push_back(describeCut(line) + ", the run: "
                                 + this->runs.describeEnd(fieldOf(line, "request")));
                continue;
            }
            brokenStreams.insert(fieldOf(line, "request"));
            ++this->allowedCuts["broken off: "
                                + (isLost ? *loss
                                          : "lost answer, backup " + fieldOf(line, "backup"))
                                + ", framing " + fieldOf(line, "framing")];
        }
    }
    this->addCallerFaults(faults, brokenStreams);
    std::map<std::string, int> counts;
    this->countCalls(counts);
    // A fleet that answers little shows nothing.
    if (2 * counts["answered"] < std::accumulate(
                counts.begin(), counts.end(), 0,
                [](int sum, const auto &count) { return sum + count.second; }))
        faults.emplace_back("less than half of the requests were answered");
    return faults;
}

/** Adds the faults that callers saw. @param brokenStreams the requests that may be broken off. */
void Fleet::addCallerFaults(std::vector<std::string> &faults,
                            const std::set<std::string> &brokenStreams)
{
    const auto &ended = this->runs.endsBesideStops();
    for (const auto &caller : this->callers) {
        for (const auto &call : caller->calls()) {
            const bool isWhole = call->isAnswered() || !this->runs.hasBegun(call->requestId());
            const bool isCut = call->result.end == CallEnd::Cut;
            const bool isAllowed = isCut && brokenStreams.contains(call->requestId());
            const std::string eventFault = call->eventFault();
            if (!eventFault.empty())
                faults.push_back("events: " + eventFault + ": " + call->describe());
            else if (!call->isAnswered() && ended.contains(call->requestId()))
                faults.push_back("ended by itself beside a stop: " + call->describe());
            else if ((!isWhole || isCut) && !isAllowed && !this->mayBeUnanswered(*call))
                faults.push_back(call->describe());
        }
    }
}

/**
 * Returns whether a request without any part of an answer may lack it: its engine exited, and the
 * host says that the outcome is unknown.
 */
bool Fleet::mayBeUnanswered(const SoakCall &call)
{
    const auto loss = this->runs.lossReason(call.requestId(), Clock::system().now());
    if (!loss || !call.result.isOutcomeUnknown())
        return false;
    ++this->allowedCuts["unanswered: " + *loss];
    return true;
}

std::string Fleet::summary() const
{
    std::map<std::string, int> counts = this->runs.counts();
    this->countCalls(counts);
    for (const Change &change : this->changes)
        counts[change.name] = change.count;
    counts["streams that ended beside a stop"] =
            static_cast<int>(this->runs.endsBesideStops().size());
    counts.insert(this->allowedCuts.begin(), this->allowedCuts.end());
    std::string text;
    for (const auto &[name, count] : counts)
        text += name + " " + std::to_string(count) + ", ";
    return text;
}

void Fleet::countCalls(std::map<std::string, int> &counts) const
{
    for (const auto &caller : this->callers) {
        for (const auto &call : caller->calls()) {
            const CallResult &result = call->result;
            if (call->isAnswered())
                ++counts["answered"];
            else if (result.end == CallEnd::Response)
                ++counts["status " + std::to_string(result.response.status)];
            else
                ++counts[std::string(toString(result.end))];
        }
    }
}

void Fleet::addEngine(bool hasRoom)
{
    const std::string name = "engine-" + std::to_string(++this->engineCount);
    auto &engine = this->engines[name];
    engine = std::make_unique<SoakEngine>(this->context, this->runs, this->draws);
    if (hasRoom)
        this->runs.addRoom(engine->address());
    this->usableEngines.push_back(name);
    this->runs.addUsable(engine->address());
    this->store.put(std::string(objectkind::servers), name,
                    engineEntry(*engine, "engine", "ready"));
}

void Fleet::startHosts(int count)
{
    const auto start = [this](std::size_t index) {
        return std::make_unique<SoakHost>(this->context, this->store.endpoint(),
                                          "host-" + std::to_string(index + 1));
    };
    for (int index = 0; index < count; ++index)
        this->hosts.push_back(start(this->hosts.size()));
    const Milliseconds end = now() + startTimeout;
    while (!this->areReady && now() < end) {
        this->areReady = true;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            // Another process may take a free port before the daemon does.
            if (this->hosts[index]->hasExited())
                this->hosts[index] = start(index);
            this->areReady = this->isHostReady(*this->hosts[index]) && this->areReady;
        }
    }
}

/** Asks a host whether it takes callers. */
bool Fleet::isHostReady(const SoakHost &host)
{
    CallerConnection connection(this->context, host.readinessEndpoint());
    HttpRequest request;
    request.target = "/ready";
    request.headers = {{"Host", "h"}};
    CallResult result;
    net::co_spawn(
            this->context,
            [&]() -> net::awaitable<void> { result = co_await connection.call(request); },
            net::detached);
    while (result.end == CallEnd::Pending)
        this->context.run_for(stepTime);
    return result.end == CallEnd::Response && result.response.status == successStatus;
}

void Fleet::addChanges(std::uint64_t seed)
{
    using Method = void (Fleet::*)(std::mt19937_64 &);
    const auto add = [&](const char *name, int shortestPause, int longestPause, Method make) {
        Change change;
        change.name = name;
        change.shortestPause = shortestPause;
        change.longestPause = longestPause;
        change.make = [this, make](std::mt19937_64 &random) {
            (this->*make)(random);
        };
        change.random.seed(seed * 10 + this->changes.size());
        this->changes.push_back(std::move(change));
    };
    add("reloads", 200, 900, &Fleet::reloadHosts);
    add("configurations", 300, 2000, &Fleet::writeConfigurations);
    add("silences", 300, 1500, &Fleet::silenceEngine);
    add("replacements", 1500, 4000, &Fleet::replaceEngine);
    add("stops of hosts", 800, 3000, &Fleet::stopHost);
    add("exits", 3000, 8000, &Fleet::exitEngine);
    add("departures in a row", 4000, 8000, &Fleet::replacePair);
}

/** Lets one host or some hosts at once read other settings. */
void Fleet::reloadHosts(std::mt19937_64 &random)
{
    constexpr int overlapChance = 30;
    const int count = drawChance(random, overlapChance) ? draw(random, 2, 4) : 1;
    for (int index = 0; index < count; ++index) {
        HostSettings settings;
        settings.grace = drawTime(random, 1000, 4000);
        settings.maximumKeyAge = drawTime(random, 3000, 8000);
        settings.retrySlack = draw(random, 0, 56);
        this->hosts[this->nextHost++ % this->hosts.size()]->reload(settings);
    }
}

/** Writes up to three versions, each at once or up to 300 ms after the one before it. */
void Fleet::writeConfigurations(std::mt19937_64 &random)
{
    constexpr int storyChance = 90;
    Milliseconds delay{0};
    for (int left = draw(random, 1, 3); left > 0; --left) {
        HostConfiguration next = this->baseConfiguration();
        next.furtherRoutes = draw(random, 0, 200);
        next.hasStory = left == 1 || drawChance(random, storyChance);
        next.targetPause = drawTime(random, 20, 200);
        next.copiesRuns = drawChance(random, storyChance);
        this->later(delay, [this, next] { this->writeConfiguration(next); });
        delay += drawTime(random, 0, 300);
    }
}

void Fleet::silenceEngine(std::mt19937_64 &random)
{
    const int last = static_cast<int>(this->usableEngines.size()) - 1;
    const std::string name = this->usableEngines[static_cast<std::size_t>(draw(random, 0, last))];
    this->engines.at(name)->silence(drawTime(random, 1000, 3000));
}

/** Lets an engine leave and starts another one. */
void Fleet::replaceEngine(std::mt19937_64 &random)
{
    constexpr int halfChance = 50;
    const int last = static_cast<int>(this->usableEngines.size()) - 1;
    this->beginLeaving(this->usableEngines[static_cast<std::size_t>(draw(random, 0, last))],
                       random);
    const bool hasRoom = drawChance(random, halfChance);
    this->later(drawTime(random, 0, 1500), [this, hasRoom] { this->addEngine(hasRoom); });
}

/**
 * Lets an engine leave, and up to 2 s later the one that has the most copies of its runs; starts
 * two others with room.
 */
void Fleet::replacePair(std::mt19937_64 &random)
{
    const int last = static_cast<int>(this->usableEngines.size()) - 1;
    const std::string first = this->usableEngines[static_cast<std::size_t>(draw(random, 0, last))];
    const Milliseconds pause = drawTime(random, 0, 2000);
    const Milliseconds replacementTime = drawTime(random, 0, 1500);
    const std::string second = this->copyHolder(first);
    if (second.empty() || !this->mayLoseEngines({first, second}))
        return;
    this->runs.count("pairs of engines that left one after the other");
    this->beginLeaving(first, random);
    this->later(pause, [this, second, own = random]() mutable {
        if (std::count(this->usableEngines.begin(), this->usableEngines.end(), second) > 0)
            this->beginLeaving(second, own);
    });
    for (int count = 0; count < 2; ++count)
        this->later(replacementTime, [this] { this->addEngine(true); });
}

/** Returns the name of the engine that holds most copies of an engine's runs, or an empty text. */
std::string Fleet::copyHolder(const std::string &name) const
{
    const auto address = this->runs.copyHolder(this->engines.at(name)->address());
    const auto found = std::find_if(this->usableEngines.begin(), this->usableEngines.end(),
                                    [&](const std::string &other) {
                                        return address == this->engines.at(other)->address();
                                    });
    return found == this->usableEngines.end() ? std::string() : *found;
}

/** Lets an engine leave, perhaps silent, with its listener closed before or after its report. */
void Fleet::beginLeaving(std::string name, std::mt19937_64 &random)
{
    constexpr int halfChance = 50;
    std::erase(this->usableEngines, name);
    SoakEngine &engine = *this->engines.at(name);
    this->runs.removeUsable(engine.address());
    if (drawChance(random, halfChance))
        engine.silence(drawTime(random, 1000, 3000));
    const bool hasReport = drawChance(random, halfChance);
    this->later(drawTime(random, 0, 1000), [&engine] { engine.refuseConnections(); });
    this->later(drawTime(random, 0, 1000), [this, &engine, name, hasReport] {
        const std::string kind(objectkind::servers);
        if (hasReport)
            this->store.put(kind, name, engineEntry(engine, "engine", "draining"));
        else
            this->store.remove(kind, name);
        this->leftEngines[name] = now() + leavingTime;
    });
}

/**
 * Lets an engine exit without notice, and starts another one like it. Its entry is removed up to
 * 1 s later, or up to 0.1 s before.
 */
void Fleet::exitEngine(std::mt19937_64 &random)
{
    constexpr int goneFirstChance = 30;
    const int last = static_cast<int>(this->usableEngines.size()) - 1;
    const auto position = this->usableEngines.begin() + draw(random, 0, last);
    const std::string name = *position;
    const bool isGoneFirst = drawChance(random, goneFirstChance);
    const Milliseconds exitTime = isGoneFirst ? drawTime(random, 0, 100) : Milliseconds(0);
    const Milliseconds removalTime = isGoneFirst ? Milliseconds(0) : drawTime(random, 0, 1000);
    const Milliseconds replacementTime = drawTime(random, 0, 1500);
    if (!this->mayLoseEngines({name}))
        return;
    this->runs.count("engines that exited without notice");
    this->usableEngines.erase(position);
    SoakEngine &engine = *this->engines.at(name);
    const bool hasRoom = this->runs.hasRoom(engine.address());
    this->runs.removeUsable(engine.address());
    this->later(removalTime,
                [this, name] { this->store.remove(std::string(objectkind::servers), name); });
    this->later(exitTime, [&engine] { engine.exit(EngineExit::WithoutNotice); });
    this->later(replacementTime, [this, hasRoom] { this->addEngine(hasRoom); });
}

/** Returns whether enough engines, and one with room, remain without some. */
bool Fleet::mayLoseEngines(const std::set<std::string> &names) const
{
    constexpr std::size_t leastEngines = 3;
    return this->usableEngines.size() >= leastEngines + names.size()
            && std::any_of(this->usableEngines.begin(), this->usableEngines.end(),
                           [&](const std::string &other) {
                               return !names.contains(other)
                                       && this->runs.hasRoom(this->engines.at(other)->address());
                           });
}

/** Gives a host no processor time for 0.5 to 1 s. */
void Fleet::stopHost(std::mt19937_64 &random)
{
    const int last = static_cast<int>(this->hosts.size()) - 1;
    SoakHost &host = *this->hosts[static_cast<std::size_t>(draw(random, 0, last))];
    host.signal(SIGSTOP);
    this->later(drawTime(random, 500, 1000), [&host] { host.signal(SIGCONT); });
}

void Fleet::later(Milliseconds time, std::function<void()> action)
{
    this->laterActions.emplace_back(now() + time, std::move(action));
}

void Fleet::makeChanges()
{
    for (Change &change : this->changes) {
        if (now() < change.nextAt)
            continue;
        if (change.nextAt > Milliseconds(0)) {
            change.make(change.random);
            ++change.count;
        }
        change.nextAt = now() + drawTime(change.random, change.shortestPause, change.longestPause);
    }
}

void Fleet::runLater()
{
    std::vector<std::pair<Milliseconds, std::function<void()>>> waiting;
    waiting.swap(this->laterActions);
    for (auto &[time, action] : waiting) {
        if (now() >= time)
            action();
        else
            this->laterActions.emplace_back(time, std::move(action));
    }
}

/**
 * Lets the engines exit that have left: some at the end of their leaving, others once they have no
 * request in progress.
 */
void Fleet::removeLeftEngines()
{
    for (auto left = this->leftEngines.begin(); left != this->leftEngines.end();) {
        const auto engine = this->engines.find(left->first);
        const bool isOver = now() >= left->second
                && (engine->second->isIdle() || this->draws.exitsWithStreams(left->first));
        if (!isOver) {
            ++left;
            continue;
        }
        this->store.remove(std::string(objectkind::servers), left->first);
        engine->second->exit(EngineExit::AfterLeaving);
        left = this->leftEngines.erase(left);
    }
}

/** Returns the next version of the configuration without further changes. */
HostConfiguration Fleet::baseConfiguration()
{
    HostConfiguration configuration;
    configuration.version = this->version + 1;
    configuration.engineSlots = engineSlots;
    configuration.targetPause = targetPause;
    configuration.copiesRuns = true;
    configuration.key = "k1";
    return configuration;
}

void Fleet::writeConfiguration(const HostConfiguration &configuration)
{
    HostConfiguration next = configuration;
    next.version = ++this->version;
    this->store.put(std::string(objectkind::configuration), std::string(configurationObjectName),
                    next.toText());
}

} // namespace sassafrasyard
