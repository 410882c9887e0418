#include "gateway/relay/eventrelay.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"
#include "gateway/relay/callplacement.h"
#include "gateway/relay/peerrelay.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The interval between progress reports, each of which costs the dispatcher a message. */
constexpr Milliseconds progressInterval{250};
/** An engine that is silent for this multiple of the target pause counts as lost or stuck. */
constexpr int silenceTimeoutInPauses = 8;
constexpr Milliseconds minimumSilenceTimeout{1000};
/**
 * A resumable stream without a first event after this multiple of the target latency is started on
 * another engine.
 */
constexpr int firstEventTimeoutInTargets = 2;
/** The age from which a backup exists; engines copy several times a second. */
constexpr Milliseconds minimumBackupAge{400};
/** How often a stream without a copy tries to start one. */
constexpr Milliseconds copyAttemptInterval{1000};
/** How long an engine that declined to stop a run is not asked again. */
constexpr Milliseconds stopAttemptInterval{1000};
/** How long the last bytes of a run that has ended may take; its engine closes the stream. */
constexpr Milliseconds streamCloseTimeout{200};
/** The largest number of parts per stream; limits how many engines one request can crash. */
constexpr std::uint32_t maximumParts = 8;
/** The number of parts that a move may take: at the backup, at the moved copy or back again. */
constexpr std::uint32_t partsPerMove = 3;
/** How long an engine may take to stop a run that returns to it. */
constexpr Milliseconds stopAnswerTime{250};
/** How long an engine is asked to stop a run with a doubtful end; two answers may be lost. */
constexpr Milliseconds endConfirmationTime{4000};
/** How often the version of a running stream is recorded again, so that it does not expire. */
constexpr Milliseconds versionRecordInterval{30'000};
constexpr int streamStatus = 200;
constexpr std::string_view eventStreamType = "text/event-stream";
/** The longest event, in bytes; the deployments have events of a few thousand. */
constexpr std::size_t maximumEventBytes = 256U << 10U;

} // namespace

EventRelay::EventRelay(GatewayDependencies &dependencies, RoutedCall &call,
                       HttpResponder &responder)
    : dependencies(dependencies)
    , call(call)
    , responder(responder)
    , stops(dependencies, call)
    , silenceWatch(dependencies.context, [this] { this->stopSilentRun(); })
    , lastEvent(call.metadata.lastEvent)
{
}

EventRelay::~EventRelay() = default;

net::awaitable<void> EventRelay::run()
{
    bool hasNextPart = co_await this->bindToVersion();
    if (hasNextPart)
        hasNextPart = co_await this->placeNewRun();
    while (hasNextPart) {
        AttemptResult result;
        if (this->replacement)
            result = this->beginReplacement();
        else
            result = co_await this->startPart();
        const bool isAnswered = result.outcome == AttemptOutcome::Answered;
        const bool isStream = isAnswered && this->isPartOfStream(result.response);
        if (isAnswered && !isStream && !this->hasStarted
            && !this->mayStartNewRun(result.outcome, result.response.status)) {
            co_await this->forwardAnswer(result.response);
            co_return;
        }
        ReadEnd readEnd = ReadEnd::Lost;
        if (isStream) {
            this->doubtfulEnd.reset();
            this->stops.dropFormer();
            const bool isOpen = co_await this->sendHeader(result.response);
            readEnd = ReadEnd::CallerGone;
            if (isOpen)
                readEnd = co_await this->forwardPart();
            this->silenceWatch.restart(std::nullopt);
        }
        if (readEnd == ReadEnd::Complete) {
            co_await this->complete();
            co_return;
        }
        hasNextPart = false;
        if (isStream)
            this->recordLoss(this->dependencies.clock.now());
        if (readEnd == ReadEnd::Replaced) {
            hasNextPart = true;
        } else if (readEnd == ReadEnd::Lost && !this->call.isCallerGone) {
            hasNextPart = co_await this->findNextPart(result, isStream);
            if (this->isEndConfirmed) {
                co_await this->finishStream();
                co_return;
            }
        } else {
            this->cutDecision = readEnd == ReadEnd::Deadline ? this->deadlineDecision()
                                                             : StreamCutDecision::CallerUnwritable;
            this->reportPartEnd(WorkOutcome::Cancelled);
        }
    }
    co_await this->end();
}

/**
 * Binds a stream that its caller resumes to the software version that began it.
 *
 * @return false if the stream is refused, because the version is unknown or no server of it is
 *     usable. Waiting would not help, so no retry time is stated.
 */
net::awaitable<bool> EventRelay::bindToVersion()
{
    if (!this->lastEvent)
        co_return true;
    // The search may take longer than the stop leaves.
    if (isBeyondStop(this->dependencies, this->call)) {
        this->failure = stoppingError();
        co_return false;
    }
    const auto version = co_await this->findVersion();
    if (!version && this->dependencies.serving.isDraining()) {
        // Another host can wait for what a stopping one does not learn any more.
        this->failure = stoppingError();
        co_return false;
    }
    if (!version) {
        this->refuseContinuation("unknown", "the software version of the stream is unknown");
        co_return false;
    }
    if (this->dependencies.servers.usableServers(this->call.service->name, version).empty()) {
        this->refuseContinuation(version->toString(),
                                 "no backend server of the stream's software version is usable");
        co_return false;
    }
    this->call.work.softwareVersion = version;
    co_return true;
}

/**
 * Returns the software version of the stream that the caller resumes, and chooses its service: on a
 * route with several services another one may have been drawn for this call.
 */
net::awaitable<std::optional<SoftwareVersion>> EventRelay::findVersion()
{
    // Without the name of the first call, only the sole version of a service can be known.
    const RunKey run = RunKey::of(this->call.work.account, this->call.metadata.resumes);
    std::vector<std::string> services{this->call.service->name};
    for (const ServiceShare &share : this->call.route->services) {
        if (share.service != services.front())
            services.push_back(share.service);
    }
    for (const std::string &name : services) {
        const Service *service = this->call.configuration->findService(name);
        if (service == nullptr)
            continue;
        std::optional<SoftwareVersion> version;
        if (services.size() == 1)
            version =
                    co_await this->dependencies.runVersions.find(run, name, this->call.deadlineAt);
        else
            version = co_await this->dependencies.runVersions.findStated(run, name);
        if (!version)
            continue;
        this->call.service = service;
        this->call.work.model = ModelName(name);
        co_return version;
    }
    co_return std::nullopt;
}

void EventRelay::refuseContinuation(std::string_view version, std::string detail)
{
    logEvent(LogEvent::ResumptionRefused, "request", this->call.metadata.requestId, "resumes",
             this->call.metadata.resumes, "version", std::string(version), "reason", detail);
    this->failure = {ErrorCode::NoBackendServer, RunState::NotRun, std::move(detail), {}};
}

