#include "gateway/relay/eventrelay.h"

#include "gateway/calls/hopheaders.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The dispatcher learns of progress at most this often; each report costs a message. */
constexpr Milliseconds progressInterval{250};
/** A pause of this many times the target pause means that the engine is lost or stuck. */
constexpr int silenceInPauses = 8;
constexpr Milliseconds shortestSilence{1000};
/** A resumable stream that has not begun after this many times the target tries another engine. */
constexpr int silenceInTargets = 2;
/** An engine copies a run's memory several times a second, so by then there is a copy. */
constexpr Milliseconds copyAge{400};
/** Parts of one stream; bounds what a request that crashes engines can do. */
constexpr std::uint32_t maximumParts = 6;
constexpr int streamStatus = 200;

} // namespace

EventRelay::EventRelay(GatewayServices &services, RoutedCall &call, HttpResponder &responder)
    : services(services)
    , call(call)
    , responder(responder)
    , lastEvent(call.metadata.lastEvent)
{
}

net::awaitable<void> EventRelay::run()
{
    bool goesOn = co_await this->placeAnew();
    while (goesOn) {
        ++this->partCount;
        BackendAttempt attempt(this->services, this->call);
        const AttemptResult result = co_await this->startPart(attempt);
        this->history.record(result.outcome);
        this->avoided.push_back(this->place.server);
        const bool isStream = result.outcome == AttemptOutcome::Answered
                && result.response.status == streamStatus;
        PartEnd partEnd = PartEnd::Lost;
        if (isStream) {
            const bool isOpen = co_await this->sendHeader(result.response);
            partEnd = PartEnd::CallerGone;
            if (isOpen)
                partEnd = co_await this->passOn(attempt);
        } else if (result.outcome == AttemptOutcome::Answered && !this->hasStarted
                   && !this->mayGoOn(result.outcome, result.response.status)) {
            this->reportPartEnd(WorkOutcome::Completed);
            this->dropCopy();
            co_await this->passOnAnswer(attempt, result.response);
            co_return;
        }
        if (partEnd == PartEnd::Complete) {
            attempt.release();
            this->reportPartEnd(WorkOutcome::Completed);
            this->dropCopy();
            this->dropMove();
            co_await this->responder.finish();
            co_return;
        }
        attempt.cancel();
        if (!isStream) {
            this->failure = result.failure;
            logEvent(LogEvent::AttemptFailed, "request", this->call.metadata.requestId,
                     "backend_server", this->place.server.toString(), "outcome",
                     toString(result.outcome), "detail", result.failure.detail);
        }
        const bool hasRun = result.outcome == AttemptOutcome::Unknown || isStream;
        this->reportPartEnd(hasRun ? WorkOutcome::Failed : WorkOutcome::RefusedByServer);
        goesOn = partEnd == PartEnd::Lost && !this->call.isCallerGone
                && this->partCount < maximumParts;
        if (goesOn && hasRun) {
            const bool isMoved = co_await this->takeMovedRun();
            if (isMoved || this->takeCopy())
                continue;
        }
        this->dropCopy();
        const AttemptOutcome outcome = isStream ? AttemptOutcome::Unknown : result.outcome;
        goesOn = goesOn && this->mayGoOn(outcome, result.response.status);
        if (goesOn)
            goesOn = co_await this->placeAnew();
    }
    co_await this->end();
}

net::awaitable<bool> EventRelay::placeAnew()
{
    WorkRequest work = this->call.work;
    work.avoided = this->avoided;
    if (this->partCount > 0)
        work.name = RequestName(work.name.toString() + "/" + std::to_string(this->partCount));
    Error refusal;
    const auto grant = co_await this->services.dispatch.acquire(work, refusal);
    if (!grant) {
        this->failure = refusal;
        co_return false;
    }
    this->place = {work.name, grant->server.name, grant->server.address, {}};
    const bool isLate = this->call.timeLeft(this->services.clock.now()) <= Milliseconds(0);
    if (isLate || this->call.isCallerGone || !this->services.servers.isUsable(this->place.server)) {
        this->reportPartEnd(WorkOutcome::Cancelled);
        this->failure = {ErrorCode::Overloaded, RunState::NotRun,
                         isLate ? "no backend server was free in time"
                                : "the backend server began to leave",
                         refusedRetryAfter};
        co_return false;
    }
    co_await this->reserveCopy();
    co_return true;
}

/** Goes on where the run's memory was copied to. @return whether there is such a place. */
bool EventRelay::takeCopy()
{
    if (!this->copy || !this->services.servers.isUsable(this->copy->server))
        return false;
    StreamPlace next = *std::exchange(this->copy, std::nullopt);
    next.source = MemoryCopy{next.address, this->call.metadata.requestId};
    this->goOnAt(std::move(next));
    return true;
}

