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

constexpr std::string_view leaseObjectName = "control/order-lease";
constexpr Milliseconds reconcileInterval{2000};
constexpr HttpTimeouts engineTimeouts{Milliseconds(500), Milliseconds(1500)};
/** An order is only sent if the lease remains valid for at least this time. */
constexpr Milliseconds maxOrderDuration = engineTimeouts.connect + engineTimeouts.response;
constexpr Milliseconds orderRepeatInterval{5000};
/** How long a reverted server is checked, to load its old version again if necessary. */
constexpr Milliseconds revertMonitoringPeriod{600000};
constexpr int maxStepsPerRollout = 64;
constexpr int maxPendingPolls = 16;
constexpr std::size_t maxIntervalSamples = 5;
constexpr int failuresUntilUnresponsive = 3;

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
        timer.expires_after(reconcileInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        co_await this->reconcileRollouts();
    }
}

net::awaitable<void> RolloutService::reconcileRollouts()
{
    const auto members = this->entry.members();
    const bool isHeld = this->lease.isHeld(this->entry.steadyClock.now());
    if (this->wasLeaseHeld && !isHeld)
        logEvent(LogEvent::LeaseLost, "token", std::to_string(this->lease.token()));
    this->wasLeaseHeld = isHeld;
    // A draining host does not run rollouts, so that another host takes the lease.
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
    co_await this->acquireOrRenewLease();
    for (StoredObject &object : active) {
        const std::size_t otherLoads = countOtherLoads(active, object.name);
        if (this->lease.isHeld(this->entry.steadyClock.now()))
            co_await this->reconcileRollout(object, otherLoads);
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
                || (server.phase == ServerPhase::Reverted
                    && now - server.since < revertMonitoringPeriod);
    });
}

net::awaitable<void> RolloutService::acquireOrRenewLease()
{
    const std::string name(leaseObjectName);
    Error reason;
    const Milliseconds readStarted = this->entry.steadyClock.now();
    const auto object = co_await this->platform.read(name, reason);
    if (!object && reason.code != ErrorCode::NotFound)
        co_return;
    const auto record = object ? parseLease(object->value) : std::nullopt;
    const std::uint64_t version = object ? object->version : 0;
    this->lease.recordRead(record, version, readStarted, this->entry.steadyClock.now());
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
    if (!this->wasLeaseHeld)
        logEvent(LogEvent::LeaseAcquired, "token", std::to_string(this->lease.token()));
    this->wasLeaseHeld = true;
}

net::awaitable<void> RolloutService::reconcileRollout(StoredObject &object, std::size_t otherLoads)
{
    Error reason;
    for (int count = 0; count < maxStepsPerRollout; ++count) {
        const auto rollout = parseRollout(object.value, reason);
        if (!rollout)
            co_return;
        if (rollout->fence > this->lease.token()) {
            this->lease.abandon();
            co_return;
        }
        RolloutView view = co_await this->collectView(*rollout);
        view.otherLoads = otherLoads;
        RolloutStep step = planRollout(*rollout, view);
        co_await this->acquireOrRenewLease();
        if (std::holds_alternative<WaitStep>(step)
            || !this->lease.isHeld(this->entry.steadyClock.now() + maxOrderDuration)) {
            co_return;
        }
        const bool isExecuted = co_await this->executeStep(std::move(step), *rollout, object);
        if (!isExecuted)
            co_return;
    }
}