/** Records the version of the server for a caller that resumes the stream later. */
void EventRelay::recordVersion(Milliseconds now)
{
    const CallMetadata &metadata = this->call.metadata;
    const std::string &identifier = metadata.lastEvent ? metadata.resumes : metadata.requestId;
    if (!this->call.route->isResumable || !this->placement.softwareVersion || identifier.empty())
        return;
    this->dependencies.runVersions.record(RunKey::of(this->call.work.account, identifier),
                                          this->call.service->name,
                                          *this->placement.softwareVersion);
    this->versionRecordedAt = now;
}

net::awaitable<bool> EventRelay::placeNewRun()
{
    std::string name = this->call.work.name.toString();
    if (this->stops.part() > 0)
        name += "/" + std::to_string(this->stops.part());
    Error refusal;
    auto placed = co_await this->placeRun(std::move(name), refusal);
    if (!placed) {
        this->failure = refusal;
        co_return false;
    }
    this->placement = std::move(*placed);
    if (this->stops.part() == 0)
        this->placedAfter = this->dependencies.clock.now() - this->call.receivedAt;
    co_return true;
}

/**
 * Lets the dispatcher choose a server for a run that reads the whole prompt.
 *
 * @param name the request name of the run, which must be new.
 * @param refusal receives why there is no server.
 */
net::awaitable<std::optional<StreamPlacement>> EventRelay::placeRun(std::string name,
                                                                    Error &refusal)
{
    WorkRequest work = this->call.work;
    work.avoided = this->avoided;
    work.name = RequestName(std::move(name));
    const auto grant = co_await placeCall(this->dependencies, this->call, std::move(work), refusal);
    if (!grant)
        co_return std::nullopt;
    StreamPlacement placed{
            grant->assignment.request, grant->server.name, grant->server.address, {}, false, {}};
    if (const ServerEntry *entry = this->dependencies.servers.find(grant->server.name))
        placed.softwareVersion = entry->softwareVersion;
    co_return placed;
}

/** Resets what is known of the former part. */
void EventRelay::beginPart(Milliseconds now)
{
    this->silenceWatch.restart(std::nullopt);
    this->splitter.clear();
    this->processState = ProcessState::Unasked;
    this->partFirstEventAt.reset();
    this->partStartedAt = now;
}

net::awaitable<AttemptResult> EventRelay::startPart()
{
    this->stops.beginPart();
    if (!this->backup)
        co_await this->reserveBackup(this->placement);
    const Milliseconds now = this->dependencies.clock.now();
    this->beginPart(now);
    this->attempt = std::make_unique<BackendAttempt>(this->dependencies, this->call);
    const ForwardingOrder order = this->makeOrder(this->placement, now);
    const Milliseconds timeout = this->headerTimeout(now);
    const AttemptResult result =
            co_await this->attempt->start(this->placement.address, order, timeout);
    if (this->attempt->softwareVersion())
        this->placement.softwareVersion = this->attempt->softwareVersion();
    this->history.record(result.outcome);
    this->avoided.push_back(this->placement.server);
    if (result.outcome != AttemptOutcome::Answered) {
        this->failure = result.failure;
        recordFailedAttempt(this->dependencies.entry.metrics, this->call, this->placement.server,
                            result.outcome, result.failure);
    }
    co_return result;
}

/** Forwards a part of the stream. @return why that ended. */
net::awaitable<EventRelay::ReadEnd> EventRelay::forwardPart()
{
    if (!this->isUnframedEventStream())
        co_return co_await this->forwardStream();
    const ServerProcess process = this->attempt->serverProcess();
    ProcessChecks &checks = this->dependencies.processChecks;
    checks.beginStream(this->dependencies.context.get_executor(), process);
    const ReadEnd readEnd = co_await this->forwardStream();
    checks.endStream(process);
    co_return readEnd;
}

net::awaitable<EventRelay::ReadEnd> EventRelay::forwardStream()
{
    this->watchFirstEvent();
    while (true) {
        const Milliseconds now = this->dependencies.clock.now();
        if (this->call.timeLeft(now) <= Milliseconds(0))
            co_return ReadEnd::Deadline;
        if (this->dependencies.servers.isUsable(this->placement.server))
            this->ensureCopy(now);
        else
            this->moveFromLeavingEngine(now);
        Error reason;
        const Milliseconds timeout = this->pauseTimeout(now);
        const auto bytes = co_await this->attempt->read(timeout, reason);
        const bool isInterrupted = std::exchange(this->isReplacementDue, false) && !bytes
                && reason.code == ErrorCode::Timeout;
        if (this->call.isCallerGone)
            co_return ReadEnd::CallerGone;
        const bool isOver = this->call.timeLeft(this->dependencies.clock.now()) <= Milliseconds(0);
        if (isInterrupted && !isOver) {
            const bool isReplaced = co_await this->replaceSilentRun();
            if (isReplaced)
                co_return ReadEnd::Replaced;
            const bool isForwarded = co_await this->forwardEvents();
            if (!isForwarded)
                co_return ReadEnd::CallerGone;
            continue;
        }
        if (!bytes) {
            this->failure = reason;
            co_return isOver ? ReadEnd::Deadline : ReadEnd::Lost;
        }
        const bool isEnd = bytes->empty();
        this->splitter.append(*bytes);
        const bool isForwarded = co_await this->forwardEvents();
        if (!isForwarded)
            co_return ReadEnd::CallerGone;
        if (isEnd)
            co_return co_await this->finishBody();
        if (this->splitter.remainder().size() > maximumEventBytes) {
            this->failure = {ErrorCode::ProtocolViolation,
                             RunState::OutcomeUnknown,
                             "an event exceeds the size limit",
                             {}};
            co_return ReadEnd::Lost;
        }
    }
}

net::awaitable<bool> EventRelay::forwardEvents()
{
    const EventBatch batch = this->splitter.takeEvents(this->lastEvent);
    if (batch.count == 0)
        co_return true;
    const Milliseconds now = this->dependencies.clock.now();
    this->recordPause(now);
    if (!this->partFirstEventAt)
        this->partFirstEventAt = now;
    this->stops.recordEvent();
    this->watchSilence();
    if (batch.lastEvent)
        this->lastEvent = batch.lastEvent;
    const bool isFirst = this->eventCount == 0;
    this->eventCount += batch.count;
    // From its first event on, a stream continues only on the version that began it.
    if (!this->call.work.softwareVersion)
        this->call.work.softwareVersion = this->placement.softwareVersion;
    if (isFirst || now - this->versionRecordedAt >= versionRecordInterval)
        this->recordVersion(now);
    this->reportProgress(now);
    co_return co_await this->responder.write(batch.bytes);
}

