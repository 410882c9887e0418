#include "soakengine.h"

#include "entry/http/errorresponse.h"
#include "plannedstop/standinservers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr int successStatus = 200;
constexpr int notFoundStatus = 404;
constexpr int conflictStatus = 409;
constexpr int unavailableStatus = 503;
constexpr std::string_view handlePrefix = "/kv-handle/";

int numberField(const HttpRequest &request, std::string_view name)
{
    return std::stoi(findHeader(request.headers, name).value_or("0"));
}

std::string idOf(const HttpRequest &request)
{
    return findHeader(request.headers, "Request-Id").value_or("");
}

net::awaitable<void> pause(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

HttpHeaders headersOf(const HttpRequest &request)
{
    return {{"Request-Id", idOf(request)}};
}

net::awaitable<void> sendStatus(HttpResponder &responder, int status, HttpHeaders headers = {},
                                std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.headers = std::move(headers);
    response.body = std::move(body);
    co_await responder.send(std::move(response));
}

/** Returns the event with a number of a request's stream. */
std::string eventText(const std::string &requestId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + "\n\n";
}

} // namespace

SoakEngine::SoakEngine(net::io_context &context, RunRegister &runs)
    : runs(runs)
{
    this->server = std::make_unique<HttpServer>(
            context, HttpServerOptions(),
            [this](const HttpRequest &request, HttpResponder &responder) {
                return this->handle(request, responder);
            },
            errorResponse);
    Error reason;
    this->listening = this->server->listen({"127.0.0.1", 0}, reason).value().toString();
}

const std::string &SoakEngine::address() const
{
    return this->listening;
}

void SoakEngine::silence(Milliseconds time)
{
    this->silentUntil = Clock::steady().now() + time;
}

void SoakEngine::refuseConnections()
{
    if (this->server)
        this->server->stopAccepting();
}

bool SoakEngine::isIdle() const
{
    return this->requestCount == 0;
}

void SoakEngine::exit()
{
    this->server.reset();
}

net::awaitable<void> SoakEngine::handle(const HttpRequest &request, HttpResponder &responder)
{
    // A request may have been read before the exit closed its connection.
    if (!this->server) {
        responder.abort();
        co_return;
    }
    ++this->requestCount;
    const std::string path(request.path());
    if (path == "/kv-move") {
        co_await this->move(request, responder);
    } else if (path.starts_with(handlePrefix)) {
        this->runs.dropCopy(this->listening + "/" + path.substr(handlePrefix.size()));
        co_await sendStatus(responder, successStatus);
    } else if (idOf(request).empty()) {
        co_await sendStatus(responder, notFoundStatus);
    } else if (!this->mayBegin(request)) {
        HttpHeaders headers = headersOf(request);
        headers.emplace_back("Not-Executed", "1");
        co_await sendStatus(responder, unavailableStatus, std::move(headers));
    } else if (findHeader(request.headers, "Events")) {
        co_await this->stream(request, responder);
    } else {
        co_await this->answer(request, responder);
    }
    --this->requestCount;
}

/** Returns whether a request is a first one or continues a run whose copy this server holds. */
bool SoakEngine::mayBegin(const HttpRequest &request)
{
    const auto copy = findHeader(request.headers, "Kv-From");
    return !copy || this->runs.takeCopy(*copy, idOf(request), this->listening);
}

net::awaitable<void> SoakEngine::answer(const HttpRequest &request, HttpResponder &responder)
{
    this->runs.begin(idOf(request), this->listening);
    co_await pause(Milliseconds(numberField(request, "Work-Ms")));
    co_await this->waitForSilence();
    this->runs.end(idOf(request), this->listening);
    HttpHeaders headers = headersOf(request);
    headers.emplace_back("Replica-Stamp", "stand-in");
    co_await sendStatus(responder, successStatus, std::move(headers),
                        StandInServers::answerTo(request));
}

