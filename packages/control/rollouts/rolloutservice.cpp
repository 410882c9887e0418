#include "control/rollouts/rolloutservice.h"

#include "control/configuration/watcherselection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view leaseObject = "control/order-lease";
constexpr Milliseconds passInterval{2000};
constexpr HttpTimeouts engineTimeouts{Milliseconds(500), Milliseconds(1500)};
/** An order is only sent while the lease lasts longer than the order can take. */
constexpr Milliseconds orderDuration = engineTimeouts.connect + engineTimeouts.response;
constexpr Milliseconds orderInterval{5000};
/** How long a stopped rollout is still looked after. */
constexpr Milliseconds afterCare{600000};
constexpr int stepsPerPass = 64;
constexpr int pendingLooksPerPass = 16;
constexpr std::size_t intervalSamples = 5;
constexpr int failuresUntilLost = 3;

double median(std::deque<double> samples)
{
    if (samples.empty())
        return 0.0;
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

std::size_t countOtherLoads(const std::vector<StoredObject> &objects, const std::string &name)
{
    std::size_t count = 0;
    for (const StoredObject &object : objects) {
        Error ignored;
        const auto rollout = parseRollout(object.value, ignored);
        if (rollout && object.name != name)
            count += countLoads(*rollout);
    }
    return count;
}

} // namespace

RolloutService::RolloutService(EntryState &state, ObjectClient &platform, ConfigurationStore &store,
                               net::io_context &context)
    : entry(state)
    , platform(platform)
    , store(store)
    , context(context)
    , lease(state.incarnation, LeaseOptions())
{
}

void RolloutService::start()
{
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->run(); }, net::detached);
}

net::awaitable<void> RolloutService::run()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        timer.expires_after(passInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        co_await this->pass();
    }
}

net::awaitable<void> RolloutService::pass()
{
    const auto members = this->entry.members();
    const bool isHeld = this->lease.isHeld(this->entry.steadyClock.now());
    if (this->wasHeld && !isHeld)
        logEvent(LogEvent::LeaseLost, "token", std::to_string(this->lease.token()));
    this->wasHeld = isHeld;
    // A stopping host leaves the rollouts to another one.
    if (this->entry.isDraining || !isOrderCandidate(*members, this->entry.incarnation))
        co_return;
    Error reason;
    const auto objects = co_await this->platform.list(std::string(rolloutObjectPrefix), reason);
    if (!objects)
        co_return;
    std::vector<StoredObject> active;
    for (const StoredObject &object : *objects) {
        const auto rollout = parseRollout(object.value, reason);
        if (rollout && this->isActive(*rollout))
            active.push_back(object);
    }
    if (active.empty())
        co_return;
    co_await this->keepLease();
    for (StoredObject &object : active) {
        const std::size_t otherLoads = countOtherLoads(active, object.name);
        if (this->lease.isHeld(this->entry.steadyClock.now()))
            co_await this->carryOn(object, otherLoads);
    }
}

bool RolloutService::isActive(const Rollout &rollout) const
{
    if (rollout.state != RolloutState::Stopped)
        return rollout.state == RolloutState::Running;
    const Milliseconds now = this->entry.systemClock.now();
    return std::any_of(rollout.servers.begin(), rollout.servers.end(), [&](const auto &server) {
        const bool isUnfinished =
                server.phase == ServerPhase::Loading || server.phase == ServerPhase::Serving;
        return isUnfinished
                || (server.phase == ServerPhase::Reverted && now - server.since < afterCare);
    });
}

net::awaitable<void> RolloutService::keepLease()
{
    const std::string name(leaseObject);
    Error reason;
    const Milliseconds readStarted = this->entry.steadyClock.now();
    const auto object = co_await this->platform.read(name, reason);
    if (!object && reason.code != ErrorCode::NotFound)
        co_return;
    const auto seen = object ? parseLease(object->value) : std::nullopt;
    const std::uint64_t version = object ? object->version : 0;
    this->lease.recordRead(seen, version, readStarted, this->entry.steadyClock.now());
    const auto write = this->lease.nextWrite(this->entry.steadyClock.now());
    if (!write)
        co_return;
    WriteCondition condition;
    condition.version = write->version;
    std::string text = formatLease(write->record);
    const auto written = co_await this->platform.write(name, std::move(text), condition, reason);
    if (!written)
        co_return;
    this->lease.recordWritten(*written);
    if (!this->wasHeld)
        logEvent(LogEvent::LeaseAcquired, "token", std::to_string(this->lease.token()));
    this->wasHeld = true;
}