/** Decides whether the regular end of the body is that of the stream. */
net::awaitable<EventRelay::ReadEnd> EventRelay::finishBody()
{
    if (this->endsInsideEvent()) {
        this->failure = {ErrorCode::BackendServerLost,
                         RunState::OutcomeUnknown,
                         "the stream ended inside an event",
                         {}};
        co_return ReadEnd::Lost;
    }
    const Milliseconds endedAt = this->dependencies.clock.now();
    const bool isUnframed = this->attempt->bodyFraming() == BodyFraming::Close;
    // The engine stops at the same deadline, and closes the stream without its end.
    if (isUnframed && this->call.timeLeft(endedAt) <= Milliseconds(0)) {
        this->failure = {ErrorCode::Timeout,
                         RunState::OutcomeUnknown,
                         "the stream was closed without framing after its deadline",
                         {}};
        co_return ReadEnd::Deadline;
    }
    const BodyEnd bodyEnd = co_await this->findBodyEnd();
    if (this->call.isCallerGone)
        co_return ReadEnd::CallerGone;
    if (bodyEnd == BodyEnd::Complete) {
        const bool isForwarded = co_await this->forwardRemainder();
        co_return isForwarded ? ReadEnd::Complete : ReadEnd::CallerGone;
    }
    const Milliseconds now = this->dependencies.clock.now();
    recordBrokenEnd(this->dependencies.entry.metrics, this->call, this->placement.server,
                    this->stopEffect(), this->processState, now - endedAt);
    if (bodyEnd == BodyEnd::Doubtful) {
        this->doubtfulEnd = DoubtfulEnd{this->stops.part(), this->placement,
                                        this->attempt->serverProcess(), this->processState};
        this->stops.endBy(now + endConfirmationTime);
    }
    if (this->processState == ProcessState::Unknown)
        co_await this->attempt->recordBreakOff();
    this->failure = {ErrorCode::BackendServerLost,
                     RunState::OutcomeUnknown,
                     "the stream was closed without framing, and nothing shows that it is complete",
                     {}};
    co_return this->call.timeLeft(now) <= Milliseconds(0) ? ReadEnd::Deadline : ReadEnd::Lost;
}

/**
 * Returns what the regular end of the body shows, if need be after an answer of the engine.
 *
 * A backup is kept until its run has ended successfully. So while the answer to a request to stop
 * the run is outstanding, its engine tells a stopped run from one that has ended: it takes the
 * continuation of the former at once, and refuses that of the latter.
 */
net::awaitable<BodyEnd> EventRelay::findBodyEnd()
{
    // The engine has closed the stream, so its silence is no reason to stop the run any more.
    this->silenceWatch.restart(std::nullopt);
    while (true) {
        // Only a stream is broken off between two events; other bodies end as the pages say.
        const BodyEnd end = bodyEndOf(
                this->attempt->bodyFraming().value_or(BodyFraming::Close), this->stopEffect(),
                this->isEventStream() ? this->processState : ProcessState::Outlived);
        const bool isOver = this->call.timeLeft(this->dependencies.clock.now()) <= Milliseconds(0);
        if (this->call.isCallerGone || isOver)
            co_return end;
        if (end == BodyEnd::AwaitsProcess)
            this->processState = co_await this->checkProcess(this->attempt->serverProcess());
        else if (end == BodyEnd::AwaitsAnswer && this->stops.hasUsableBackup())
            co_return BodyEnd::Doubtful;
        else if (end == BodyEnd::AwaitsAnswer)
            co_await this->stops.waitForAnswer(this->stops.part());
        else
            co_return end;
    }
}

/** Returns whether a process has outlived a stream that it has closed. */
net::awaitable<ProcessState> EventRelay::checkProcess(ServerProcess process)
{
    const Milliseconds now = this->dependencies.clock.now();
    const net::any_io_executor executor = this->dependencies.context.get_executor();
    const auto wait = std::make_shared<net::steady_timer>(
            executor, std::max(Milliseconds(1), this->call.timeLeft(now)));
    this->call.cancelHooks[wait.get()] = [wait] {
        wait->expires_at(net::steady_timer::time_point::min());
    };
    const ProcessState state = co_await this->dependencies.processChecks.check(
            executor, this->dependencies.engines, std::move(process), wait);
    this->call.cancelHooks.erase(wait.get());
    this->dependencies.entry.metrics.count("sassafrasyard_process_checks_total",
                                           {{"process", std::string(toString(state))}});
    co_return state;
}

/** Returns whether the body ended inside an event, which shows that the engine broke it off. */
bool EventRelay::endsInsideEvent() const
{
    // Blank lines after the last event begin no other one.
    const bool hasText = this->splitter.remainder().find_first_not_of("\r\n") != std::string::npos;
    return this->isEventStream() && hasText;
}

bool EventRelay::isEventStream() const
{
    return this->eventCount > 0 || this->streamMediaType == eventStreamType;
}

/** Returns whether only the close of its connection ends the current part. */
bool EventRelay::isUnframedEventStream() const
{
    return this->isEventStream() && this->attempt->bodyFraming() == BodyFraming::Close;
}

/** Forwards the body of a response that is no event stream. */
net::awaitable<bool> EventRelay::forwardRemainder()
{
    if (this->splitter.remainder().empty())
        co_return true;
    co_return co_await this->responder.write(this->splitter.remainder());
}

net::awaitable<bool> EventRelay::sendHeader(const HttpResponse &response)
{
    if (this->hasStarted)
        co_return true;
    this->hasStarted = true;
    this->call.hasResponseStarted = true;
    this->streamMediaType = mediaTypeOf(response.headers);
    HttpHeaders headers = withoutHopFields(response.headers);
    co_return co_await this->responder.startStream(response.status, std::move(headers));
}

/**
 * Returns whether the body of a response belongs to the stream. Once the stream has begun, an error
 * of the next engine must not reach the caller as its events.
 */
bool EventRelay::isPartOfStream(const HttpResponse &response)
{
    const bool isContinuation =
            !this->hasStarted || mediaTypeOf(response.headers) == this->streamMediaType;
    if (response.status == streamStatus && isContinuation)
        return true;
    this->failure = {ErrorCode::ProtocolViolation,
                     RunState::OutcomeUnknown,
                     "the engine responded with status " + std::to_string(response.status)
                             + " and media type " + mediaTypeOf(response.headers),
                     {}};
    return false;
}

/** Forwards a response that is not a stream. */
net::awaitable<void> EventRelay::forwardAnswer(HttpResponse response)
{
    this->reportPartEnd(WorkOutcome::Completed);
    const Milliseconds left =
            std::max(Milliseconds(1), this->call.timeLeft(this->dependencies.clock.now()));
    auto body = co_await this->attempt->readAll(left, this->failure);
    if (!body) {
        co_await this->end();
        co_return;
    }
    this->attempt->release();
    this->dropBackup();
    recordCall(this->dependencies.entry.metrics, this->call.route->kind,
               statusClass(response.status),
               this->dependencies.clock.now() - this->call.receivedAt);
    response.headers = withoutHopFields(response.headers);
    response.body = std::move(*body);
    co_await this->responder.send(std::move(response));
}

