#include "soakengine.h"

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

HttpHeaders streamHeadersOf(const HttpRequest &request)
{
    HttpHeaders headers = headersOf(request);
    headers.emplace_back("Replica-Stamp", "stand-in");
    headers.emplace_back("Content-Type", "text/event-stream");
    return headers;
}

net::awaitable<void> sendStatus(EngineConnection &connection, int status, HttpHeaders headers = {},
                                std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.headers = std::move(headers);
    response.body = std::move(body);
    co_await connection.send(std::move(response));
}

/** Returns the event with a number of a request's stream. */
std::string eventText(const std::string &requestId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + "\n\n";
}

} // namespace

SoakEngine::SoakEngine(net::io_context &context, RunRegister &runs, const EngineDraws &draws)
    : runs(runs)
    , draws(draws)
{
    this->server = std::make_unique<EngineServer>(
            context, [this](const HttpRequest &request, EngineConnection &connection) {
                return this->handle(request, connection);
            });
    this->listening = this->server->address();
    this->born = Clock::system().now().count();
}

const std::string &SoakEngine::address() const
{
    return this->listening;
}

std::int64_t SoakEngine::startedAt() const
{
    return this->born;
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

void SoakEngine::exit(EngineExit how)
{
    if (!this->server)
        return;
    this->server.reset();
    for (const auto &[requestId, run] : this->inProgress)
        run->isStopped = true;
    this->runs.exit(this->listening, how);
}

net::awaitable<void> SoakEngine::handle(const HttpRequest &request, EngineConnection &connection)
{
    // A request may have been read before the exit closed its connection.
    if (!this->server) {
        connection.exit();
        co_return;
    }
    ++this->requestCount;
    const std::string path(request.path());
    if (path == "/kv-move") {
        co_await this->move(request, connection);
    } else if (path.starts_with(handlePrefix)) {
        this->runs.dropCopy(this->listening + "/" + path.substr(handlePrefix.size()));
        co_await sendStatus(connection, successStatus);
    } else if (path == "/report") {
        co_await this->report(connection);
    } else if (idOf(request).empty()) {
        co_await sendStatus(connection, notFoundStatus);
    } else if (!this->mayBegin(request)) {
        HttpHeaders headers = headersOf(request);
        headers.emplace_back("Not-Executed", "1");
        co_await sendStatus(connection, unavailableStatus, std::move(headers));
    } else if (findHeader(request.headers, "Events")) {
        co_await this->stream(request, connection);
    } else {
        co_await this->answer(request, connection);
    }
    --this->requestCount;
}

/** Returns whether a request is a first one or continues a run whose copy this server holds. */
bool SoakEngine::mayBegin(const HttpRequest &request)
{
    const auto copy = findHeader(request.headers, "Kv-From");
    return !copy || this->runs.takeCopy(*copy, idOf(request), this->listening);
}

/** Tells of the server, after a silence; the hosts read only when it was started. */
net::awaitable<void> SoakEngine::report(EngineConnection &connection)
{
    co_await this->waitForSilence();
    nlohmann::json body;
    body["born"] = this->born;
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "application/json");
    co_await sendStatus(connection, successStatus, std::move(headers), body.dump());
}

net::awaitable<void> SoakEngine::answer(const HttpRequest &request, EngineConnection &connection)
{
    this->runs.begin(idOf(request), this->listening);
    co_await pause(Milliseconds(numberField(request, "Work-Ms")));
    co_await this->waitForSilence();
    if (!this->server)
        co_return;
    this->runs.end(idOf(request), this->listening);
    HttpHeaders headers = headersOf(request);
    headers.emplace_back("Replica-Stamp", "stand-in");
    co_await sendStatus(connection, successStatus, std::move(headers),
                        StandInServers::answerTo(request));
}