net::awaitable<void> RolloutService::carryOn(StoredObject &object, std::size_t otherLoads)
{
    Error reason;
    for (int count = 0; count < stepsPerPass; ++count) {
        const auto rollout = parseRollout(object.value, reason);
        if (!rollout)
            co_return;
        if (rollout->fence > this->lease.token()) {
            this->lease.abandon();
            co_return;
        }
        RolloutView view = co_await this->look(*rollout);
        view.otherLoads = otherLoads;
        RolloutStep step = planRollout(*rollout, view);
        co_await this->keepLease();
        if (std::holds_alternative<WaitStep>(step)
            || !this->lease.isHeld(this->entry.steadyClock.now() + orderDuration)) {
            co_return;
        }
        const bool isDone = co_await this->carryOut(std::move(step), *rollout, object);
        if (!isDone)
            co_return;
    }
}

net::awaitable<bool> RolloutService::carryOut(RolloutStep step, const Rollout &rollout,
                                              StoredObject &object)
{
    if (auto *order = std::get_if<SendOrderStep>(&step))
        co_return co_await this->sendOrder(std::move(*order), rollout);
    if (auto *move = std::get_if<MoveNewWorkStep>(&step))
        co_return co_await this->moveNewWork(std::move(*move), rollout);
    if (auto *next = std::get_if<RecordStep>(&step))
        co_return co_await this->record(std::move(next->next), object);
    co_return false;
}

net::awaitable<bool> RolloutService::sendOrder(SendOrderStep step, const Rollout &rollout)
{
    const auto configuration = this->entry.configuration.current();
    const BackendServer *server = configuration->findServer(step.server);
    Error reason;
    const auto endpoint = server == nullptr ? std::nullopt : parseEndpoint(server->address, reason);
    if (!endpoint)
        co_return false;
    EngineOrder order;
    order.order = step.order;
    order.fence = this->lease.token();
    order.model = rollout.model;
    order.version = step.version;
    const Milliseconds now = this->entry.steadyClock.now();
    // Checked once more just before the order: engines that ignore the token rely on it.
    if (!this->lease.isHeld(now + orderDuration))
        co_return false;
    this->engines[step.server].ordersSent[step.order + step.version] = now;
    const bool isTaken = co_await sendEngineOrder(*endpoint, order, engineTimeouts, reason);
    if (isTaken) {
        this->engines[step.server].takenToken = order.fence;
        logEvent(LogEvent::OrderSent, "backend_server", step.server.toString(), "order", step.order,
                 "model", rollout.model.toString(), "version", step.version, "token",
                 std::to_string(order.fence));
        co_return true;
    }
    logEvent(LogEvent::OrderRefused, "backend_server", step.server.toString(), "order", step.order,
             "token", std::to_string(order.fence), "detail", reason.detail);
    if (reason.code == ErrorCode::StaleFence)
        this->lease.abandon();
    co_return false;
}

net::awaitable<bool> RolloutService::moveNewWork(MoveNewWorkStep step, const Rollout &rollout)
{
    const auto known = sourceOf(*this->entry.configuration.current());
    Error reason;
    const auto source = co_await this->store.loadCurrent(known, reason);
    if (!source)
        co_return false;
    ProposedDocument proposal;
    proposal.key = DocumentKey{DocumentKind::Server, step.server.toString()};
    const auto stored = source->documents.find(proposal.key);
    if (stored == source->documents.end())
        co_return false;
    json body = json::parse(*stored->second.body, nullptr, false);
    json &version = body["versions"][rollout.model.toString()];
    if (version == step.version) {
        // A predecessor made the change, and this host has not put it into force yet.
        co_return this->putIntoForce(source);
    }
    version = step.version;
    proposal.body = body.dump();
    ChangeRequest change;
    // With the revision in it, a change that an operator took back can be made again.
    change.identifier = rollout.identifier + "-" + step.server.toString() + "-" + step.version + "-"
            + std::to_string(source->revision);
    change.author = "rollout";
    change.comment = "rollout of " + rollout.model.toString() + " " + rollout.version + " on "
            + step.server.toString();
    change.baseRevision = source->revision;
    change.documents.push_back(std::move(proposal));
    const ChangeOutcome outcome = co_await this->store.accept(std::move(change), source);
    if (!outcome.isAccepted) {
        logEvent(LogEvent::ConfigurationRejected, "detail", outcome.reason.detail);
        co_return false;
    }
    // Without the documents of the new revision this host sees the change in a later pass.
    co_return outcome.source &&this->putIntoForce(outcome.source);
}