/** Finds a server for the next part after a part that was lost or did not start. */
net::awaitable<bool> EventRelay::findNextPart(const AttemptResult &result, bool wasStream)
{
    this->attempt->cancel();
    const bool hasRun = wasStream || result.outcome == AttemptOutcome::Unknown;
    this->reportPartEnd(hasRun ? WorkOutcome::Failed : WorkOutcome::RefusedByServer);
    const bool isOver = this->call.timeLeft(this->dependencies.clock.now()) <= Milliseconds(0);
    if (isOver || this->stops.part() >= maximumParts) {
        this->cutDecision = isOver ? this->deadlineDecision() : StreamCutDecision::PartLimitReached;
        co_return false;
    }
    if (hasRun) {
        // The request would crash the engine of a copy as well.
        const bool isRefused = co_await this->dependencies.dispatch.isQuarantined(this->call.work);
        if (isRefused) {
            this->failure = {ErrorCode::RequestQuarantined,
                             RunState::OutcomeUnknown,
                             "the request has crashed several backend servers",
                             {}};
            this->cutDecision = StreamCutDecision::RequestQuarantined;
            co_return false;
        }
        // A continuation names the last event that the caller has; without one it is a second run.
        if (!this->lastEvent && !this->call.route->isResumable) {
            this->dropCopies();
            this->cutDecision = StreamCutDecision::NoContinuation;
            co_return false;
        }
        // A continuation that may have run shows that the run before it had not come to its end.
        if (!wasStream)
            this->doubtfulEnd.reset();
        // An engine that has closed a stream in order does not work on its run any more.
        bool hasEnded = this->doubtfulEnd.has_value();
        if (!hasEnded)
            hasEnded = co_await this->ensureRunEnded();
        if (!hasEnded || this->call.isCallerGone) {
            this->cutDecision = StreamCutDecision::RunNotEnded;
            co_return false;
        }
    }
    bool isContinued = false;
    if (this->doubtfulEnd)
        isContinued = co_await this->continueDoubtfulEnd(hasRun);
    else
        isContinued = co_await this->continueFromCopy(hasRun);
    if (isContinued || this->isEndConfirmed)
        co_return isContinued;
    this->dropCopies();
    const AttemptOutcome outcome = wasStream ? AttemptOutcome::Unknown : result.outcome;
    this->cutDecision = StreamCutDecision::NoContinuation;
    if (!this->mayStartNewRun(outcome, result.response.status))
        co_return false;
    this->cutDecision = StreamCutDecision::NoPlacement;
    co_return co_await this->placeNewRun();
}

/** Returns whether a doubtful end is shown to be that of the run, if need be after an answer. */
net::awaitable<bool> EventRelay::isEndShown()
{
    DoubtfulEnd &end = *this->doubtfulEnd;
    co_await this->stops.waitForAnswer(end.part);
    BodyEnd shown = bodyEndOf(BodyFraming::Close, this->stopEffect(), end.processState);
    if (shown == BodyEnd::AwaitsProcess) {
        end.processState = co_await this->checkProcess(end.process);
        shown = bodyEndOf(BodyFraming::Close, this->stopEffect(), end.processState);
    }
    co_return shown == BodyEnd::Complete && !this->call.isCallerGone;
}

/**
 * Continues a run with a doubtful end; a continuation of a run that had come to its end adds
 * nothing. isEndConfirmed tells whether there is evidence of the end instead.
 *
 * @param hasRun as for continueFromCopy().
 */
net::awaitable<bool> EventRelay::continueDoubtfulEnd(bool hasRun)
{
    // An answer that was outstanding when a backup was tried may show the end.
    if (!hasRun)
        this->isEndConfirmed = co_await this->isEndShown();
    if (this->isEndConfirmed || this->call.isCallerGone)
        co_return false;
    const bool isContinued = co_await this->continueFromCopy(hasRun);
    if (isContinued)
        co_return true;
    const bool mayAsk = this->stopEffect() == StopEffect::Declined && this->canAskEngine()
            && !std::exchange(this->doubtfulEnd->isAsked, true);
    if (!mayAsk)
        co_return false;
    // No copy can tell, so the engine that declined is asked once more.
    this->startStop(this->doubtfulEnd->placement, true);
    co_await this->stops.finish();
    this->isEndConfirmed = this->stops.outcome() == toString(RunEvidence::EngineHasNoRun);
    if (this->isEndConfirmed || this->call.isCallerGone)
        co_return false;
    co_return co_await this->continueFromCopy(false);
}

net::awaitable<void> EventRelay::complete()
{
    this->attempt->release();
    this->reportPartEnd(WorkOutcome::Completed);
    co_await this->finishStream();
}

/** Ends the response to the caller as complete. */
net::awaitable<void> EventRelay::finishStream()
{
    this->dropCopies();
    co_await this->responder.finish();
    recordStreamEnd(this->dependencies.entry.metrics, framingName(this->framing()),
                    this->stopEffect());
    this->logEnd("complete");
}

/** Ends a call whose stream is incomplete. */
net::awaitable<void> EventRelay::end()
{
    if (this->attempt)
        this->attempt->cancel();
    this->dropCopies();
    if (this->hasStarted || this->call.isCallerGone) {
        if (!this->call.isCallerGone)
            this->recordCut();
        this->responder.abort();
        this->logEnd(this->call.isCallerGone ? "caller_gone" : "cut");
        co_return;
    }
    PeerRelay peerRelay(this->dependencies, this->call, this->responder);
    const bool isRelayed = co_await peerRelay.runAfter(this->history, this->failure);
    if (isRelayed)
        co_return;
    Error error = finalError(this->history, this->failure);
    // A version that is gone does not return, so waiting would not help.
    if (this->call.work.softwareVersion && this->failure.code == ErrorCode::NoBackendServer)
        error.retryAfter = this->failure.retryAfter;
    recordRefusal(this->dependencies.entry.metrics, this->call, error);
    HttpResponse refusal = this->dependencies.codec.formatError(error);
    stateAttempts(this->call, refusal);
    co_await this->responder.send(std::move(refusal));
}

ForwardingOrder EventRelay::makeOrder(const StreamPlacement &at, Milliseconds now) const
{
    ForwardingOrder order;
    order.server = at.server;
    order.remainingTime = this->call.timeLeft(now);
    order.account = this->call.work.account;
    order.lastEvent = this->lastEvent;
    order.source = at.source;
    order.isReturn = at.isReturn;
    order.softwareVersion = this->call.work.softwareVersion;
    if (!order.softwareVersion)
        order.softwareVersion = at.softwareVersion;
    if (this->backup && this->backup->server != at.server)
        order.backupAddress = this->backup->address;
    return order;
}