net::awaitable<bool> RolloutService::executeStep(RolloutStep step, const Rollout &rollout,
                                                 StoredObject &object)
{
    if (auto *order = std::get_if<SendOrderStep>(&step))
        co_return co_await this->sendOrder(std::move(*order), rollout);
    if (auto *change = std::get_if<SetServedVersionStep>(&step))
        co_return co_await this->setServedVersion(std::move(*change), rollout);
    if (auto *write = std::get_if<WriteRolloutStep>(&step))
        co_return co_await this->writeRollout(std::move(write->updatedRollout), object);
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
    // Checked again directly before sending, because some engines do not check fencing tokens.
    if (!this->lease.isHeld(now + maxOrderDuration))
        co_return false;
    this->engines[step.server].lastOrderTimes[step.order + step.version] = now;
    const bool isAccepted = co_await sendEngineOrder(*endpoint, order, engineTimeouts, reason);
    if (isAccepted) {
        this->engines[step.server].acceptedToken = order.fence;
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

net::awaitable<bool> RolloutService::setServedVersion(SetServedVersionStep step,
                                                      const Rollout &rollout)
{
    const auto localSource = configurationSource(*this->entry.configuration.current());
    Error reason;
    const auto source = co_await this->store.loadCurrent(localSource, reason);
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
        // An earlier lease holder made the change, and this host has not applied it yet.
        co_return this->applyConfiguration(source);
    }
    version = step.version;
    proposal.body = body.dump();
    ChangeRequest change;
    // The identifier contains the revision, so that a change that an operator reverted can be made
    // again.
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
    // If the outcome has no documents, a later pass reads and applies the new revision.
    co_return outcome.source &&this->applyConfiguration(outcome.source);
}

bool RolloutService::applyConfiguration(const std::shared_ptr<const ConfigurationSource> &source)
{
    std::vector<ConfigurationFault> faults;
    auto configuration = resolveSource(source, faults);
    if (!configuration)
        return false;
    this->entry.configuration.offer(std::move(*configuration));
    return true;
}

net::awaitable<bool> RolloutService::writeRollout(Rollout updatedRollout, StoredObject &object)
{
    updatedRollout.fence = this->lease.token();
    std::string text = formatRollout(updatedRollout);
    WriteCondition condition;
    condition.version = object.version;
    Error reason;
    const auto version = co_await this->platform.write(object.name, text, condition, reason);
    // If only the reply was lost, the next pass reads the stored rollout.
    if (!version)
        co_return false;
    const auto previous = parseRollout(object.value, reason);
    const bool hasStopped = updatedRollout.state == RolloutState::Stopped
            && (!previous || previous->state != RolloutState::Stopped);
    object.value = std::move(text);
    object.version = *version;
    logEvent(hasStopped ? LogEvent::RolloutStopped : LogEvent::RolloutAdvanced, "model",
             updatedRollout.model.toString(), "version", updatedRollout.version, "state",
             std::string(toString(updatedRollout.state)), "reason", updatedRollout.reason);
    co_return true;
}

net::awaitable<RolloutView> RolloutService::collectView(const Rollout &rollout)
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
    int pendingPolls = 0;
    for (const RolloutServer &server : rollout.servers) {
        const BackendServer *configuredServer = configuration->findServer(server.name);
        if (configuredServer == nullptr)
            continue;
        RolloutServerView &serverView = view.servers[server.name];
        const bool isPending = server.phase == ServerPhase::Pending;
        const bool isFinished =
                server.phase == ServerPhase::Done || server.phase == ServerPhase::Skipped;
        if (!isFinished && (!isPending || ++pendingPolls <= maxPendingPolls)) {
            const BackendServer polledServer = *configuredServer;
            serverView = co_await this->pollServer(polledServer, rollout);
        }
        serverView.isConfigured = true;
        const auto versions = configuration->servedVersions.find(server.name);
        if (versions != configuration->servedVersions.end()) {
            const auto version = versions->second.find(rollout.model);
            serverView.servedVersion = version == versions->second.end() ? "" : version->second;
        }
    }
    co_return view;
}

net::awaitable<RolloutServerView> RolloutService::pollServer(BackendServer server,
                                                             const Rollout &rollout)
{
    RolloutServerView serverView;
    Error reason;
    const auto endpoint = parseEndpoint(server.address, reason);
    std::optional<EngineStatus> status;
    if (endpoint)
        status = co_await readEngineStatus(*endpoint, server.name, engineTimeouts, reason);
    EngineHistory &history = this->engines[server.name];
    history.consecutiveFailures = status ? 0 : history.consecutiveFailures + 1;
    serverView.isUnresponsive = history.consecutiveFailures >= failuresUntilUnresponsive;
    serverView.hasAcceptedToken = history.acceptedToken == this->lease.token();
    const Milliseconds now = this->entry.steadyClock.now();
    serverView.wasOrderedRecently = std::any_of(
            history.lastOrderTimes.begin(), history.lastOrderTimes.end(),
            [now](const auto &order) { return now - order.second < orderRepeatInterval; });
    if (!status)
        co_return serverView;
    serverView.isReachable = true;
    for (const LoadedModel &loaded : status->models) {
        if (loaded.model == rollout.model)
            serverView.loaded[loaded.version] = loaded.running;
    }
    history.tokenIntervals.push_back(status->load.tokenIntervalMilliseconds);
    if (history.tokenIntervals.size() > maxIntervalSamples)
        history.tokenIntervals.pop_front();
    serverView.tokenInterval = median(history.tokenIntervals);
    co_return serverView;
}

} // namespace sassafrasyard
