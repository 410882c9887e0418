#pragma once

#include "gatewayfixture.h"
#include "rawserver.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Engines, by default two, whose streams have neither a length nor chunks and end with their
 * connection.
 *
 * An engine that stops a run closes its stream after a whole event. The run has copies by its
 * backup, by a move and in the memory of the engine that stopped it; each can be taken away. An
 * engine works on a run to its end, also without its connection, unless told to stop.
 */
class UnframedEngines
{
public:
    static constexpr std::uint64_t lastEvent = 70;
    static constexpr Milliseconds eventInterval{10};

    /** How the stream of a run that its engine stopped ends. */
    enum class Ending {
        /** After a whole event, by an orderly close. */
        Close,
        /** After a whole event, by a reset of the connection. */
        Reset,
        /** Inside an event, by an orderly close. */
        InsideEvent,
    };

    /** Creates engines and their gateway. @param context runs them, perhaps with others. */
    explicit UnframedEngines(Route route = makeRoute(),
                             std::shared_ptr<boost::asio::io_context> context =
                                     std::make_shared<boost::asio::io_context>(),
                             const EngineProperties &engine = makeEngineProperties())
        : fixture(std::move(context))
    {
        this->fixture.addRoute(std::move(route), engine);
        for (const std::string name : {"a", "b"})
            this->addEngine(name);
        this->fixture.answerStop = [this](const MoveOrder &order) {
            return this->stop(order);
        };
        this->fixture.allowsMove = [](const MoveOrder &) {
            return false;
        };
        this->fixture.losesLateAnswers = true;
    }

    static Route makeRoute()
    {
        Route route;
        route.name = "stream";
        route.pathPrefix = "/stream/";
        route.kind = CallKind::Stream;
        route.maximumAttempts = 1;
        route.timeout = Milliseconds(8000);
        route.targetLatency = Milliseconds(500);
        route.targetPause = Milliseconds(100);
        return route;
    }

    /** Adds a further engine. */
    void addEngine(const std::string &name)
    {
        this->names.push_back(name);
        this->fixture.addRawServer(
                name, [this, name](Socket &socket) { return this->serve(name, socket); });
    }

    /** Returns a route whose streams may be run again after their last event. */
    static Route makeResumableRoute()
    {
        Route route = makeRoute();
        route.isResumable = true;
        route.maximumAttempts = 3;
        return route;
    }

    static EngineProperties makeEngineProperties()
    {
        EngineProperties engine;
        engine.slots = 8;
        engine.memoryTokens = 100'000;
        engine.tokensPerEvent = 4;
        engine.supportsBackup = true;
        engine.supportsMoves = true;
        engine.copyLifetime = Milliseconds(2000);
        return engine;
    }

    static std::string events(std::uint64_t last = lastEvent)
    {
        std::string text;
        for (std::uint64_t number = 1; number <= last; ++number)
            text += eventText(number);
        return text;
    }

    /** Sends the call of the test. @return its response; status 0 if it is incomplete. */
    HttpResponse call(const std::string &patience = "8000")
    {
        this->start(patience);
        while (!this->hasEnded())
            this->fixture.runOne();
        return *this->answer;
    }

    /** Returns whether the call of the test has ended, at its host too. */
    bool hasEnded() { return this->answer && this->fixture.entryState().activeRequests == 0; }

    /** Starts the call of the test without waiting for its response. */
    void start(const std::string &patience = "8000")
    {
        this->fixture.send(GatewayFixture::makeCall("/stream/", "r1", {{"Patience", patience}}),
                           [this](HttpResponse response) {
                               this->answer = std::move(response);
                               this->answeredAt = Clock::steady().now();
                           });
    }

    /** Lets the engines answer each request to stop a run after a time. */
    void answerAfter(Milliseconds time)
    {
        this->fixture.stopAnswerTime = [time](const MoveOrder &) {
            return time;
        };
    }

    /** Lets the first engine stop its run, if any, after a time. */
    void stopLater(Milliseconds time)
    {
        this->fixture.spawn([this, time]() -> boost::asio::awaitable<void> {
            co_await GatewayFixture::pause(time);
            this->working.erase(this->runs.front());
        });
    }