/** Returns the request to the dispatcher for a further copy of the run. */
WorkRequest EventRelay::makeCopyRequest(std::string_view purpose)
{
    WorkRequest work = this->call.work;
    work.isPrefillNeeded = false;
    work.name = RequestName(work.name.toString() + "/" + std::string(purpose) + "-"
                            + std::to_string(++this->copyCount));
    return work;
}

/** Reserves memory on another engine for a backup that grows with the run. */
net::awaitable<void> EventRelay::reserveBackup(const StreamPlacement &source)
{
    if (!this->needsCopy() || !this->engine()->supportsBackup || !source.softwareVersion)
        co_return;
    const SoftwareVersion version = *source.softwareVersion;
    WorkRequest work = this->makeCopyRequest("copy");
    work.softwareVersion = version;
    work.avoided = {source.server, this->placement.server};
    const auto server = co_await this->dependencies.dispatch.reserveCopy(work, false);
    if (!server)
        co_return;
    const ServerEntry *entry = this->dependencies.servers.find(*server);
    if (entry != nullptr && this->dependencies.servers.canContinue(*server, version))
        this->backup = StreamPlacement{work.name, *server, entry->address, {}, false, version};
    else
        this->dependencies.dispatch.releaseCopy(work.name);
}

/**
 * Returns whether the run should be copied; a resumable stream is run again instead, which saves
 * memory on a second engine.
 */
bool EventRelay::needsCopy() const
{
    return this->engine() != nullptr && !this->call.route->isResumable;
}

bool EventRelay::isBackupUsable() const
{
    return this->backup && this->isUsable(*this->backup);
}

/** Returns whether the stream may continue from a copy at a placement. */
bool EventRelay::isUsable(const StreamPlacement &copy) const
{
    const auto &version = this->placement.softwareVersion;
    return version && this->dependencies.servers.canContinue(copy.server, *version)
            && !this->dependencies.reachability.pauseLeft(copy.server);
}

void EventRelay::dropBackup()
{
    if (this->backup)
        this->dependencies.dispatch.releaseCopy(this->backup->name);
    this->backup.reset();
}

void EventRelay::dropDeclinedCopy()
{
    if (this->declinedCopy)
        this->dependencies.dispatch.releaseCopy(this->declinedCopy->name);
    this->declinedCopy.reset();
}

/** Releases all that is reserved for a continuation. */
void EventRelay::dropCopies()
{
    this->stops.drop();
    this->dropBackup();
    this->dropRefreshedCopy();
    this->dropDeclinedCopy();
}

void EventRelay::dropRefreshedCopy()
{
    if (this->refreshedCopy)
        this->refreshedCopy->abandon();
    this->refreshedCopy.reset();
}

/**
 * Continues from a copy of the run's memory.
 *
 * @param hasRun whether the part that ended had run; the backup of one that was refused is empty.
 * @return whether there is a usable copy.
 */
net::awaitable<bool> EventRelay::continueFromCopy(bool hasRun)
{
    if (!hasRun)
        this->dropBackup();
    auto next = co_await this->stops.takeContinuation();
    if (next) {
        this->continueAt(std::move(*next));
        co_return true;
    }
    // A copy that the engine completed holds the run, also if a part that came after it was
    // refused.
    const bool isContinued = co_await this->continueFromRefreshedCopy();
    co_return isContinued || this->continueFromBackup() || this->continueFromDeclinedCopy();
}

/** Continues from the backup. @return whether there is a usable one. */
bool EventRelay::continueFromBackup()
{
    auto next = this->takeBackup();
    if (!next)
        return false;
    this->continueAt(std::move(*next));
    return true;
}

/** Continues from the copy that a declined request to stop the run named, if it is usable. */
bool EventRelay::continueFromDeclinedCopy()
{
    auto next = this->takeDeclinedCopy();
    if (!next)
        return false;
    this->continueAt(std::move(*next));
    return true;
}

/** Returns the copy that a declined request to stop the run named, or nothing if not usable. */
std::optional<StreamPlacement> EventRelay::takeDeclinedCopy()
{
    if (!this->declinedCopy || !this->isUsable(*this->declinedCopy))
        return std::nullopt;
    return std::exchange(this->declinedCopy, std::nullopt);
}

/** Returns the placement of the backup if it is usable, and releases it from its role as backup. */
std::optional<StreamPlacement> EventRelay::takeBackup()
{
    if (!this->isBackupUsable())
        return std::nullopt;
    auto next = std::exchange(this->backup, std::nullopt);
    next->source = MemoryCopy{next->address, this->call.metadata.requestId};
    return next;
}

/** Continues from the refreshed copy. @return whether there is a usable one. */
net::awaitable<bool> EventRelay::continueFromRefreshedCopy()
{
    if (!this->refreshedCopy)
        co_return false;
    const auto takenCopy = std::exchange(this->refreshedCopy, nullptr);
    auto next = co_await takenCopy->waitAndTake();
    if (!next)
        co_return false;
    this->dropBackup();
    this->continueAt(std::move(*next));
    co_return true;
}

void EventRelay::continueAt(StreamPlacement next)
{
    this->placement = std::move(next);
    if (this->placement.isReturn)
        this->stopDeclinedAt = this->dependencies.clock.now();
    this->dependencies.dispatch.reportPromoted(this->placement.name);
    this->dependencies.budget.recordRetry(this->call.service->name, this->dependencies.clock.now());
    this->logContinuation();
}

void EventRelay::logContinuation() const
{
    logEvent(LogEvent::StreamContinued, "request", this->call.metadata.requestId, "backend_server",
             this->placement.server.toString(), "version",
             this->placement.softwareVersion.value_or(SoftwareVersion("unknown")).toString(),
             "last_event",
             this->lastEvent ? std::to_string(*this->lastEvent) : std::string("none"));
}

/** Returns what ended the body of the last part with events. */
std::optional<BodyFraming> EventRelay::framing() const
{
    if (this->doubtfulEnd)
        return BodyFraming::Close;
    return this->attempt ? this->attempt->bodyFraming() : std::nullopt;
}

/** Starts a refreshed copy if the run has no copy. */
void EventRelay::ensureCopy(Milliseconds now)
{
    if (!this->needsCopy() || this->stops.hasCurrent() || this->isBackupUsable()
        || !this->partFirstEventAt || now - *this->partFirstEventAt < copyAttemptInterval) {
        return;
    }
    if (this->refreshedCopy && this->refreshedCopy->hasFailed())
        this->dropRefreshedCopy();
    if (!this->refreshedCopy && now - this->copyAttemptedAt >= copyAttemptInterval)
        this->startRefreshedCopy(false, now);
}

