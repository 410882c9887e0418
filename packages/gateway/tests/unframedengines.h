#pragma once

#include "gatewayfixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Two engines whose streams have neither a length nor chunks and end with their connection.
 *
 * An engine that stops a run closes its stream after a whole event. The run has copies by its
 * backup, by a move and in the memory of the engine that stopped it; each can be taken away.
 */
class UnframedEngines
{
public:
    static constexpr std::uint64_t lastEvent = 120;
    static constexpr Milliseconds eventInterval{20};

    explicit UnframedEngines(Route route = makeRoute())
    {
        this->fixture.addRoute(std::move(route), makeEngineProperties());
        for (const std::string name : {"a", "b"}) {
            this->fixture.addRawServer(name, [this, name](boost::asio::ip::tcp::socket &socket) {
                return this->serve(name, socket);
            });
        }
        this->fixture.answerStop = [this](const MoveOrder &order) {
            return this->stop(order);
        };
        this->fixture.allowsMove = [](const MoveOrder &) {
            return false;
        };
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
    HttpResponse call() { return this->fixture.call("/stream/", "r1", {{"Patience", "8000"}}); }

    /** Lets the engine of the first run leave before an event. */
    std::uint64_t leavesBefore = 40;
    /** Whether an engine has a copy of the run of the other one. */
    bool hasBackups = true;
    /** Whether an engine keeps the memory of a run that it stops, and copies it to the target. */
    bool keepsMemory = false;
    bool copiesMemory = false;
    /** Returns the answer to a request to stop a run, which has been carried out. */
    std::function<RunStopResult(RunStopResult)> changeAnswer = [](RunStopResult answer) {
        return answer;
    };
    /** Whether requests to stop a run are carried out. */
    bool stopsRuns = true;
    /** The engines in the order in which they ran the call. */
    std::vector<std::string> runs;
    GatewayFixture fixture;

private:
    static std::string eventText(std::uint64_t number)
    {
        return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
    }

    static std::string fieldOf(const std::string &head, const std::string &name)
    {
        const std::size_t start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 4;
        return head.substr(value, head.find("\r\n", value) - value);
    }

    boost::asio::awaitable<void> serve(const std::string &name,
                                       boost::asio::ip::tcp::socket &socket)
    {
        namespace net = boost::asio;
        std::string head;
        std::array<char, 4096> bytes{};
        boost::system::error_code code;
        while (!code && head.find("\r\n\r\n") == std::string::npos) {
            const std::size_t count = co_await socket.async_read_some(
                    net::buffer(bytes), net::redirect_error(net::use_awaitable, code));
            head.append(bytes.data(), count);
        }
        if (code)
            co_return;
        const std::string id = fieldOf(head, "Id");
        const std::string source = fieldOf(head, "Source");
        if (!source.empty() && !this->takeMemory(name, source)) {
            const std::string refusal = "HTTP/1.1 503 Full\r\nId: " + id
                    + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            co_await net::async_write(socket, net::buffer(refusal),
                                      net::redirect_error(net::use_awaitable, code));
            co_return;
        }
        this->runs.push_back(name);
        const std::size_t run = this->runs.size();
        this->working[name] = run;
        const std::string last = fieldOf(head, "Last");
        std::string text = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + id
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        for (std::uint64_t number = last.empty() ? 0 : std::stoull(last);
             number < lastEvent && !code;) {
            co_await net::async_write(socket, net::buffer(text),
                                      net::redirect_error(net::use_awaitable, code));
            co_await GatewayFixture::pause(eventInterval);
            if (this->working[name] != run)
                co_return;
            if (run == 1 && number + 1 == this->leavesBefore)
                this->fixture.markLeaving(name);
            text = eventText(++number);
        }
        co_await net::async_write(socket, net::buffer(text),
                                  net::redirect_error(net::use_awaitable, code));
        this->working.erase(name);
        this->hasBackups = false;
    }

    bool takeMemory(const std::string &name, const std::string &source)
    {
        if (source == "r1")
            return this->hasBackups;
        if (source == "kept")
            return this->kept.erase(name) > 0;
        return name != this->runs.front();
    }

    RunStopResult stop(const MoveOrder &order)
    {
        const std::string name = this->fixture.addressOf("a") == order.sourceAddress ? "a" : "b";
        RunStopResult answer;
        if (!this->stopsRuns) {
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

    /** The engines that work on the run, with the number of theirs. */
    std::map<std::string, std::size_t> working;
    /** The engines that keep the memory of a run that they stopped. */
    std::set<std::string> kept;
};

} // namespace sassafrasyard
