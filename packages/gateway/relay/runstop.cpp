#include "gateway/relay/runstop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** How long one request waits for its answer, which comes after the copy is complete. */
constexpr Milliseconds answerTimeout{2000};
/** The pause before a request is repeated; it doubles up to the maximum. */
constexpr Milliseconds firstRepetitionPause{50};
constexpr Milliseconds maximumRepetitionPause{1000};
/** The pause between two requests that confirm the end of a run. */
constexpr Milliseconds confirmationInterval{50};
/** How long an engine that answers nothing is asked for that; two answers may be lost. */
constexpr Milliseconds maximumConfirmationTime{4000};

/** Returns whether a host that is cut off from all servers would see the same. */
bool isLackOfContact(RunEvidence evidence)
{
    return evidence == RunEvidence::ConnectionRefused
            || evidence == RunEvidence::ConnectionUnanswered
            || evidence == RunEvidence::AnswerLostEntryMissing
            || evidence == RunEvidence::AnswerLost;
}

} // namespace

RunStop::RunStop(GatewayDependencies &dependencies, RunStopOrder order,
                 std::function<void(Result)> onEnd)
    : dependencies(dependencies)
    , order(std::move(order))
    , onEnd(std::move(onEnd))
    , stopRecord(std::make_shared<StopRecord>(dependencies.context.get_executor(),
                                              this->order.source.server))
    , repetitionPause(firstRepetitionPause)
    , repetitionTimer(dependencies.context)
    , endTimer(dependencies.context, net::steady_timer::time_point::max())
    , confirmationTimer(dependencies.context, net::steady_timer::time_point::max())
{
    const ServerEntry *entry = dependencies.servers.find(this->order.source.server);
    if (entry != nullptr && entry->startedAt != 0)
        this->sourceStartedAt = entry->startedAt;
}

void RunStop::start()
{
    net::co_spawn(
            this->dependencies.context, [self = this->shared_from_this()] { return self->run(); },
            net::detached);
}

void RunStop::insist()
{
    this->connection = RunConnection::Closed;
}

void RunStop::endBy(Milliseconds instant)
{
    this->order.endAt = std::min(this->order.endAt, instant);
}