/** Moves the run to its copy before the leaving engine exits. */
void EventRelay::moveFromLeavingEngine(Milliseconds now)
{
    const bool hasDeclined =
            this->stopDeclinedAt && now - *this->stopDeclinedAt < stopAttemptInterval;
    const bool mayFail = this->stops.part() + partsPerMove <= maximumParts;
    const bool canMove = this->needsCopy() && this->canAskEngine();
    if (this->stops.hasCurrent() || !this->partFirstEventAt || hasDeclined || !mayFail || !canMove)
        return;
    if (this->refreshedCopy && this->refreshedCopy->hasFailed())
        this->dropRefreshedCopy();
    // A backup may be incomplete, and then its engine refuses the run, which has to return.
    const auto returnableUntil = this->dependencies.servers.returnableUntil(this->placement.server);
    const bool mayUseBackup =
            this->isBackupUsable() && returnableUntil && now + stopAnswerTime < *returnableUntil;
    const bool hasCopy = this->refreshedCopy && this->refreshedCopy->isReady();
    if (mayUseBackup ? now - *this->partFirstEventAt >= minimumBackupAge : hasCopy)
        this->startStop(this->placement, false);
    else if (!mayUseBackup && !this->refreshedCopy
             && now - this->copyAttemptedAt >= progressInterval)
        this->startRefreshedCopy(true, now);
}

/**
 * Waits until the run that has lost its connection has ended at its engine.
 *
 * @return false if the engine may still work on it, so that it can't continue elsewhere.
 */
net::awaitable<bool> EventRelay::ensureRunEnded()
{
    const bool hasCopy = this->isBackupUsable() || this->refreshedCopy || this->declinedCopy
            || this->stops.hasFormer();
    if (!this->canAskEngine() || this->stops.hasEnded())
        co_return true;
    if (this->stops.hasCurrent())
        co_return co_await this->stops.confirmEnd();
    if (!hasCopy && !this->call.route->isResumable) {
        // A backup that becomes usable later must not be used without the request.
        this->dropBackup();
        co_return true;
    }
    this->startStop(this->placement, false);
    const RunStop::Result result = co_await this->stops.finish();
    co_return result == RunStop::Result::Ended;
}

/** Returns whether the engine can be told to stop a run. */
bool EventRelay::canAskEngine() const
{
    return this->engine() != nullptr && this->engine()->supportsMoves;
}

/**
 * Starts to stop a run, which then continues from its backup or its refreshed copy, if any.
 *
 * @param source the placement of the run.
 * @param isAskedOnce whether the first answer ends stopping, whatever it says.
 */
void EventRelay::startStop(const StreamPlacement &source, bool isAskedOnce)
{
    RunStopOrder order;
    order.service = this->call.service->name;
    order.source = source;
    if (this->refreshedCopy && this->refreshedCopy->isReady()) {
        order.target = this->refreshedCopy->take();
        this->dropRefreshedCopy();
    }
    const bool isTargetBackup = !order.target && this->isBackupUsable();
    if (isTargetBackup)
        order.target = this->takeBackup();
    if (!order.target)
        order.target = this->takeDeclinedCopy();
    if (!order.target) {
        order.work = this->makeCopyRequest("stopped");
        order.work.softwareVersion = source.softwareVersion;
        order.work.avoided = {source.server};
    }
    order.requestId = this->call.metadata.requestId;
    order.isResumable = this->call.route->isResumable;
    order.endAt = this->call.deadlineAt;
    order.isAskedOnce = isAskedOnce;
    order.mayBeCopying = [requests = this->copyRequests] {
        return requests->mayBeInProgress();
    };
    this->stops.start(std::move(order), isTargetBackup,
                      [this](RunStop::Result result) { this->onStopEnd(result); });
}

/** Returns what the requests to stop a run may have done to that of the last part with events. */
StopEffect EventRelay::stopEffect() const
{
    if (this->doubtfulEnd)
        return this->stops.effect(this->doubtfulEnd->part, this->doubtfulEnd->placement.server);
    return this->stops.effect(this->stops.part(), this->placement.server);
}

/**
 * Called when no event has arrived for a time although the stream is open.
 *
 * A live engine may be silent, such as after it has preempted the run, and other engines may have
 * no room then. So its run is stopped only if a complete copy holds a place on another engine.
 */
void EventRelay::stopSilentRun()
{
    if (this->stops.hasEnded()) {
        this->attempt->cancel();
        return;
    }
    const Milliseconds now = this->dependencies.clock.now();
    if (this->refreshedCopy && this->refreshedCopy->hasFailed())
        this->dropRefreshedCopy();
    const bool isResumable = this->call.route->isResumable;
    // A resumable stream may run again although the former run can't be stopped.
    if (isResumable && !this->canAskEngine()) {
        this->isReplacementDue = this->mayReplaceSilentRun() && this->attempt->interruptRead();
        if (!this->isReplacementDue)
            this->watchSilence();
        return;
    }
    const bool hasCopy = this->refreshedCopy && this->refreshedCopy->isReady();
    if (!this->stops.hasCurrent() && hasCopy) {
        this->startStop(this->placement, false);
        return;
    }
    if (!this->stops.hasCurrent() && !this->refreshedCopy
        && (this->isBackupUsable() || isResumable))
        this->startRefreshedCopy(true, now);
    this->watchSilence();
}

/** Returns whether the limits of the call allow to try another engine beside the silent one. */
bool EventRelay::mayReplaceSilentRun() const
{
    return this->history.mayHaveRun < this->call.route->maximumAttempts
            && this->history.unsent + this->history.refused < maximumNotRunAttempts
            && this->stops.part() < maximumParts;
}

/**
 * Lets another engine take a stream whose engine is silent.
 *
 * A sound engine may be silent for a moment, and other engines may be full. So the stream stays
 * open until another engine has begun its response, and stays where it is if events arrive before.
 *
 * @return whether another engine has taken the stream.
 */
net::awaitable<bool> EventRelay::replaceSilentRun()
{
    this->isEngineSilent = true;
    this->watchSilentEngine();
    // The request would crash the other engine as well.
    const bool isRefused = co_await this->dependencies.dispatch.isQuarantined(this->call.work);
    bool isReplaced = false;
    if (!isRefused && this->isEngineSilent
        && this->mayStartNewRun(AttemptOutcome::Unknown, streamStatus))
        isReplaced = co_await this->tryReplacement();
    this->attempt->watchBytes({});
    this->watchSilence();
    if (isReplaced) {
        this->attempt->cancel();
        this->failure = {ErrorCode::BackendServerLost,
                         RunState::OutcomeUnknown,
                         "the engine was silent and another one has taken the stream",
                         {}};
    }
    co_return isReplaced;
}