net::awaitable<void> SoakEngine::stream(const HttpRequest &request, EngineConnection &connection)
{
    const std::string requestId = idOf(request);
    const std::shared_ptr<Run> run = this->beginRun(request, connection);
    const auto backup = findHeader(request.headers, "Kv-Backup");
    const std::string backupName = backup.value_or("") + "/" + requestId;
    if (backup && this->runs.hasRoom(*backup))
        this->runs.addCopy(backupName, requestId, {*backup});
    const bool isComplete = co_await this->sendEvents(request, connection, *run);
    if (this->server)
        this->runs.end(requestId, this->listening);
    if (isComplete) {
        if (run->framing == StreamFraming::Close) {
            this->complete.insert(requestId);
            this->runs.recordUnframedEnd(requestId, this->listening, this->server->isAccepting());
        }
        this->runs.dropCopy(backupName);
        this->runs.retireCopies(requestId);
        co_await connection.finish();
    } else if (run->framing == StreamFraming::Close) {
        connection.close();
    } else {
        connection.exit();
    }
    if (this->inProgress[requestId] == run)
        this->inProgress.erase(requestId);
}

/** Notes a run as in progress. The run of a caller who has disconnected ends at once. */
std::shared_ptr<SoakEngine::Run> SoakEngine::beginRun(const HttpRequest &request,
                                                      EngineConnection &connection)
{
    const std::string requestId = idOf(request);
    auto run = std::make_shared<Run>();
    run->lastEvent = numberField(request, "Last-Event-Id");
    this->inProgress[requestId] = run;
    run->name = requestId + " " + std::to_string(this->runs.begin(requestId, this->listening));
    run->framing = this->draws.framing(run->name);
    if (run->framing == StreamFraming::Close)
        this->runs.count("unframed streams");
    // A silence does not delay the end.
    connection.setCallerGoneHook([this, requestId, run] {
        run->isStopped = true;
        run->isCallerGone = true;
        this->runs.end(requestId, this->listening);
    });
    return run;
}

/** Sends the events after the last one. @return whether all were sent. */
net::awaitable<bool> SoakEngine::sendEvents(const HttpRequest &request,
                                            EngineConnection &connection, Run &run)
{
    const int events = numberField(request, "Events");
    const Milliseconds interval(numberField(request, "Event-Ms"));
    bool hasHeader = false;
    while (run.lastEvent < events) {
        co_await pause(interval);
        co_await this->waitForSilence();
        if (run.isStopped || this->stopsUnasked(idOf(request), run))
            co_return false;
        // An engine without a first event has sent no header either.
        if (!std::exchange(hasHeader, true)
            && !co_await connection.startStream(streamHeadersOf(request), run.framing))
            co_return false;
        const std::string text = eventText(idOf(request), ++run.lastEvent);
        if (!co_await connection.write(text))
            co_return false;
    }
    // A continuation of a run whose last event was sent has none left.
    if (!hasHeader)
        co_await connection.startStream(streamHeadersOf(request), run.framing);
    co_return !run.isStopped;
}

/** Returns whether a run stops now although its engine declined to stop it. */
bool SoakEngine::stopsUnasked(const std::string &requestId, Run &run)
{
    if (!run.stopsAt || Clock::steady().now() < *run.stopsAt)
        return false;
    run.isStopped = true;
    this->moving.insert(requestId);
    if (!this->runs.hasUsableCopy(requestId))
        this->runs.lose(requestId, "engine stopped the run that it declined to stop");
    return true;
}

/** Copies a run, and stops it first if the request is the last one about it. */
net::awaitable<void> SoakEngine::move(const HttpRequest &request, EngineConnection &connection)
{
    co_await this->waitForSilence();
    const auto body = nlohmann::json::parse(request.body);
    const MoveOrder order{body.at("id"), body.at("target"), body.value("last", false)};
    const std::shared_ptr<Run> asked = this->findRun(order.requestId);
    if (order.isLast && asked && asked->framing == StreamFraming::Close)
        co_await pause(this->draws.stopDelay(asked->name));
    if (!this->server)
        co_return;
    const std::shared_ptr<Run> run = this->findRun(order.requestId);
    if (run && !run->isStopped && order.isLast && this->mustDecline(*run)) {
        co_await sendStatus(connection, conflictStatus);
        co_return;
    }
    if (run && !run->isStopped) {
        co_await this->moveRun(run, order, connection);
        co_return;
    }
    if (order.isLast && !run && this->complete.contains(order.requestId))
        this->runs.recordEndBesideStop(order.requestId);
    // A run whose caller has disconnected has ended; any other stopped one is being stopped.
    const bool isStopping = (run && !run->isCallerGone) || this->moving.contains(order.requestId);
    co_await sendStatus(connection, isStopping ? conflictStatus : notFoundStatus);
}