net::awaitable<void> SoakEngine::stream(const HttpRequest &request, HttpResponder &responder)
{
    const std::string requestId = idOf(request);
    const auto run = std::make_shared<Run>();
    run->lastEvent = numberField(request, "Last-Event-Id");
    this->inProgress[requestId] = run;
    this->runs.begin(requestId, this->listening);
    // The run of a caller who has disconnected ends at once, also beside a silence.
    responder.setCallerGoneHook([this, requestId, run] {
        run->isStopped = true;
        run->isCallerGone = true;
        this->runs.end(requestId, this->listening);
    });
    const auto backup = findHeader(request.headers, "Kv-Backup");
    const std::string backupName = backup.value_or("") + "/" + requestId;
    if (backup && this->runs.hasRoom(*backup))
        this->runs.addCopy(backupName, requestId, {*backup});
    const bool isComplete = co_await this->sendEvents(request, responder, *run);
    this->runs.end(requestId, this->listening);
    if (isComplete) {
        this->runs.dropCopy(backupName);
        co_await responder.finish();
    } else {
        responder.abort();
    }
    if (this->inProgress[requestId] == run)
        this->inProgress.erase(requestId);
}

/** Sends the events after the last one. @return whether all were sent. */
net::awaitable<bool> SoakEngine::sendEvents(const HttpRequest &request, HttpResponder &responder,
                                            Run &run)
{
    const int events = numberField(request, "Events");
    const Milliseconds interval(numberField(request, "Event-Ms"));
    bool hasHeader = false;
    while (run.lastEvent < events) {
        co_await pause(interval);
        co_await this->waitForSilence();
        if (run.isStopped)
            co_return false;
        // An engine without a first event has sent no header either.
        if (!std::exchange(hasHeader, true)) {
            HttpHeaders headers = headersOf(request);
            headers.emplace_back("Replica-Stamp", "stand-in");
            headers.emplace_back("Content-Type", "text/event-stream");
            if (!co_await responder.startStream(successStatus, std::move(headers)))
                co_return false;
        }
        const std::string text = eventText(idOf(request), ++run.lastEvent);
        if (!co_await responder.write(text))
            co_return false;
    }
    // A continuation of a run whose last event was sent has none left.
    if (!hasHeader) {
        HttpHeaders headers = headersOf(request);
        headers.emplace_back("Replica-Stamp", "stand-in");
        co_await responder.startStream(successStatus, std::move(headers));
    }
    co_return !run.isStopped;
}

/** Copies a run, and stops it first if the request is the last one about it. */
net::awaitable<void> SoakEngine::move(const HttpRequest &request, HttpResponder &responder)
{
    co_await this->waitForSilence();
    const auto order = nlohmann::json::parse(request.body);
    const std::string requestId = order.at("id");
    const std::string target = order.at("target");
    const auto found = this->inProgress.find(requestId);
    if (found == this->inProgress.end() || found->second->isStopped) {
        // A run whose caller has disconnected has ended; any other stopped one is being stopped.
        const bool isStopping = found != this->inProgress.end() && !found->second->isCallerGone;
        co_await sendStatus(responder, isStopping ? conflictStatus : notFoundStatus);
        co_return;
    }
    const std::shared_ptr<Run> run = found->second;
    const bool hasRoom = this->runs.hasRoom(target);
    std::set<std::string> holders;
    if (order.value("last", false)) {
        run->isStopped = true;
        constexpr Milliseconds pollInterval{2};
        while (this->inProgress.contains(requestId) && this->inProgress[requestId] == run)
            co_await pause(pollInterval);
        holders.insert(this->listening);
    }
    if (hasRoom)
        holders.insert(target);
    nlohmann::json body{{"create-rev", run->lastEvent}};
    if (!holders.empty()) {
        const std::string name = "m" + std::to_string(++this->copyCount);
        this->runs.addCopy(this->listening + "/" + name, requestId, std::move(holders));
        body["handle"] = name;
    }
    const int status = hasRoom ? successStatus : unavailableStatus;
    co_await sendStatus(responder, status, HttpHeaders(), body.dump());
}

net::awaitable<void> SoakEngine::waitForSilence()
{
    while (Clock::steady().now() < this->silentUntil)
        co_await pause(this->silentUntil - Clock::steady().now() + Milliseconds(1));
}

} // namespace sassafrasyard
