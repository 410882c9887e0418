#include "policy/dispatch/dispatcher.h"

#include "policy/placement/copyplacement.h"
#include "policy/quarantine/suspectplacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasyard {

namespace {

/** Failed servers are checked twice a second, so one may be available again by then. */
constexpr Milliseconds noServerRetryAfter{1000};

constexpr Milliseconds cleanupInterval{1000};
constexpr Milliseconds idleGroupLifetime{600'000};
/** The 10 s window of the retry budget moves in steps of one second. */
constexpr Milliseconds retryBudgetDelay{1000};
constexpr double minimumWeight = 0.001;
/** One borrowed slot is allowed per this many running requests of a group; at least one. */
constexpr std::size_t runningPerBorrowedSlot = 8;

AdmissionQueue::LevelMask maskOf(std::size_t level)
{
    return AdmissionQueue::LevelMask{1} << level;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options(std::move(options))
    , pool({this->options.host, this->options.failureDomain,
            [this, policy = this->options.placement](
                    const WorkRequest &request, std::span<const PlacementCandidate> candidates) {
                return this->choose(policy, request, candidates);
            },
            this->options.seed})
    , queue({this->options.queueLimit, this->options.accountQueueLimit, this->options.shortTokens})
    , suspension(this->options.suspension)
    , retries(this->options.retries)
    , quarantine({.seed = this->options.seed ^ std::hash<HostName>()(this->options.host)})
    , partQuarantine({.seed = this->options.seed ^ std::hash<HostName>()(this->options.host)})
    , hedging(this->options.hedging)
{
}

void Dispatcher::setBackendServers(std::span<const BackendServer> newServers, Milliseconds now)
{
    this->servers.setBackendServers(newServers);
    this->pool.setBackendServers(newServers, now);
    this->recordCapacityChange(now);
}

void Dispatcher::setAccountLimits(std::span<const AccountLimits> limits)
{
    std::set<ClientAccountName> named;
    for (const AccountLimits &account : limits) {
        named.insert(account.account);
        this->queue.setWeight(account.account, std::max(minimumWeight, account.weight));
    }
    for (const ClientAccountName &account : this->weightedAccounts) {
        if (!named.contains(account))
            this->queue.setWeight(account, 1.0);
    }
    this->weightedAccounts = std::move(named);
    this->limiter.setLimits(limits);
}

void Dispatcher::setLiveHostCount(std::size_t count)
{
    this->limiter.setLiveHostCount(count);
}

void Dispatcher::setLeaving(const BackendServerName &server, bool isLeaving)
{
    this->servers.setLeaving(server, isLeaving);
    this->pool.setLeaving(server, isLeaving);
}

void Dispatcher::setReachable(const BackendServerName &server, bool isReachable)
{
    this->servers.setReachable(server, isReachable);
    this->pool.setReachable(server, isReachable);
}

void Dispatcher::setPaused(const BackendServerName &server, bool isPaused)
{
    this->pool.setPaused(server, isPaused);
}

void Dispatcher::recordReturn(const BackendServerName &server, Milliseconds now)
{
    this->setLeaving(server, false);
    this->pool.startGradually(server, now);
    this->recordCapacityChange(now);
}

void Dispatcher::submit(const WorkRequest &submitted, Milliseconds now)
{
    WorkRequest request = submitted;
    if (const AccountLimits *limits = this->limiter.find(request.account))
        request.priority = std::min(request.priority, limits->highestPriority);
    if (const auto refusal = this->checkAdmission(request, now)) {
        this->decisions.emplace_back(*refusal);
        return;
    }
    Group &group = this->groupFor(request, now);
    if (!request.hedgeOf.isEmpty()) {
        if (!this->tryPlace(group, request, now))
            this->refuse(request, ErrorCode::Overloaded, this->retryAfter(group, now));
        return;
    }
    const std::size_t level = this->queue.levelOf(request);
    const QueuePosition position = this->queue.positionOf(group.key, request);
    const bool isBlocked = (group.blocked & maskOf(level)) != 0;
    if (isBlocked && this->isWaitTooLong(group, request, level, position, now)
        && !this->findSlotLender(group, request, now)) {
        this->refuse(request, ErrorCode::Overloaded, this->retryAfter(group, now));
        return;
    }
    const QueueResult result =
            this->queue.push(group.key, request, this->costs.estimate(request), now);
    if (!result.isQueued) {
        this->refuse(request, ErrorCode::Overloaded, this->retryAfter(group, now));
        return;
    }
    if (result.displaced)
        this->refuse(*result.displaced, ErrorCode::Overloaded, this->retryAfter(group, now));
    this->placeGroup(group, now);
    if (this->queue.contains(request.name)
        && this->isWaitTooLong(group, request, level, position, now))
        this->refuseWaiting(request.name, ErrorCode::Overloaded, this->retryAfter(group, now));
}

void Dispatcher::recordProgress(const RequestName &request, std::uint32_t tokens, Milliseconds now)
{
    const auto known = this->running.find(request);
    if (known == this->running.end())
        return;
    RunningRequest &work = known->second;
    work.tokens = std::max(work.tokens, tokens);
    work.hasOutput = work.hasOutput || tokens > 0;
    if (tokens > 0)
        this->recordOutput(work, now);
    if (work.lender)
        return;
    this->pool.recordProgress(request, tokens, now);
    if (this->options.allowsSuspension && work.hasOutput && !this->queue.isShort(work.request))
        this->suspension.add(request, work.group->number, work.request.priority, work.assignedAt);
}

void Dispatcher::recordFinished(const RequestName &request, WorkOutcome outcome, Milliseconds now)
{
    auto node = this->running.extract(request);
    if (node.empty())
        return;
    const RunningRequest &work = node.mapped();
    --work.group->running;
    work.group->load.recordFinished(now - work.assignedAt);
    this->limiter.release(work.request.account);
    this->suspension.remove(request);
    this->recordTokenUse(work, outcome);
    if (outcome == WorkOutcome::ServerLost) {
        this->quarantine.recordDeath(work.request.requestDigest, work.server, now);
        this->partQuarantine.recordDeath(work.request.promptParts, work.server, now);
    } else if (outcome == WorkOutcome::Completed) {
        this->recordCrashFreeRun(work.request, work.hasOutput, now);
    }
    this->releaseSlot(work, outcome, now);
    if (outcome == WorkOutcome::ServerLost || work.group->key.isSuspect)
        this->updateSuspectServers(now);
    this->recordCapacityChange(now);
}

void Dispatcher::recordDeath(std::uint64_t requestDigest,
                             std::span<const std::uint64_t> promptParts,
                             const BackendServerName &server, Milliseconds now)
{
    this->quarantine.recordDeath(requestDigest, server, now);
    this->partQuarantine.recordDeath(promptParts, server, now);
    this->updateSuspectServers(now);
}

void Dispatcher::withdraw(const RequestName &request, Milliseconds)
{
    if (const auto waiting = this->queue.remove(request))
        this->limiter.release(waiting->account);
}

void Dispatcher::recordLoadReport(const LoadReport &report, Milliseconds now)
{
    this->pool.recordLoadReport(report, now);
    this->recordCapacityChange(now);
}

void Dispatcher::recordCacheEvent(const CacheEvent &event, Milliseconds now)
{
    this->pool.recordCacheEvent(event, now);
}

void Dispatcher::recordPeerLoad(const PeerLoadDigest &digest, Milliseconds now)
{
    if (digest.host == this->options.host)
        return;
    this->pool.recordPeerLoad(digest, now);
    this->limiter.recordPeerUse(digest, now);
}

std::optional<Milliseconds> Dispatcher::quarantinedFor(const WorkRequest &request,
                                                       Milliseconds now) const
{
    return std::max(this->quarantine.refusedFor(request.requestDigest, now),
                    this->partQuarantine.refusedFor(request.promptParts, now));
}

void Dispatcher::setQuarantineHook(CrashQuarantine::RefusalHook hook)
{
    this->partQuarantine.setRefusalHook(hook);
    this->quarantine.setRefusalHook(std::move(hook));
}

void Dispatcher::recordPeerQuarantine(std::span<const QuarantineRecord> records, Milliseconds now)
{
    if (records.empty())
        return;
    this->quarantine.merge(records, now);
    this->partQuarantine.merge(records, now);
    this->updateSuspectServers(now);
}

void Dispatcher::recordFirstToken(const RequestName &request, Milliseconds now)
{
    const auto known = this->running.find(request);
    if (known == this->running.end() || known->second.hasOutput)
        return;
    known->second.hasOutput = true;
    this->hedging.recordFirstToken(now - known->second.assignedAt);
}

bool Dispatcher::takeHedge(const RequestName &request, Milliseconds now)
{
    const auto known = this->running.find(request);
    if (known == this->running.end())
        return false;
    RunningRequest &work = known->second;
    HedgeQuery query;
    query.isIdempotent = work.request.isIdempotent;
    query.hasOutput = work.hasOutput;
    // A suspected request must not reach a second server while it may still crash the first one.
    query.isFurtherAttempt = work.isHedged || work.request.isRetry
            || !work.request.hedgeOf.isEmpty() || work.group->key.isSuspect;
    query.isSaturated = this->queue.sizeOf(work.group->key) > 0;
    query.elapsed = now - work.assignedAt;
    work.isHedged = this->hedging.tryHedge(query) || work.isHedged;
    return work.isHedged && !query.isFurtherAttempt;
}

std::optional<BackendServerName> Dispatcher::reserveCopy(const WorkRequest &copy, bool isUrgent,
                                                         Milliseconds now)
{
    this->currentCopyMemoryLimit = isUrgent ? movedRunMemoryLimit : copyMemoryLimit;
    const auto placement = this->pool.place(copy, now);
    this->currentCopyMemoryLimit.reset();
    if (!placement)
        return std::nullopt;
    this->copies.emplace(copy.name, Copy{copy, placement->server});
    return placement->server;
}

void Dispatcher::promoteCopy(const RequestName &copy, Milliseconds now)
{
    auto node = this->copies.extract(copy);
    if (node.empty())
        return;
    const WorkRequest &request = node.mapped().request;
    // The original counts in the account's limit. Count the copy too, so that the end of the
    // original does not free a place that the copy still uses.
    this->limiter.tryAdmit(request.account, true, now);
    Group &group = this->groupFor(request, now);
    RunningRequest &work = this->running[copy];
    work.request = request;
    work.group = &group;
    work.server = node.mapped().server;
    work.assignedAt = now;
    work.cost = this->costs.estimate(request);
    work.hasOutput = true;
    ++group.running;
}

std::vector<EngineSpeed> Dispatcher::ownSpeeds(Milliseconds now) const
{
    return this->pool.ownSpeeds(now);
}

bool Dispatcher::recordPeerSpeed(const EngineSpeed &speed, Milliseconds now)
{
    return this->pool.recordPeerSpeed(speed, now);
}

EngineCondition Dispatcher::engineCondition(const BackendServerName &server, Milliseconds now) const
{
    return this->pool.engineCondition(server, now);
}

void Dispatcher::recordFull(const BackendServerName &server, Milliseconds now)
{
    this->pool.recordFull(server, now);
}

void Dispatcher::releaseCopy(const RequestName &copy, Milliseconds now)
{
    if (this->copies.erase(copy) == 0)
        return;
    this->pool.release(copy, WorkOutcome::Cancelled, now);
    this->recordCapacityChange(now);
}

void Dispatcher::advance(Milliseconds now)
{
    this->pool.advance(now);
    for (const RequestName &request : this->suspension.resumeDue(now))
        this->decisions.emplace_back(Resumption{request});
    this->recordCapacityChange(now);
    this->refuseExpired(now);
    for (auto &[key, group] : this->groups) {
        this->refuseSurplus(group, now);
        group.load.recordWaiting(this->queue.levelSizes(group.key), now);
    }
    if (now - this->lastCleanup >= cleanupInterval) {
        this->lastCleanup = now;
        this->quarantine.advance(now);
        this->partQuarantine.advance(now);
        this->updateSuspectServers(now);
        this->removeIdleGroups(now);
    }
}

std::vector<Decision> Dispatcher::takeDecisions()
{
    return std::exchange(this->decisions, {});
}

PeerLoadDigest Dispatcher::peerLoadDigest(Milliseconds now)
{
    PeerLoadDigest digest = this->pool.peerLoadDigest(now);
    digest.hasAccounts = true;
    digest.accounts = this->limiter.ownUse(now);
    return digest;
}

std::vector<QuarantineRecord> Dispatcher::quarantineRecords(Milliseconds now) const
{
    std::vector<QuarantineRecord> records = this->partQuarantine.records(now);
    const std::vector<QuarantineRecord> requests = this->quarantine.records(now);
    records.insert(records.end(), requests.begin(), requests.end());
    return records;
}

std::size_t Dispatcher::waitingCount() const
{
    return this->queue.size();
}

std::size_t Dispatcher::runningCount() const
{
    return this->running.size();
}

std::optional<Refusal> Dispatcher::checkAdmission(const WorkRequest &request, Milliseconds now)
{
    if (const auto remaining = this->quarantinedFor(request, now))
        return Refusal{request.name, ErrorCode::RequestQuarantined, *remaining};
    const bool isFurther = request.isRetry || !request.hedgeOf.isEmpty();
    if (const auto after = this->limiter.tryAdmit(request.account, isFurther, now))
        return Refusal{request.name, ErrorCode::LimitExceeded, *after};
    if (request.isRetry && !this->retries.tryRetry(now)) {
        this->limiter.release(request.account);
        return Refusal{request.name, ErrorCode::Overloaded, retryBudgetDelay};
    }
    return std::nullopt;
}

Dispatcher::Group &Dispatcher::groupFor(const WorkRequest &request, Milliseconds now)
{
    const QueueGroup key{request.model, request.version, request.softwareVersion,
                         this->isSuspect(request, now)};
    auto known = this->groups.find(key);
    if (known == this->groups.end()) {
        known = this->groups.try_emplace(key, key, ++this->groupCount, this->options.maximumWait)
                        .first;
    }
    known->second.lastUsedAt = now;
    return known->second;
}

/**
 * Records output; after crashFreeRunTime of output the run counts as one that does not crash its
 * server.
 */
void Dispatcher::recordOutput(RunningRequest &work, Milliseconds now)
{
    if (!work.firstOutputAt)
        work.firstOutputAt = now;
    if (work.isCrashFree || now - *work.firstOutputAt < CrashQuarantine::crashFreeRunTime)
        return;
    work.isCrashFree = true;
    this->recordCrashFreeRun(work.request, true, now);
}

/**
 * Records that a run did not crash its server. A run without output does not clear the parts of its
 * prompt, because they crash a server when it begins its output.
 */
void Dispatcher::recordCrashFreeRun(const WorkRequest &request, bool hasOutput, Milliseconds now)
{
    this->quarantine.recordCrashFreeRun(request.requestDigest, now);
    if (hasOutput)
        this->partQuarantine.recordGoodRun(request.promptParts, now);
}

bool Dispatcher::isSuspect(const WorkRequest &request, Milliseconds now) const
{
    return this->quarantine.isSuspect(request.requestDigest, now)
            || this->partQuarantine.isOnTrial(request.promptParts, now);
}

void Dispatcher::recordTokenUse(const RunningRequest &work, WorkOutcome outcome)
{
    if (work.tokens == 0)
        return;
    const double actual = CostEstimator::actual(work.request, work.tokens);
    this->queue.correctCharge(work.group->key, work.request.account, actual - work.cost);
    if (outcome == WorkOutcome::Completed)
        this->costs.recordCompleted(work.request, work.tokens);
}

void Dispatcher::releaseSlot(const RunningRequest &work, WorkOutcome outcome, Milliseconds now)
{
    const RequestName &name = work.request.name;
    if (work.lender) {
        --work.group->borrowedSlots;
        if (const auto lender = this->running.find(*work.lender); lender != this->running.end()) {
            lender->second.borrower.reset();
            if (this->suspension.resume(*work.lender, now))
                this->decisions.emplace_back(Resumption{*work.lender});
        } else if (const auto held = this->deferredReleases.extract(*work.lender); !held.empty()) {
            this->pool.release(held.key(), held.mapped(), now);
        }
        return;
    }
    // The borrower still uses the slot, so the pool must count it until the borrower ends.
    if (work.borrower && outcome != WorkOutcome::ServerLost)
        this->deferredReleases.emplace(name, outcome);
    else
        this->pool.release(name, outcome, now);
}

void Dispatcher::refuse(const WorkRequest &request, ErrorCode reason, Milliseconds retryAfter)
{
    this->limiter.release(request.account);
    this->decisions.emplace_back(Refusal{request.name, reason, retryAfter});
}

void Dispatcher::refuseWaiting(const RequestName &name, ErrorCode reason, Milliseconds retryAfter)
{
    if (const auto request = this->queue.remove(name))
        this->refuse(*request, reason, retryAfter);
}

void Dispatcher::refuseExpired(Milliseconds now)
{
    const Milliseconds earliestSubmission = now - this->options.maximumWait + Milliseconds(1);
    while (const WorkRequest *oldest = this->queue.oldestBefore(earliestSubmission)) {
        const bool hasServer =
                this->pool.capacity(oldest->model, oldest->softwareVersion, now).totalSlots > 0;
        Group &group = this->groupFor(*oldest, now);
        const Milliseconds retryAfter =
                hasServer ? this->retryAfter(group, now) : noServerRetryAfter;
        this->refuseWaiting(oldest->name,
                            hasServer ? ErrorCode::Overloaded : ErrorCode::NoBackendServer,
                            retryAfter);
    }
}

void Dispatcher::refuseSurplus(Group &group, Milliseconds now)
{
    for (std::size_t level = AdmissionQueue::levelCount; level-- > 0;) {
        while (const WorkRequest *firstToShed = this->queue.firstToShed(group.key, level)) {
            const auto waiting = this->queue.levelSizes(group.key);
            if (!group.load.isBacklogTooLong(level, waiting, group.running, now)
                || this->pool.capacity(group.key.model, group.key.softwareVersion, now).totalSlots
                        == 0)
                break;
            const RequestName name = firstToShed->name;
            this->refuseWaiting(name, ErrorCode::Overloaded, this->retryAfter(group, now));
        }
    }
}

Milliseconds Dispatcher::retryAfter(Group &group, Milliseconds now)
{
    return group.load.retryAfter(this->queue.levelSizes(group.key), group.running,
                                 ++this->refusalCount, now);
}

void Dispatcher::recordCapacityChange(Milliseconds now)
{
    for (auto &[key, group] : this->groups)
        group.blocked = 0;
    std::vector<QueueGroup> waiting = this->queue.waitingGroups();
    // Groups of one model share servers, so the same group must not always be the first to get a
    // free slot.
    if (!waiting.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(this->placementRounds++ % waiting.size());
        std::rotate(waiting.begin(), waiting.begin() + first, waiting.end());
    }
    for (const QueueGroup &key : waiting)
        this->placeGroup(this->groups.at(key), now);
}

void Dispatcher::placeGroup(Group &group, Milliseconds now)
{
    AdmissionQueue::LevelMask skipped = 0;
    while (const WorkRequest *next = this->queue.next(group.key, skipped)) {
        const std::size_t level = this->queue.levelOf(*next);
        const RequestName name = next->name;
        // Crashes on other servers may have quarantined the request while it waited.
        if (const auto time = this->quarantinedFor(*next, now)) {
            this->refuseWaiting(name, ErrorCode::RequestQuarantined, *time);
            continue;
        }
        if (this->tryPlace(group, *next, now)) {
            this->queue.recordPlaced(name);
            group.load.recordPlaced(level, this->queue.levelSizes(group.key), now);
        } else {
            skipped |= maskOf(level);
        }
    }
    // Time without a usable server does not count towards the drain rate of the queue.
    const bool hasServer =
            this->pool.capacity(group.key.model, group.key.softwareVersion, now).totalSlots > 0;
    group.load.recordWaiting(
            hasServer ? this->queue.levelSizes(group.key) : AdmissionQueue::LevelSizes(), now);
}

bool Dispatcher::isWaitTooLong(Group &group, const WorkRequest &request, std::size_t level,
                               const QueuePosition &position, Milliseconds now)
{
    return group.load.isWaitTooLong(level, position, group.running, now)
            && this->pool.capacity(request.model, request.softwareVersion, now).totalSlots > 0;
}

bool Dispatcher::tryPlace(Group &group, const WorkRequest &request, Milliseconds now)
{
    const AdmissionQueue::LevelMask level = maskOf(this->queue.levelOf(request));
    if ((group.blocked & level) == 0) {
        this->isPlacingSuspect = group.key.isSuspect;
        const auto placement = this->pool.place(request, now);
        this->isPlacingSuspect = false;
        if (placement) {
            this->assign(group, request, *placement, now);
            return true;
        }
        // A hedge avoids one server, so its failure does not mean that other requests can't be
        // placed.
        if (request.hedgeOf.isEmpty())
            group.blocked |= level;
    }
    return request.hedgeOf.isEmpty() && this->tryPlaceInBorrowedSlot(group, request, now);
}

bool Dispatcher::tryPlaceInBorrowedSlot(Group &group, const WorkRequest &request, Milliseconds now)
{
    const auto lender = this->findSlotLender(group, request, now);
    if (!lender)
        return false;
    this->suspension.suspend(*lender, now);
    this->decisions.emplace_back(Suspension{*lender});
    RunningRequest &lendingRequest = this->running.at(*lender);
    lendingRequest.borrower = request.name;
    const auto reserved = static_cast<std::uint32_t>(std::ceil(this->costs.estimate(request)));
    this->assign(group, request, {lendingRequest.server, reserved}, now);
    this->running.at(request.name).lender = *lender;
    ++group.borrowedSlots;
    return true;
}

std::optional<RequestName> Dispatcher::findSlotLender(const Group &group,
                                                      const WorkRequest &request,
                                                      Milliseconds now) const
{
    const std::size_t limit = std::max<std::size_t>(1, group.running / runningPerBorrowedSlot);
    const bool isShort = this->queue.isShort(request);
    if (group.key.isSuspect || group.borrowedSlots >= limit
        || (!isShort && request.priority == Priority::Low)) {
        return std::nullopt;
    }
    const auto highest =
            static_cast<Priority>(static_cast<int>(request.priority) - (isShort ? 0 : 1));
    const auto filter = [this](const RequestName &name) {
        const RunningRequest &work = this->running.at(name);
        return !work.borrower && this->servers.isUsable(work.server)
                && !this->suspectServers.contains(work.server);
    };
    return this->suspension.findSuspendable(group.number, highest, filter, now);
}

void Dispatcher::assign(Group &group, const WorkRequest &request, const Placement &placement,
                        Milliseconds now)
{
    RunningRequest &work = this->running[request.name];
    work.request = request;
    work.group = &group;
    work.server = placement.server;
    work.assignedAt = now;
    work.cost = this->costs.estimate(request);
    ++group.running;
    if (!request.isRetry && request.hedgeOf.isEmpty()) {
        this->retries.recordFirstAttempt(now);
        this->hedging.recordFirstAttempt();
    }
    if (group.key.isSuspect)
        this->suspectServers.insert(placement.server);
    const int enginePriority =
            2 * static_cast<int>(request.priority) + (this->queue.isShort(request) ? 1 : 0);
    this->decisions.emplace_back(Assignment{request.name, placement.server,
                                            placement.reservedTokens, enginePriority,
                                            placement.cachedTokens, placement.acceptedWaitTokens});
}

std::optional<std::size_t> Dispatcher::choose(const PlacementPolicy &policy,
                                              const WorkRequest &request,
                                              std::span<const PlacementCandidate> candidates) const
{
    if (this->currentCopyMemoryLimit)
        return chooseForCopy(request, candidates, *this->currentCopyMemoryLimit);
    const auto hedged = this->running.find(request.hedgeOf);
    if (hedged == this->running.end() && this->suspectServers.empty() && request.avoided.empty()
        && !this->isPlacingSuspect) {
        return policy(request, candidates);
    }
    PlacementAvoidance avoidance;
    avoidance.servers = this->suspectServers;
    avoidance.servers.insert(request.avoided.begin(), request.avoided.end());
    avoidance.prefersIdle = this->isPlacingSuspect;
    avoidance.mayFallBack = !this->isPlacingSuspect && hedged == this->running.end();
    if (hedged != this->running.end())
        avoidance.servers.insert(hedged->second.server);
    return chooseAvoiding(policy, request, candidates, avoidance);
}

void Dispatcher::updateSuspectServers(Milliseconds now)
{
    this->suspectServers.clear();
    if (this->quarantine.size() == 0 && this->partQuarantine.size() == 0)
        return;
    for (const auto &[name, work] : this->running) {
        if (this->isSuspect(work.request, now))
            this->suspectServers.insert(work.server);
    }
}

void Dispatcher::removeIdleGroups(Milliseconds now)
{
    for (auto group = this->groups.begin(); group != this->groups.end();) {
        const bool isIdle = group->second.running == 0 && this->queue.sizeOf(group->first) == 0
                && now - group->second.lastUsedAt >= idleGroupLifetime;
        if (isIdle)
            this->queue.removeGroup(group->first);
        group = isIdle ? this->groups.erase(group) : std::next(group);
    }
}

} // namespace sassafrasyard