/** Waits for the move of the run, if there is one. @return whether it goes on elsewhere. */
net::awaitable<bool> EventRelay::takeMovedRun()
{
    if (!this->move)
        co_return false;
    const auto ended = std::exchange(this->move, nullptr);
    auto next = co_await ended->finish();
    if (!next)
        co_return false;
    this->dropCopy();
    this->goOnAt(std::move(*next));
    co_return true;
}

void EventRelay::goOnAt(StreamPlace next)
{
    this->place = std::move(next);
    this->services.dispatch.reportPromoted(this->place.name);
    this->services.budget.recordRepeat(this->call.service->name, this->services.clock.now());
    logEvent(LogEvent::StreamContinued, "request", this->call.metadata.requestId, "backend_server",
             this->place.server.toString(), "last_event",
             this->lastEvent ? std::to_string(*this->lastEvent) : std::string("none"));
}

net::awaitable<void> EventRelay::reserveCopy()
{
    if (!this->call.service->engine || !this->call.service->engine->supportsBackup)
        co_return;
    WorkRequest work = this->call.work;
    work.name = RequestName(work.name.toString() + "/copy-" + std::to_string(this->partCount));
    work.avoided = {this->place.server};
    const auto server = co_await this->services.dispatch.reserveCopy(work, false);
    if (!server)
        co_return;
    const ServerEntry *entry = this->services.servers.find(*server);
    if (entry == nullptr)
        this->services.dispatch.releaseCopy(work.name);
    else
        this->copy = StreamPlace{work.name, *server, entry->address, {}};
}

void EventRelay::dropMove()
{
    if (this->move)
        this->move->abandon();
    this->move.reset();
}

void EventRelay::dropCopy()
{
    if (this->copy)
        this->services.dispatch.releaseCopy(this->copy->name);
    this->copy.reset();
}

net::awaitable<AttemptResult> EventRelay::startPart(BackendAttempt &attempt)
{
    if (this->place.source && !this->copy)
        co_await this->reserveCopy();
    const Milliseconds now = this->services.clock.now();
    ForwardingOrder order;
    order.server = this->place.server;
    order.patience = this->call.timeLeft(now);
    order.account = this->call.work.account;
    order.lastEvent = this->lastEvent;
    order.source = this->place.source;
    if (this->copy)
        order.backupAddress = this->copy->address;
    this->splitter.clear();
    this->partFirstEventAt.reset();
    this->isServerLeaving = false;
    const Milliseconds timeout = this->headerTimeout(now);
    co_return co_await attempt.start(this->place.address, order, timeout);
}

net::awaitable<EventRelay::PartEnd> EventRelay::passOn(BackendAttempt &attempt)
{
    const ActiveStreams::Registration registration(
            this->services.streams, this->place.server,
            [this, &attempt] { this->leaveServer(attempt); });
    if (!this->services.servers.isUsable(this->place.server))
        this->isServerLeaving = true;
    while (true) {
        const Milliseconds now = this->services.clock.now();
        if (this->call.timeLeft(now) <= Milliseconds(0))
            co_return PartEnd::Deadline;
        if (this->isServerLeaving && this->canSwitch(now))
            co_return PartEnd::Lost;
        if (this->isServerLeaving)
            this->startMove();
        Error reason;
        const Milliseconds timeout = this->pauseTimeout(now);
        const auto bytes = co_await attempt.read(timeout, reason);
        if (this->call.isCallerGone)
            co_return PartEnd::CallerGone;
        if (!bytes) {
            this->failure = reason;
            const bool isOver = this->call.timeLeft(this->services.clock.now()) <= Milliseconds(0);
            co_return isOver ? PartEnd::Deadline : PartEnd::Lost;
        }
        const bool isComplete = bytes->empty();
        this->splitter.append(*bytes);
        const bool isTaken = co_await this->passOnEvents();
        if (!isTaken)
            co_return PartEnd::CallerGone;
        if (!isComplete)
            continue;
        // A complete body may end without a blank line; its last bytes are the server's own.
        if (!this->splitter.remainder().empty()) {
            const bool isLastTaken = co_await this->responder.write(this->splitter.remainder());
            if (!isLastTaken)
                co_return PartEnd::CallerGone;
        }
        co_return PartEnd::Complete;
    }
}

net::awaitable<bool> EventRelay::passOnEvents()
{
    const EventBatch batch = this->splitter.takeEvents();
    if (batch.count == 0)
        co_return true;
    const Milliseconds now = this->services.clock.now();
    if (!this->partFirstEventAt)
        this->partFirstEventAt = now;
    if (batch.lastEvent)
        this->lastEvent = batch.lastEvent;
    this->eventCount += batch.count;
    this->reportProgress(now);
    co_return co_await this->responder.write(batch.bytes);
}

net::awaitable<bool> EventRelay::sendHeader(const HttpResponse &response)
{
    if (this->hasStarted)
        co_return true;
    this->hasStarted = true;
    co_return co_await this->responder.startStream(response.status,
                                                   withoutHopFields(response.headers));
}