    /** The time between two events of a run. */
    Milliseconds interval = eventInterval;
    /** Lets the engine of the first run leave before an event. */
    std::uint64_t leavesBefore = 45;
    /** Called after it has begun to leave. */
    std::function<void()> atLeave = [] {
    };
    /** Before which event the engine of the first run ends its process without an order. */
    std::uint64_t exitsBefore = 0;
    /** Called before it does so. */
    std::function<void()> atExit = [] {
    };
    /** Before which event the first run loses its connection, although it goes on. */
    std::uint64_t losesConnectionBefore = 0;
    /** Before which event the first run is silent, for how long. */
    std::uint64_t silentBefore = 0;
    Milliseconds silence{4000};
    /** Whether responses have chunks. */
    bool isChunked = false;
    Ending ending = Ending::Close;
    /** Whether an engine has a copy of the run of the other one. */
    bool hasBackups = true;
    /** Whether an engine has the copies of a run that the other one made when it was asked to. */
    bool hasMovedCopies = true;
    /** Whether an engine keeps the memory of a run that it stops, and copies it to the target. */
    bool keepsMemory = false;
    bool copiesMemory = false;
    /**
     * Returns the answer to a request to stop a run, after it was carried out if it is.
     * fixture.stops counts the requests.
     */
    std::function<RunStopResult(const RunStopResult &)> changeAnswer =
            [](const RunStopResult &answer) {
                return answer;
            };
    /** Whether requests to stop a run are carried out. */
    bool stopsRuns = true;
    /** The engines in the order in which they ran the call. */
    std::vector<std::string> runs;
    /** The response to the call, once it has ended. */
    std::optional<HttpResponse> answer;
    /** When it had ended. */
    Milliseconds answeredAt{0};
    /** The engines that were named as the backup of a run. */
    std::vector<std::string> backups;
    /** The largest number of engines that worked on the run at once. */
    std::size_t mostAtOnce = 0;
    GatewayFixture fixture;

private:
    using Socket = boost::asio::ip::tcp::socket;

    static std::string eventText(std::uint64_t number)
    {
        return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
    }

    std::string header(const std::string &id) const
    {
        const std::string framing =
                this->isChunked ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n";
        return "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + id
                + "\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n";
    }

    /** Returns a piece of a body as it is sent. */
    std::string frame(const std::string &piece) const
    {
        if (!this->isChunked)
            return piece;
        std::ostringstream text;
        text << std::hex << piece.size() << "\r\n" << piece << "\r\n";
        return text.str();
    }