/** Sends the call to another engine. @return whether that has begun to send the stream. */
net::awaitable<bool> EventRelay::tryReplacement()
{
    const std::string name =
            this->call.work.name.toString() + "/silent-" + std::to_string(++this->copyCount);
    Error refusal;
    auto next = co_await this->placeRun(name, refusal);
    if (!next)
        co_return false;
    const bool hasOther =
            this->dependencies.servers
                    .usableServers(this->call.service->name, this->call.work.softwareVersion)
                    .size()
            > 1;
    const bool isSame = next->server == this->placement.server;
    if ((isSame && hasOther) || !this->isEngineSilent) {
        this->dependencies.dispatch.reportFinished(next->name, WorkOutcome::Cancelled);
        co_return false;
    }
    auto other = std::make_unique<BackendAttempt>(this->dependencies, this->call);
    const Milliseconds now = this->dependencies.clock.now();
    const ForwardingOrder order = this->makeOrder(*next, now);
    this->replacementAttempt = other.get();
    AttemptResult result = co_await other->start(next->address, order, this->headerTimeout(now));
    this->replacementAttempt = nullptr;
    this->history.record(result.outcome);
    this->avoided.push_back(next->server);
    next->softwareVersion = other->softwareVersion();
    const bool isAnswered = result.outcome == AttemptOutcome::Answered;
    const bool isTaken =
            this->isEngineSilent && isAnswered && this->isPartOfStream(result.response);
    this->logReplacement(next->server, isTaken ? "taken" : toString(result.outcome));
    if (isTaken) {
        this->replacement = Replacement{std::move(*next), std::move(other), std::move(result)};
        co_return true;
    }
    other->cancel();
    if (this->isEngineSilent && !isAnswered)
        recordFailedAttempt(this->dependencies.entry.metrics, this->call, next->server,
                            result.outcome, result.failure);
    const bool hasRun = isAnswered || result.outcome == AttemptOutcome::Unknown;
    this->dependencies.dispatch.reportFinished(
            next->name, hasRun ? WorkOutcome::Cancelled : WorkOutcome::RefusedByServer);
    co_return false;
}

void EventRelay::logReplacement(const BackendServerName &other, std::string_view outcome) const
{
    const Milliseconds silentSince = this->partFirstEventAt
            ? this->eventAt.value_or(this->partStartedAt)
            : this->partStartedAt;
    logEvent(LogEvent::SilentStreamTried, "request", this->call.metadata.requestId,
             "backend_server", this->placement.server.toString(), "other", other.toString(),
             "outcome", std::string(outcome), "resumed",
             std::string(this->isEngineSilent ? "0" : "1"), "silent_ms",
             std::to_string((this->dependencies.clock.now() - silentSince).count()));
}

void EventRelay::watchSilentEngine()
{
    this->attempt->watchBytes([this] { this->readSilentEngine(); });
}

/** Reads from the silent engine; only a whole event or the end of the body ends its silence. */
void EventRelay::readSilentEngine()
{
    const auto bytes = this->attempt->readAvailable();
    if (bytes)
        this->splitter.append(*bytes);
    const bool isTooLong = this->splitter.remainder().size() > maximumEventBytes;
    if (!bytes || isTooLong || this->splitter.hasEvent())
        this->endReplacement();
    else
        this->watchSilentEngine();
}

/** Called when the stream goes on at its engine before another one has begun its response. */
void EventRelay::endReplacement()
{
    this->isEngineSilent = false;
    if (this->replacementAttempt != nullptr)
        this->replacementAttempt->cancel();
    else if (this->call.waitingAs)
        this->dependencies.dispatch.refuseWaiting(*this->call.waitingAs, ErrorCode::Overloaded,
                                                  refusedRetryAfter);
}

/** Begins the part of the engine that has taken the stream. @return the header of its response. */
AttemptResult EventRelay::beginReplacement()
{
    Replacement taken = std::move(*this->replacement);
    this->replacement.reset();
    this->reportPartEnd(WorkOutcome::Failed);
    this->stops.beginPart();
    this->beginPart(this->dependencies.clock.now());
    this->placement = std::move(taken.placement);
    this->attempt = std::move(taken.attempt);
    this->logContinuation();
    return std::move(taken.result);
}

/** Ends the read from the engine if the run has ended there; otherwise the stream goes on. */
void EventRelay::onStopEnd(RunStop::Result result)
{
    // Only a part with events is read or has a backup that grows.
    if (!this->partFirstEventAt)
        return;
    if (result == RunStop::Result::Ended) {
        this->silenceWatch.restart(streamCloseTimeout);
        return;
    }
    bool isTargetBackup = false;
    auto target = this->stops.takeDeclinedTarget(isTargetBackup);
    const bool isBackupKept = isTargetBackup && !this->backup;
    if (target)
        this->stopDeclinedAt = this->dependencies.clock.now();
    if (target && isBackupKept) {
        target->source.reset();
        this->backup = std::move(target);
    } else if (target && target->source) {
        this->dropDeclinedCopy();
        this->declinedCopy = std::move(target);
    } else if (target) {
        this->dependencies.dispatch.releaseCopy(target->name);
    }
    this->watchSilence();
}

void EventRelay::watchSilence()
{
    if (this->stops.hasEnded())
        return;
    this->silenceWatch.restart(std::max(minimumSilenceTimeout,
                                        silenceTimeoutInPauses * this->call.route->targetPause));
}

/** Starts the silence watch of a stream that may be tried elsewhere before its first event. */
void EventRelay::watchFirstEvent()
{
    const auto timeout = this->firstEventTimeout();
    if (!timeout || this->canAskEngine())
        return;
    const Milliseconds elapsed = this->dependencies.clock.now() - this->partStartedAt;
    this->silenceWatch.restart(std::max(Milliseconds(1), *timeout - elapsed));
}

void EventRelay::startRefreshedCopy(bool isUrgent, Milliseconds now)
{
    this->copyAttemptedAt = now;
    if (!this->canAskEngine() || !this->placement.softwareVersion)
        return;
    if (!this->isBackupUsable())
        this->dropBackup();
    WorkRequest work = this->makeCopyRequest("kept");
    work.softwareVersion = this->placement.softwareVersion;
    work.avoided = {this->placement.server};
    this->refreshedCopy = std::make_shared<RunCopy>(
            this->dependencies, this->placement, std::move(work), this->call.metadata.requestId,
            this->engine()->copyLifetime / 2, this->copyRequests);
    this->refreshedCopy->start(isUrgent);
}