bool RolloutService::putIntoForce(const std::shared_ptr<const ConfigurationSource> &source)
{
    std::vector<ConfigurationFault> faults;
    auto configuration = resolveSource(source, faults);
    if (!configuration)
        return false;
    this->entry.configuration.offer(std::move(*configuration));
    return true;
}

net::awaitable<bool> RolloutService::record(Rollout next, StoredObject &object)
{
    next.fence = this->lease.token();
    std::string text = formatRollout(next);
    WriteCondition condition;
    condition.version = object.version;
    Error reason;
    const auto version = co_await this->platform.write(object.name, text, condition, reason);
    // After a lost reply the next pass reads what is in force.
    if (!version)
        co_return false;
    const auto former = parseRollout(object.value, reason);
    const bool hasStopped = next.state == RolloutState::Stopped
            && (!former || former->state != RolloutState::Stopped);
    object.value = std::move(text);
    object.version = *version;
    logEvent(hasStopped ? LogEvent::RolloutStopped : LogEvent::RolloutAdvanced, "model",
             next.model.toString(), "version", next.version, "state",
             std::string(toString(next.state)), "reason", next.reason);
    co_return true;
}

net::awaitable<RolloutView> RolloutService::look(const Rollout &rollout)
{
    const auto configuration = this->entry.configuration.current();
    RolloutView view;
    view.now = this->entry.systemClock.now();
    for (const ClientAccount &account : configuration->accounts) {
        for (const auto &[model, version] : account.models) {
            if (model == rollout.model && !version.empty())
                view.pinnedVersions[version] = true;
        }
    }
    int pendingLooks = 0;
    for (const RolloutServer &server : rollout.servers) {
        const BackendServer *known = configuration->findServer(server.name);
        if (known == nullptr)
            continue;
        RolloutServerView &seen = view.servers[server.name];
        const bool isPending = server.phase == ServerPhase::Pending;
        const bool isFinished =
                server.phase == ServerPhase::Done || server.phase == ServerPhase::Skipped;
        if (!isFinished && (!isPending || ++pendingLooks <= pendingLooksPerPass)) {
            const BackendServer asked = *known;
            seen = co_await this->lookAt(asked, rollout);
        }
        seen.isConfigured = true;
        const auto served = configuration->servedVersions.find(server.name);
        if (served != configuration->servedVersions.end()) {
            const auto version = served->second.find(rollout.model);
            seen.servedVersion = version == served->second.end() ? "" : version->second;
        }
    }
    co_return view;
}

net::awaitable<RolloutServerView> RolloutService::lookAt(BackendServer server,
                                                         const Rollout &rollout)
{
    RolloutServerView seen;
    Error reason;
    const auto endpoint = parseEndpoint(server.address, reason);
    std::optional<EngineStatus> status;
    if (endpoint)
        status = co_await readEngineStatus(*endpoint, server.name, engineTimeouts, reason);
    EngineHistory &history = this->engines[server.name];
    history.failures = status ? 0 : history.failures + 1;
    seen.isLost = history.failures >= failuresUntilLost;
    seen.hasSeenToken = history.takenToken == this->lease.token();
    const Milliseconds now = this->entry.steadyClock.now();
    seen.wasOrderedRecently =
            std::any_of(history.ordersSent.begin(), history.ordersSent.end(),
                        [now](const auto &sent) { return now - sent.second < orderInterval; });
    if (!status)
        co_return seen;
    seen.isReachable = true;
    for (const LoadedModel &loaded : status->models) {
        if (loaded.model == rollout.model)
            seen.loaded[loaded.version] = loaded.running;
    }
    history.intervals.push_back(status->load.tokenIntervalMilliseconds);
    if (history.intervals.size() > intervalSamples)
        history.intervals.pop_front();
    seen.tokenInterval = median(history.intervals);
    co_return seen;
}

} // namespace sassafrasyard