/** Returns whether to decline the first request to stop an unframed stream. */
bool SoakEngine::mustDecline(Run &run)
{
    constexpr Milliseconds laterTime{400};
    const StopDecline decline = this->draws.stopDecline(run.name);
    const bool isFirst = !std::exchange(run.hasDeclined, true);
    if (run.framing != StreamFraming::Close || !isFirst || decline == StopDecline::None)
        return false;
    this->runs.count("unframed stops " + std::string(toString(decline)));
    if (decline == StopDecline::StoppedAtOnce)
        run.stopsAt = Clock::steady().now();
    if (decline == StopDecline::StoppedLater)
        run.stopsAt = Clock::steady().now() + laterTime;
    return true;
}

net::awaitable<void> SoakEngine::moveRun(const std::shared_ptr<Run> &run, const MoveOrder &order,
                                         EngineConnection &connection)
{
    const bool isFaulty = order.isLast && run->framing == StreamFraming::Close;
    const bool hasRoom = this->runs.hasRoom(order.target)
            && !(isFaulty && this->draws.stopAnswer(run->name) == StopAnswer::Kept);
    std::set<std::string> holders;
    if (order.isLast) {
        co_await this->stopRun(run, order.requestId);
        if (!this->server)
            co_return;
        holders.insert(this->listening);
    }
    if (hasRoom)
        holders.insert(order.target);
    nlohmann::json body{{"create-rev", run->lastEvent}};
    if (!holders.empty()) {
        const std::string name = "m" + std::to_string(++this->copyCount);
        this->runs.addCopy(this->listening + "/" + name, order.requestId, std::move(holders));
        body["handle"] = name;
    }
    HttpResponse response;
    response.status = hasRoom ? successStatus : unavailableStatus;
    response.body = body.dump();
    if (isFaulty)
        co_await this->answerStop(*run, order.requestId, std::move(response), connection);
    else
        co_await connection.send(std::move(response));
    this->moving.erase(order.requestId);
}

/** Stops a run and waits until its stream is closed. */
net::awaitable<void> SoakEngine::stopRun(const std::shared_ptr<Run> &run,
                                         const std::string &requestId)
{
    constexpr Milliseconds pollInterval{2};
    run->isStopped = true;
    this->moving.insert(requestId);
    while (this->findRun(requestId) == run)
        co_await pause(pollInterval);
}

/** Answers a request that has stopped an unframed stream, late or not at all in some cases. */
net::awaitable<void> SoakEngine::answerStop(const Run &run, const std::string &requestId,
                                            HttpResponse response, EngineConnection &connection)
{
    const StopAnswer answer = this->draws.stopAnswer(run.name);
    this->runs.count("unframed stops " + std::string(toString(answer)));
    const bool isLost = answer == StopAnswer::Reset || answer == StopAnswer::Closed;
    if (isLost && !this->runs.hasUsableCopy(requestId))
        this->runs.lose(requestId, "lost answer without a copy");
    if (answer == StopAnswer::Reset) {
        connection.reset();
        co_return;
    }
    if (answer == StopAnswer::Closed) {
        connection.close();
        co_return;
    }
    if (answer == StopAnswer::Late)
        co_await pause(this->draws.answerDelay(run.name));
    co_await connection.send(std::move(response));
}

/** Returns the run of a request that is in progress, or nothing. */
std::shared_ptr<SoakEngine::Run> SoakEngine::findRun(const std::string &requestId) const
{
    const auto found = this->inProgress.find(requestId);
    return found == this->inProgress.end() ? nullptr : found->second;
}

net::awaitable<void> SoakEngine::waitForSilence()
{
    while (Clock::steady().now() < this->silentUntil)
        co_await pause(this->silentUntil - Clock::steady().now() + Milliseconds(1));
}

} // namespace sassafrasyard