net::awaitable<RunStop::Result> RunStop::finish()
{
    const auto self = this->shared_from_this();
    if (this->result == Result::Pending && !this->isAbandoned) {
        boost::system::error_code ignored;
        co_await this->endTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    co_return this->isAbandoned ? Result::Declined : this->result;
}

net::awaitable<bool> RunStop::confirmEnd()
{
    const auto self = this->shared_from_this();
    this->insist();
    if (this->needsConfirmation()) {
        this->confirmationSince = this->dependencies.clock.now();
        this->hasLostAllAnswers = true;
        this->repetitionPause = firstRepetitionPause;
        this->repetitionTimer.cancel();
        net::co_spawn(
                this->dependencies.context, [self] { return self->askForConfirmation(); },
                net::detached);
        boost::system::error_code ignored;
        co_await this->confirmationTimer.async_wait(
                net::redirect_error(net::use_awaitable, ignored));
    }
    co_return !this->isAbandoned && (this->isEndConfirmed || this->hasEnded());
}

bool RunStop::hasEnded() const
{
    return this->result == Result::Ended;
}

const std::string &RunStop::outcome() const
{
    return this->endOutcome;
}

const std::shared_ptr<StopRecord> &RunStop::record() const
{
    return this->stopRecord;
}

void RunStop::recordEvent()
{
    this->unansweredSince.reset();
}

std::optional<StreamPlacement> RunStop::takeContinuation()
{
    auto &target = this->order.target;
    if (target && this->isCopied && this->isUsable(*target)) {
        this->isCopied = false;
        this->isMemoryUsed = true;
        StreamPlacement moved = *target;
        moved.source = this->memory;
        return moved;
    }
    if (this->hasUsableTarget()) {
        StreamPlacement earlier = *target;
        target->source.reset();
        return earlier;
    }
    if (!this->memory || !this->mayReturn())
        return std::nullopt;
    this->isMemoryUsed = true;
    StreamPlacement kept = this->order.source;
    kept.source = std::exchange(this->memory, std::nullopt);
    kept.isReturn = true;
    return kept;
}

bool RunStop::hasUsableTarget() const
{
    const auto &target = this->order.target;
    return target && target->source && this->isUsable(*target);
}

std::optional<StreamPlacement> RunStop::takeTarget()
{
    return std::exchange(this->order.target, std::nullopt);
}

void RunStop::abandon()
{
    this->isAbandoned = true;
    this->onEnd = nullptr;
    if (this->order.target)
        this->dependencies.dispatch.releaseCopy(this->order.target->name);
    this->order.target.reset();
    this->repetitionTimer.cancel();
    // A changed expiry also ends a wait that starts later, which cancel() would not.
    this->endTimer.expires_at(net::steady_timer::time_point::min());
    this->confirmationTimer.expires_at(net::steady_timer::time_point::min());
    if (this->result != Result::Pending)
        this->dropUnusedMemory();
}

net::awaitable<void> RunStop::run()
{
    if (!this->order.target)
        co_await this->reserveTarget();
    if (!this->order.target && !this->isAbandoned) {
        // Without its connection and another engine, a run can only be started again at its own.
        const bool isOpen = this->connection == RunConnection::Open;
        this->end(isOpen ? Result::Declined : Result::Ended, "no_target",
                  "no other engine of the software version is usable");
    }
    while (this->result == Result::Pending && !this->isAbandoned) {
        Error reason;
        const bool wasUnreached = this->dependencies.contacts.isUnreached(this->order.service);
        const RunStopResult answer = co_await this->ask(reason);
        RunEvidence evidence = this->evidenceOf(answer);
        const bool isOver = this->dependencies.clock.now() >= this->order.endAt;
        if (isLackOfContact(evidence) && !isOver) {
            const bool isCutOff = co_await this->isHostCutOff(wasUnreached);
            if (isCutOff)
                evidence = RunEvidence::HostCutOff;
        }
        this->apply(answer, evidence, reason);
        if (this->result == Result::Pending && !this->isAbandoned)
            co_await this->waitForRepetition();
    }
    if (this->isAbandoned)
        this->dropUnusedMemory();
}

/**
 * Chooses an engine that gets the memory. An order to stop names one even if none has reserved
 * memory; a run that finds no room there stays in the memory of its engine.
 */
net::awaitable<void> RunStop::reserveTarget()
{
    auto server = co_await this->dependencies.dispatch.reserveCopy(this->order.work, true);
    if (this->isAbandoned || !this->isTarget(server))
        this->dependencies.dispatch.releaseCopy(this->order.work.name);
    if (this->isAbandoned)
        co_return;
    if (!this->isTarget(server)) {
        const auto others = this->dependencies.servers.usableServers(
                this->order.service, this->order.source.softwareVersion);
        const auto other = std::find_if(others.begin(), others.end(),
                                        [this](const auto &name) { return this->isTarget(name); });
        server = other == others.end() ? std::nullopt : std::optional(*other);
    }
    if (!server && this->connection == RunConnection::Closed)
        server = this->findOtherEngine();
    if (!server)
        co_return;
    this->order.target = StreamPlacement{this->order.work.name,
                                         *server,
                                         this->dependencies.servers.find(*server)->address,
                                         {},
                                         false,
                                         this->order.source.softwareVersion};
}

/**
 * Returns another engine of the service, on which the run can't continue, such as a leaving one. A
 * request to stop a run has to name one, and the run may return to its own engine or to a former
 * one.
 */
std::optional<BackendServerName> RunStop::findOtherEngine() const
{
    for (const ServerEntry &entry : this->dependencies.servers.entries()) {
        if (entry.service == this->order.service && entry.name != this->order.source.server)
            return entry.name;
    }
    return std::nullopt;
}

/** Returns whether the run may continue on a server that is not its own. */
bool RunStop::isTarget(const std::optional<BackendServerName> &server) const
{
    const auto &version = this->order.source.softwareVersion;
    return server && *server != this->order.source.server && version
            && this->dependencies.servers.canContinue(*server, *version);
}

net::awaitable<RunStopResult> RunStop::ask(Error &reason)
{
    const Milliseconds left = this->order.endAt - this->dependencies.clock.now();
    const MoveOrder move{this->order.source.address, this->order.target->address,
                         this->order.requestId, true};
    bool mayBeCopying = this->order.mayBeCopying();
    const std::set<std::uint32_t> earlier = this->outstandingRequests;
    const std::uint32_t request = ++this->requestCount;
    this->outstandingRequests.insert(request);
    this->stopRecord->recordRequest();
    RunStopResult answer = co_await this->dependencies.engines.stopRun(
            move, std::clamp(left, Milliseconds(1), answerTimeout), reason);
    this->outstandingRequests.erase(request);
    this->stopRecord->recordAnswer(answer, !this->isSourceReplaced());
    const bool isLost = answer.state == RunStopResult::State::Unknown && !answer.hasAnswered;
    this->hasLostAllAnswers = this->hasLostAllAnswers && isLost;
    mayBeCopying = mayBeCopying || this->order.mayBeCopying();
    if (answer.isInProgress && !mayBeCopying && this->confirmationSince)
        co_await this->confirmBusyEngine(earlier);
    co_return answer;
}

/**
 * Confirms the end of a run whose engine is busy with an earlier request to stop it, which it
 * carries out before anything else. A request that the engine declines is answered at once, so one
 * that is still outstanding after a moment is the reason.
 *
 * @param earlier the requests that were outstanding when the one was sent that found it busy.
 */
net::awaitable<void> RunStop::confirmBusyEngine(std::set<std::uint32_t> earlier)
{
    net::steady_timer timer(this->dependencies.context, confirmationInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    const bool isOutstanding =
            std::any_of(earlier.begin(), earlier.end(), [this](std::uint32_t request) {
                return this->outstandingRequests.contains(request);
            });
    if ((isOutstanding || this->stopRecord->hasLostAnswer()) && !this->order.mayBeCopying())
        this->confirm("in_progress");
}

/** Asks the engine again while the answer to a request is outstanding. */
net::awaitable<void> RunStop::askForConfirmation()
{
    net::steady_timer timer(this->dependencies.context);
    while (this->needsConfirmation()) {
        if (this->stopRecord->isPending()) {
            Error reason;
            const RunStopResult answer = co_await this->ask(reason);
            this->applyConfirmation(answer);
        }
        if (this->isSilentForLong())
            this->confirm(toString(RunEvidence::AnswerLost));
        timer.expires_after(confirmationInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
}

void RunStop::applyConfirmation(const RunStopResult &answer)
{
    if (answer.memory) {
        // The former request did not reach the engine, and this one has stopped the run.
        this->memory = answer.memory;
        this->isCopied = answer.isCopied;
        if (this->result == Result::Pending)
            this->end(Result::Ended, toString(RunEvidence::EngineStopped), {});
        if (this->isAbandoned)
            this->dropUnusedMemory();
        return;
    }
    if (answer.state == RunStopResult::State::Stopped && !this->isSourceReplaced())
        this->confirm(toString(RunEvidence::EngineHasNoRun));
}

/**
 * Returns whether the engine accepts requests but has answered none since the stream was closed, so
 * that nothing but the close shows the end of the run.
 */
bool RunStop::isSilentForLong() const
{
    const Milliseconds waited = this->dependencies.clock.now() - *this->confirmationSince;
    return this->hasLostAllAnswers && waited >= maximumConfirmationTime
            && !this->dependencies.contacts.isUnreached(this->order.service);
}

/** Returns whether it is not yet known whether the run goes on. */
bool RunStop::needsConfirmation() const
{
    return this->result == Result::Pending && !this->isEndConfirmed && !this->isAbandoned;
}

/** Records that the engine does not work on the run, although the result is not there yet. */
void RunStop::confirm(std::string_view evidence)
{
    if (!this->confirmationSince || !this->needsConfirmation())
        return;
    this->isEndConfirmed = true;
    this->confirmationTimer.expires_at(net::steady_timer::time_point::min());
    logEvent(LogEvent::RunEndConfirmed, "request", this->order.requestId, "backend_server",
             this->order.source.server.toString(), "outcome", std::string(evidence), "waited_ms",
             std::to_string((this->dependencies.clock.now() - *this->confirmationSince).count()));
}

net::awaitable<void> RunStop::waitForRepetition()
{
    this->repetitionTimer.expires_after(this->repetitionPause);
    this->repetitionPause = std::min(2 * this->repetitionPause, maximumRepetitionPause);
    boost::system::error_code ignored;
    co_await this->repetitionTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/**
 * Returns whether this host was cut off from all servers when it asked. If no peer reaches the
 * service, its servers are down.
 *
 * @param wasUnreached whether the service was unreached before the request.
 */
net::awaitable<bool> RunStop::isHostCutOff(bool wasUnreached)
{
    ContactMonitor &contacts = this->dependencies.contacts;
    contacts.recordFailedConnection(this->order.service);
    // Unlike isReachedAfterCheck(), this does not rely on a check of the last second.
    ServiceContactRequest request;
    request.service = this->order.service;
    co_await contacts.answer(std::move(request));
    // The partition may have ended between the request to stop the run and the check.
    const bool isUnreached = contacts.isUnreached(this->order.service) || wasUnreached;
    if (!isUnreached)
        co_return false;
    RelayPeers &peers = this->dependencies.relayPeers;
    const std::vector<std::string> excluded;
    co_await peers.choose(this->order.service, 0, excluded);
    co_return !peers.areServersDown(this->order.service);
}

void RunStop::apply(const RunStopResult &answer, RunEvidence evidence, const Error &reason)
{
    this->memory = answer.memory;
    this->isCopied = answer.isCopied;
    const Milliseconds time = this->unansweredTime(evidence);
    if (showsRunEnd(evidence, this->connection, time))
        this->end(Result::Ended, toString(evidence), reason.detail);
    else if (this->isDeclined(answer, evidence))
        this->end(Result::Declined, toString(evidence), reason.detail);
    else if (this->dependencies.clock.now() >= this->order.endAt)
        this->end(Result::Declined, "expired", reason.detail);
}

RunEvidence RunStop::evidenceOf(const RunStopResult &answer) const
{
    using State = RunStopResult::State;
    if (answer.state == State::Stopped)
        return answer.memory ? RunEvidence::EngineStopped : RunEvidence::EngineHasNoRun;
    if (answer.hasAnswered || answer.state == State::Declined)
        return RunEvidence::EngineAnswered;
    if (this->isSourceReplaced())
        return RunEvidence::EntryReplaced;
    if (answer.state == State::Unreachable)
        return RunEvidence::ConnectionRefused;
    if (answer.state == State::Unanswered)
        return RunEvidence::ConnectionUnanswered;
    return this->hasSourceLeft() ? RunEvidence::AnswerLostEntryMissing : RunEvidence::AnswerLost;
}

/**
 * Returns for how long the engine has not answered, including the present evidence. The time in
 * which this host was cut off does not count.
 */
Milliseconds RunStop::unansweredTime(RunEvidence evidence)
{
    const Milliseconds now = this->dependencies.clock.now();
    if (evidence == RunEvidence::EngineStopped || evidence == RunEvidence::EngineHasNoRun
        || evidence == RunEvidence::EngineAnswered || evidence == RunEvidence::HostCutOff) {
        this->unansweredSince.reset();
        return Milliseconds(0);
    }
    if (!this->unansweredSince)
        this->unansweredSince = now;
    return now - *this->unansweredSince;
}

/**
 * Returns whether the stream stays at its engine, instead of asking that again. A stream without
 * its connection that its caller can take up at another host does not wait until this one reaches
 * the engine.
 */
bool RunStop::isDeclined(const RunStopResult &answer, RunEvidence evidence) const
{
    if (evidence == RunEvidence::HostCutOff && this->order.isResumable)
        return true;
    if (this->order.isAskedOnce)
        return true;
    if (this->connection != RunConnection::Open)
        return false;
    return answer.state == RunStopResult::State::Declined || evidence == RunEvidence::EngineHasNoRun
            || evidence == RunEvidence::EntryReplaced || evidence == RunEvidence::ConnectionRefused
            || evidence == RunEvidence::ConnectionUnanswered || evidence == RunEvidence::HostCutOff;
}

/** Returns whether the process that runs the call has no entry any more. */
bool RunStop::hasSourceLeft() const
{
    const ServerEntry *entry = this->dependencies.servers.find(this->order.source.server);
    return entry == nullptr || this->isSourceReplaced();
}

/** Returns whether the entry of the server is that of another process. */
bool RunStop::isSourceReplaced() const
{
    const ServerEntry *entry = this->dependencies.servers.find(this->order.source.server);
    if (entry == nullptr)
        return false;
    const bool isRestarted = this->sourceStartedAt && entry->startedAt != 0
            && entry->startedAt != *this->sourceStartedAt;
    return isRestarted || entry->address != this->order.source.address;
}

bool RunStop::isUsable(const StreamPlacement &placement) const
{
    return placement.softwareVersion
            && this->dependencies.servers.canContinue(placement.server, *placement.softwareVersion)
            && !this->dependencies.reachability.pauseLeft(placement.server);
}

/** Returns whether the run may go on in the memory that its engine kept. */
bool RunStop::mayReturn() const
{
    const StreamPlacement &source = this->order.source;
    const auto returnableUntil = this->dependencies.servers.returnableUntil(source.server);
    const bool isInTime = returnableUntil && this->dependencies.clock.now() < *returnableUntil;
    return source.softwareVersion && !this->hasSourceLeft()
            && this->dependencies.servers.find(source.server)->softwareVersion
            == *source.softwareVersion
            && (isInTime || this->dependencies.servers.isUsable(source.server))
            && !this->dependencies.reachability.pauseLeft(source.server);
}

void RunStop::end(Result newResult, std::string_view outcome, std::string_view detail)
{
    this->result = newResult;
    this->endOutcome = outcome;
    logEvent(LogEvent::RunStopEnded, "request", this->order.requestId, "backend_server",
             this->order.source.server.toString(), "result",
             std::string(newResult == Result::Ended ? "ended" : "declined"), "outcome",
             this->endOutcome, "connection", std::string(toString(this->connection)), "memory",
             std::string(this->isCopied ? "copied" : (this->memory ? "kept" : "none")), "detail",
             std::string(detail));
    this->endTimer.expires_at(net::steady_timer::time_point::min());
    this->confirmationTimer.expires_at(net::steady_timer::time_point::min());
    if (this->onEnd)
        std::exchange(this->onEnd, nullptr)(newResult);
}

/** Frees the memory at both engines; without that they keep it for some seconds. */
void RunStop::dropUnusedMemory()
{
    if (!this->memory || this->isMemoryUsed)
        return;
    net::co_spawn(
            this->dependencies.context,
            [self = this->shared_from_this(),
             unused = *std::exchange(this->memory, std::nullopt)]() -> net::awaitable<void> {
                co_await self->dependencies.engines.dropMemory(unused);
            },
            net::detached);
}

} // namespace sassafrasyard