    boost::asio::awaitable<void> serve(const std::string &name, Socket &socket)
    {
        const std::string head = co_await readHead(socket);
        if (head.empty())
            co_return;
        const std::string id = fieldOf(head, "Id");
        const std::string source = fieldOf(head, "Source");
        if (!source.empty() && !this->takeMemory(name, source)) {
            co_await sendText(socket,
                              "HTTP/1.1 503 Full\r\nId: " + id
                                      + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            co_return;
        }
        this->recordBackup(fieldOf(head, "Backup"));
        this->runs.push_back(name);
        const std::size_t run = this->runs.size();
        this->working[name] = run;
        this->mostAtOnce = std::max(this->mostAtOnce, this->working.size());
        const bool isOpen = co_await sendText(socket, this->header(id));
        const std::string last = fieldOf(head, "Last");
        co_await this->work(run, last.empty() ? 0 : std::stoull(last), isOpen, socket);
    }

    /** Works on a run from the event after the given one on. */
    boost::asio::awaitable<void> work(std::size_t run, std::uint64_t number, bool isOpen,
                                      Socket &socket)
    {
        while (number < lastEvent) {
            ++number;
            co_await this->waitForEvent(run, number);
            if (!this->isWorking(run)) {
                if (isOpen)
                    co_await this->breakOff(number, socket);
                co_return;
            }
            if (run == 1 && number == this->losesConnectionBefore) {
                resetConnection(socket);
                isOpen = false;
            }
            if (run == 1 && number == this->leavesBefore) {
                this->fixture.markLeaving(this->runs.front());
                this->atLeave();
            }
            if (isOpen)
                isOpen = co_await sendText(socket, this->frame(eventText(number)));
        }
        if (isOpen && this->isChunked)
            isOpen = co_await sendText(socket, "0\r\n\r\n");
        this->working.erase(this->runs[run - 1]);
        // A backup is kept until its run has ended successfully.
        if (isOpen)
            this->hasBackups = false;
    }

    boost::asio::awaitable<void> waitForEvent(std::size_t run, std::uint64_t number)
    {
        const bool isSilent = run == 1 && number == this->silentBefore;
        for (Milliseconds waited(0); isSilent && waited < this->silence && this->isWorking(run);
             waited += eventInterval)
            co_await GatewayFixture::pause(eventInterval);
        co_await GatewayFixture::pause(this->interval);
        if (run == 1 && number == this->exitsBefore) {
            this->atExit();
            this->working.erase(this->runs.front());
        }
    }

    /** Ends the stream of a run that was stopped before an event. */
    boost::asio::awaitable<void> breakOff(std::uint64_t number, Socket &socket)
    {
        if (this->ending == Ending::InsideEvent)
            co_await sendText(socket, this->frame(eventText(number).substr(0, 5)));
        if (this->ending == Ending::Reset)
            resetConnection(socket);
    }

    bool isWorking(std::size_t run) const
    {
        const auto found = this->working.find(this->runs[run - 1]);
        return found != this->working.end() && found->second == run;
    }

    void recordBackup(const std::string &address)
    {
        if (!address.empty())
            this->backups.push_back(this->nameAt(address));
    }

    std::string nameAt(const std::string &address) const
    {
        const auto found =
                std::find_if(this->names.begin(), this->names.end(), [&](const auto &name) {
                    return this->fixture.addressOf(name) == address;
                });
        return found == this->names.end() ? std::string() : *found;
    }

    bool takeMemory(const std::string &name, const std::string &source)
    {
        if (source == "r1")
            return this->hasBackups && std::count(this->backups.begin(), this->backups.end(), name);
        if (source == "kept")
            return this->kept.erase(name) > 0;
        return this->hasMovedCopies && name != this->runs.front();
    }

    RunStopResult stop(const MoveOrder &order)
    {
        const std::string name = this->nameAt(order.sourceAddress);
        RunStopResult answer;
        answer.hasAnswered = true;
        if (!this->stopsRuns && this->working.contains(name)) {
            answer.state = RunStopResult::State::Declined;
            return this->changeAnswer(answer);
        }
        answer.state = RunStopResult::State::Stopped;
        if (this->working.erase(name) == 0)
            return this->changeAnswer(answer);
        if (this->keepsMemory)
            this->kept.insert(name);
        answer.memory = MemoryCopy{order.sourceAddress, this->copiesMemory ? "copied" : "kept"};
        answer.isCopied = this->copiesMemory;
        return this->changeAnswer(answer);
    }

    std::vector<std::string> names;
    /** The engines that work on the run, with the number of theirs. */
    std::map<std::string, std::size_t> working;
    /** The engines that keep the memory of a run that they stopped. */
    std::set<std::string> kept;
};

/** Several cases of a test, whose calls run at once. */
class UnframedCases
{
public:
    /** Prepares a case, or checks its result. */
    using Step = std::function<void(UnframedEngines &)>;

    /** Adds a case. */
    void add(const Step &prepare, Step check, Route route = UnframedEngines::makeRoute(),
             const EngineProperties &engine = UnframedEngines::makeEngineProperties())
    {
        this->cases.push_back(
                std::make_unique<UnframedEngines>(std::move(route), this->context, engine));
        this->checks.push_back(std::move(check));
        prepare(*this->cases.back());
    }

    /** Runs the calls of all cases and then checks each of them. */
    void run(const std::string &patience = "8000")
    {
        for (const auto &engines : this->cases)
            engines->start(patience);
        for (const auto &engines : this->cases) {
            while (!engines->hasEnded())
                this->context->run_one();
        }
        for (std::size_t index = 0; index < this->cases.size(); ++index) {
            INFO("case " << index);
            this->checks[index](*this->cases[index]);
        }
    }

private:
    std::shared_ptr<boost::asio::io_context> context = std::make_shared<boost::asio::io_context>();
    std::vector<std::unique_ptr<UnframedEngines>> cases;
    std::vector<Step> checks;
};

} // namespace sassafrasyard