/** Records what is known of a run whose connection has ended; a continuation changes it. */
void EventRelay::recordLoss(Milliseconds now)
{
    RunLoss lost;
    lost.server = this->placement.server;
    lost.lostAt = now;
    lost.isClosedByHost = this->attempt->wasCancelled();
    lost.detail = this->failure.detail;
    lost.engineState = describeServer(this->dependencies, lost.server);
    lost.stopEffect = this->stopEffect();
    lost.framing = this->attempt->bodyFraming();
    if (this->stops.hasCurrent()) {
        lost.stopState = this->stops.hasEnded() ? "ended" : "pending";
        lost.stopOutcome = this->stops.outcome();
    }
    if (this->backup)
        lost.backupState = this->isBackupUsable() ? "usable" : "unusable";
    if (this->refreshedCopy && this->refreshedCopy->isReady())
        lost.copyState = "ready";
    else if (this->refreshedCopy)
        lost.copyState = this->refreshedCopy->hasFailed() ? "failed" : "pending";
    this->loss = std::move(lost);
}

void EventRelay::recordCut() const
{
    recordStreamCut(this->dependencies, this->call,
                    {this->cutDecision, this->loss, this->eventAt, this->eventCount,
                     this->stops.part(), this->placement.server, this->failure});
}

/** Returns the decision by which a call ends whose time is over. */
StreamCutDecision EventRelay::deadlineDecision() const
{
    return this->call.isEndedByStop ? StreamCutDecision::HostStopped
                                    : StreamCutDecision::DeadlineReached;
}

void EventRelay::recordPause(Milliseconds now)
{
    if (!this->eventAt) {
        this->firstEventAfter = now - this->call.receivedAt;
    } else if (now - *this->eventAt > this->longestPause) {
        this->longestPause = now - *this->eventAt;
        this->longestPauseBefore = this->lastEvent.value_or(0);
        this->isLongestPauseAtSwitch = !this->partFirstEventAt;
    }
    const bool isInsideEngine =
            this->eventAt && this->partFirstEventAt && this->engine() != nullptr;
    if (isInsideEngine && now - *this->eventAt > this->call.route->targetPause)
        recordEnginePause(this->dependencies, this->call.metadata.requestId, this->placement.server,
                          now - *this->eventAt);
    this->eventAt = now;
}

void EventRelay::logEnd(std::string_view outcome) const
{
    const Milliseconds elapsed = this->dependencies.clock.now() - this->call.receivedAt;
    recordCall(this->dependencies.entry.metrics, this->call.route->kind, outcome, elapsed);
    if (this->eventCount > 0)
        recordStreamTiming(this->dependencies.entry.metrics, this->firstEventAfter,
                           this->longestPause);
    logEvent(LogEvent::CallAnswered, "request", this->call.metadata.requestId, "route",
             this->call.route->name, "version", std::to_string(this->call.configuration->version),
             "status", std::string(outcome), "elapsed_ms", std::to_string(elapsed.count()),
             "events", std::to_string(this->eventCount), "placed_ms",
             std::to_string(this->placedAfter.count()), "first_event_ms",
             std::to_string(this->firstEventAfter.count()), "longest_pause_ms",
             std::to_string(this->longestPause.count()), "pause_after_event",
             std::to_string(this->longestPauseBefore), "pause_at_switch",
             std::string(this->isLongestPauseAtSwitch ? "1" : "0"), "parts",
             std::to_string(this->stops.part()), "backend_server",
             this->placement.server.toString(), "framing", framingName(this->framing()), "stop",
             std::string(toString(this->stopEffect())), "process",
             std::string(toString(this->doubtfulEnd ? this->doubtfulEnd->processState
                                                    : this->processState)),
             "engine", describeServer(this->dependencies, this->placement.server));
}

void EventRelay::reportProgress(Milliseconds now)
{
    if (this->reportedEvents > 0 && now - this->reportedAt < progressInterval)
        return;
    const std::uint32_t perEvent = this->engine() == nullptr ? 1 : this->engine()->tokensPerEvent;
    if (this->reportedEvents == 0)
        this->dependencies.dispatch.reportFirstToken(this->placement.name);
    this->dependencies.dispatch.reportProgress(this->placement.name, this->eventCount * perEvent);
    this->reportedEvents = this->eventCount;
    this->reportedAt = now;
    if (this->isUnframedEventStream()) {
        this->dependencies.processChecks.renewConnection(this->dependencies.context.get_executor(),
                                                         this->attempt->serverProcess());
    }
}

void EventRelay::reportPartEnd(WorkOutcome outcome)
{
    this->dependencies.dispatch.reportFinished(this->placement.name, outcome);
}

/** Returns how long an engine may take for a first event if the call can be started elsewhere. */
std::optional<Milliseconds> EventRelay::restartTimeout() const
{
    const Route &route = *this->call.route;
    const bool mayStartElsewhere =
            route.isResumable && this->history.mayHaveRun + 1 < route.maximumAttempts;
    return mayStartElsewhere ? std::optional(firstEventTimeoutInTargets * route.targetLatency)
                             : std::nullopt;
}

/**
 * Returns how long the engine may take for the first event of the part. After that event, the
 * silence watch applies.
 */
std::optional<Milliseconds> EventRelay::firstEventTimeout() const
{
    return this->partFirstEventAt ? std::nullopt : this->restartTimeout();
}

Milliseconds EventRelay::headerTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    return std::min(left, this->restartTimeout().value_or(left));
}

/** Returns the read timeout; bytes that complete no event do not extend it. */
Milliseconds EventRelay::pauseTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    const auto timeout = this->firstEventTimeout();
    // The silence watch applies instead to engines that can't be told to stop a run.
    if (!timeout || !this->canAskEngine())
        return left;
    return std::clamp(*timeout - (now - this->partStartedAt), Milliseconds(1), left);
}

/** Returns whether the call may be started, or started again, after an attempt. */
bool EventRelay::mayStartNewRun(AttemptOutcome outcome, int status)
{
    const Milliseconds now = this->dependencies.clock.now();
    if (this->call.timeLeft(now) <= Milliseconds(0)
        || !mayRetry(*this->call.route, this->history, outcome, status)) {
        return false;
    }
    // A peer may reach the service; another attempt from here would only take time.
    if (outcome == AttemptOutcome::NotSent && this->history.mayHaveRun == 0
        && mayReachThroughPeer(this->dependencies, this->call))
        return false;
    // Without a known version, no server may add events to those that the caller has.
    if (this->eventCount > 0 && !this->call.work.softwareVersion)
        return false;
    // After a run that may have produced events only a resumable stream is started again.
    const bool hasRun = this->hasStarted || this->history.mayHaveRun > 0;
    if (hasRun && !this->call.route->isResumable)
        return false;
    return outcome == AttemptOutcome::NotSent
            || this->dependencies.budget.tryRetry(this->call.service->name, now);
}

const EngineProperties *EventRelay::engine() const
{
    return this->call.service->engine ? &*this->call.service->engine : nullptr;
}

} // namespace sassafrasyard