/** Passes on an answer that is no stream. */
net::awaitable<void> EventRelay::passOnAnswer(BackendAttempt &attempt, HttpResponse response)
{
    const Milliseconds left =
            std::max(Milliseconds(1), this->call.timeLeft(this->services.clock.now()));
    auto body = co_await attempt.readAll(left, this->failure);
    if (!body) {
        co_await this->end();
        co_return;
    }
    attempt.release();
    response.headers = withoutHopFields(response.headers);
    response.body = std::move(*body);
    co_await this->responder.send(std::move(response));
}

/** Ends a call whose stream is not complete. */
net::awaitable<void> EventRelay::end()
{
    this->dropCopy();
    this->dropMove();
    if (this->hasStarted || this->call.isCallerGone) {
        if (!this->call.isCallerGone) {
            logEvent(LogEvent::StreamCut, "request", this->call.metadata.requestId,
                     "backend_server", this->place.server.toString(), "events",
                     std::to_string(this->eventCount), "detail", this->failure.detail);
        }
        this->responder.abort();
        co_return;
    }
    const Error error = finalError(this->history, this->failure);
    logEvent(LogEvent::CallRefused, "request", this->call.metadata.requestId, "reason",
             toString(error.code), "run_state", toString(error.runState), "detail", error.detail);
    co_await this->responder.send(this->services.codec.formatError(error));
}

/** Called while the relay reads; the read then fails if the run can go on elsewhere. */
void EventRelay::leaveServer(BackendAttempt &attempt)
{
    this->isServerLeaving = true;
    if (this->canSwitch(this->services.clock.now()))
        attempt.cancel();
    else
        this->startMove();
}

/** Moves the run unless it is still young, has a copy that survives or is on its way already. */
void EventRelay::startMove()
{
    const EngineProperties *engine =
            this->call.service->engine ? &*this->call.service->engine : nullptr;
    const bool hasCopy = this->copy && this->services.servers.isUsable(this->copy->server);
    if (this->move || hasCopy || !this->partFirstEventAt || engine == nullptr
        || !engine->supportsMoves) {
        return;
    }
    WorkRequest work = this->call.work;
    work.name = RequestName(work.name.toString() + "/move-" + std::to_string(this->partCount));
    work.avoided = {this->place.server};
    if (this->copy)
        work.avoided.push_back(this->copy->server);
    this->move = std::make_shared<MemoryMove>(this->services, this->place, std::move(work),
                                              this->call.metadata.requestId);
    this->move->start();
}

void EventRelay::reportProgress(Milliseconds now)
{
    if (this->reportedEvents > 0 && now - this->reportedAt < progressInterval)
        return;
    const std::uint32_t perEvent =
            this->call.service->engine ? this->call.service->engine->tokensPerEvent : 1;
    if (this->reportedEvents == 0)
        this->services.dispatch.reportFirstToken(this->place.name);
    this->services.dispatch.reportProgress(this->place.name, this->eventCount * perEvent);
    this->reportedEvents = this->eventCount;
    this->reportedAt = now;
}

void EventRelay::reportPartEnd(WorkOutcome outcome)
{
    this->services.dispatch.reportFinished(this->place.name, outcome);
}

Milliseconds EventRelay::headerTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    const Route &route = *this->call.route;
    const bool hasOther = route.isResumable && this->history.mayHaveRun + 1 < route.maximumAttempts;
    return hasOther ? std::min(left, silenceInTargets * route.targetLatency) : left;
}

Milliseconds EventRelay::pauseTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    if (!this->partFirstEventAt)
        return this->headerTimeout(now);
    const bool hasOther = this->copy.has_value() || this->call.route->isResumable;
    const Milliseconds silence =
            std::max(shortestSilence, silenceInPauses * this->call.route->targetPause);
    return hasOther ? std::min(left, silence) : left;
}

/** Returns whether a new run, or a first one, is permitted after an attempt. */
bool EventRelay::mayGoOn(AttemptOutcome outcome, int status)
{
    const Milliseconds now = this->services.clock.now();
    if (this->call.timeLeft(now) <= Milliseconds(0)
        || !mayTryAgain(*this->call.route, this->history, outcome, status)) {
        return false;
    }
    // Once a run may have produced events, only a resumable stream may start another.
    const bool hasRun = this->hasStarted || this->history.mayHaveRun > 0;
    if (hasRun && !this->call.route->isResumable)
        return false;
    return outcome == AttemptOutcome::NotSent
            || this->services.budget.tryRepeat(this->call.service->name, now);
}

bool EventRelay::canSwitch(Milliseconds now) const
{
    return this->copy && this->partFirstEventAt && now - *this->partFirstEventAt >= copyAge
            && this->services.servers.isUsable(this->copy->server);
}

} // namespace sassafrasyard
