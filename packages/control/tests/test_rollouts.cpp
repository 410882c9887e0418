#include "control/lease/orderlease.h"
#include "control/rollouts/rolloutplanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <memory>

using namespace sassafrasyard;

namespace {

struct SimulatedEngine
{
    bool checksFencing = true;
    std::uint64_t highestFence = 0;
    std::map<std::string, std::uint32_t> loaded{{"v1", 3}};
    std::string servedVersion = "v1";
    std::string loadingVersion;
    double tokenInterval = 20.0;
    std::uint64_t servedVersionChanges = 0;
};

struct RolloutHost
{
    explicit RolloutHost(std::string name)
        : lease(HostIncarnation(std::move(name)), {})
    {
    }

    OrderLease lease;
    bool isPaused = false;
    /** The step that the host planned but has not executed yet. */
    std::optional<RolloutStep> pendingStep;
    std::uint64_t readRolloutVersion = 0;
    std::uint64_t readVersionChanges = 0;
    std::uint64_t token = 0;
    std::map<BackendServerName, std::uint64_t> acceptedTokens;
};

/** Hosts that are killed and paused at any step of a rollout; only some engines check fencing. */
class RolloutSimulation
{
public:
    explicit RolloutSimulation(std::uint64_t seed)
        : random(seed)
    {
        this->rollout.model = ModelName("plan");
        this->rollout.version = "v2";
        this->rollout.parallelShare = 0.4;
        this->rollout.maximumLoads = 2;
        for (int number = 0; number < 5; ++number) {
            const BackendServerName name("engine" + std::to_string(number));
            this->engines[name].checksFencing = this->random.below(2) == 0;
            this->rollout.servers.push_back({name, ServerPhase::Pending, "", 0.0, {}});
        }
        for (int number = 0; number < 3; ++number)
            this->addHost();
    }

    void run()
    {
        for (int event = 0; event < 400; ++event)
            this->randomEvent();
        for (const auto &host : this->hosts)
            host->isPaused = false;
        this->hasFaults = false;
        for (int round = 0; round < 1000; ++round) {
            this->advanceTime();
            for (const auto &host : this->hosts)
                this->runHost(*host, this->now);
        }
        RC_ASSERT(this->rollout.state != RolloutState::Running);
        const bool isCompleted = this->rollout.state == RolloutState::Completed;
        RC_ASSERT(isCompleted == this->rollout.reason.empty());
        for (const auto &[name, engine] : this->engines) {
            // Whatever earlier lease holders did, the served version is loaded.
            RC_ASSERT(engine.loaded.contains(engine.servedVersion));
            RC_ASSERT(!isCompleted || engine.servedVersion == "v2");
        }
    }

private:
    void addHost()
    {
        this->hosts.push_back(
                std::make_unique<RolloutHost>("run" + std::to_string(++this->createdHosts)));
    }

    void randomEvent()
    {
        RolloutHost &host = *this->hosts[this->random.below(this->hosts.size())];
        switch (this->random.below(12)) {
        case 0:
            if (this->random.below(3) == 0) {
                this->hosts.erase(this->hosts.begin());
                this->addHost();
            }
            break;
        case 1:
            host.isPaused = !host.isPaused;
            break;
        case 2:
            this->now += Milliseconds(this->random.below(30000));
            break;
        case 3:
            this->advanceTime();
            break;
        case 4:
            if (this->random.below(20) == 0)
                this->engines.begin()->second.tokenInterval = 100.0;
            break;
        default:
            this->runHost(host, this->now);
        }
    }

    void advanceTime()
    {
        this->now += Milliseconds(1000);
        for (auto &[name, engine] : this->engines) {
            if (!engine.loadingVersion.empty())
                engine.loaded.emplace(engine.loadingVersion, 0);
            engine.loadingVersion.clear();
            for (auto &[version, running] : engine.loaded) {
                if (version == engine.servedVersion)
                    running = 3;
                else if (running > 0)
                    --running;
            }
        }
    }

    void acquireOrRenewLease(RolloutHost &host)
    {
        host.lease.recordRead(this->leaseRecord, this->leaseVersion, this->now, this->now);
        const auto write = host.lease.nextWrite(this->now);
        if (!write || write->version != this->leaseVersion)
            return;
        this->leaseRecord = write->record;
        ++this->leaseVersion;
        // Sometimes the reply is lost, and the next read must detect that the write took effect.
        if (this->random.below(4) != 0)
            host.lease.recordWritten(this->leaseVersion);
    }

    void runHost(RolloutHost &host, Milliseconds at)
    {
        if (host.isPaused)
            return;
        if (host.pendingStep) {
            // A process cannot detect a pause between its lease check and the send.
            this->executeStep(host, *host.pendingStep);
            host.pendingStep.reset();
            return;
        }
        this->acquireOrRenewLease(host);
        if (!host.lease.isHeld(at))
            return;
        for (const auto &other : this->hosts)
            RC_ASSERT(other.get() == &host || !other->lease.isHeld(at));
        host.readRolloutVersion = this->rolloutVersion;
        host.token = host.lease.token();
        host.pendingStep = planRollout(this->rollout, this->view(host));
        if (const auto *change = std::get_if<SetServedVersionStep>(&*host.pendingStep))
            host.readVersionChanges = this->engines[change->server].servedVersionChanges;
        if (this->hasFaults && this->random.below(4) == 0)
            host.isPaused = true;
    }

    RolloutView view(const RolloutHost &host) const
    {
        RolloutView view;
        view.now = this->now;
        for (const auto &[name, engine] : this->engines) {
            RolloutServerView &serverView = view.servers[name];
            serverView.isConfigured = true;
            serverView.isReachable = true;
            for (const auto &[version, running] : engine.loaded)
                serverView.loaded[version] = running;
            serverView.servedVersion = engine.servedVersion;
            serverView.tokenInterval = engine.servedVersion == "v2" ? engine.tokenInterval : 20.0;
            const auto taken = host.acceptedTokens.find(name);
            serverView.hasAcceptedToken =
                    taken != host.acceptedTokens.end() && taken->second == host.token;
        }
        return view;
    }

    void executeStep(RolloutHost &host, const RolloutStep &step)
    {
        if (const auto *order = std::get_if<SendOrderStep>(&step)) {
            if (this->handleOrder(this->engines[order->server], host.token, *order))
                host.acceptedTokens[order->server] = host.token;
        } else if (const auto *change = std::get_if<SetServedVersionStep>(&step)) {
            SimulatedEngine &engine = this->engines[change->server];
            // The change is conditional on the configuration that the host read.
            if (engine.servedVersionChanges != host.readVersionChanges)
                return;
            // New requests may only use a loaded version.
            RC_ASSERT(engine.loaded.contains(change->version) || !engine.checksFencing);
            engine.servedVersion = change->version;
            ++engine.servedVersionChanges;
        } else if (const auto *record = std::get_if<WriteRolloutStep>(&step)) {
            if (host.readRolloutVersion != this->rolloutVersion)
                return;
            this->rollout = record->updatedRollout;
            ++this->rolloutVersion;
            this->checkLoads();
        }
    }

    bool handleOrder(SimulatedEngine &engine, std::uint64_t fence, const SendOrderStep &order)
    {
        if (engine.checksFencing && fence < engine.highestFence)
            return false;
        engine.highestFence = std::max(engine.highestFence, fence);
        if (order.order == "load") {
            engine.loadingVersion = order.version;
            return true;
        }
        // An engine that checks tokens never unloads a version that has streams or gets new
        // requests. Other engines may, if an earlier lease holder resumes between its check and its
        // order.
        const auto loadedVersion = engine.loaded.find(order.version);
        if (engine.checksFencing) {
            RC_ASSERT(loadedVersion == engine.loaded.end() || loadedVersion->second == 0);
            RC_ASSERT(engine.servedVersion != order.version);
        }
        engine.loaded.erase(order.version);
        return true;
    }

    void checkLoads() const
    {
        std::size_t loading = 0;
        for (const RolloutServer &server : this->rollout.servers)
            loading += server.phase == ServerPhase::Loading ? 1 : 0;
        RC_ASSERT(loading <= this->rollout.maximumLoads);
    }

    RandomSource random;
    bool hasFaults = true;
    Milliseconds now{1000};
    Rollout rollout;
    std::uint64_t rolloutVersion = 1;
    std::map<BackendServerName, SimulatedEngine> engines;
    std::vector<std::unique_ptr<RolloutHost>> hosts;
    int createdHosts = 0;
    std::optional<LeaseRecord> leaseRecord;
    std::uint64_t leaseVersion = 0;
};

RolloutView makeView(Milliseconds now, const std::string &name, const RolloutServerView &server)
{
    RolloutView view;
    view.now = now;
    view.servers[BackendServerName(name)] = server;
    return view;
}

RolloutServerView makeServingView()
{
    RolloutServerView serverView;
    serverView.isConfigured = true;
    serverView.isReachable = true;
    serverView.loaded = {{"v1", 2}, {"v2", 2}};
    serverView.servedVersion = "v2";
    serverView.tokenInterval = 20.0;
    return serverView;
}

Rollout makeServingRollout()
{
    Rollout rollout;
    rollout.version = "v2";
    rollout.servers.push_back(
            {BackendServerName("e"), ServerPhase::Serving, "v1", 20.0, Milliseconds(0)});
    return rollout;
}

} // namespace

// Guards against a rollout that hangs, exceeds the load limit or breaks streams when the host that
// runs it fails.
TEST_CASE("A rollout ends correctly whichever host fails or is paused", "[control]")
{
    rc::prop("random kills and pauses", [](std::uint64_t seed) {
        RolloutSimulation simulation(seed);
        simulation.run();
    });
}

// Guards against a rollout that continues although engines became slower, and against a stop
// without a reason.
TEST_CASE("A rollout stops and reverts the served version when the time per token rises",
          "[control]")
{
    Rollout rollout = makeServingRollout();
    RolloutServerView serverView = makeServingView();
    serverView.tokenInterval = 31.0;
    serverView.hasAcceptedToken = true;
    const auto stop = planRollout(rollout, makeView(Milliseconds(1000), "e", serverView));
    const auto *record = std::get_if<WriteRolloutStep>(&stop);
    REQUIRE(record != nullptr);
    REQUIRE(record->updatedRollout.state == RolloutState::Stopped);
    REQUIRE(record->updatedRollout.reason
            == "time per token on e rose from 20.0 ms to 31.0 ms with v2");
    const auto revert =
            planRollout(record->updatedRollout, makeView(Milliseconds(1000), "e", serverView));
    REQUIRE(revert == RolloutStep(SetServedVersionStep{BackendServerName("e"), "v1"}));
    serverView.servedVersion = "v1";
    const auto end =
            planRollout(record->updatedRollout, makeView(Milliseconds(1000), "e", serverView));
    REQUIRE(std::get<WriteRolloutStep>(end).updatedRollout.servers[0].phase
            == ServerPhase::Reverted);
}

// Guards against unloading an old version while streams run on it or accounts are bound to it.
TEST_CASE("The old version stays while streams or client accounts need it", "[control]")
{
    const Rollout rollout = makeServingRollout();
    RolloutServerView serverView = makeServingView();
    RolloutView view = makeView(Milliseconds(60000), "e", serverView);
    REQUIRE(planRollout(rollout, view) == RolloutStep(WaitStep()));
    view.servers.begin()->second.loaded["v1"] = 0;
    const RolloutStep unload = SendOrderStep{BackendServerName("e"), "unload", "v1"};
    REQUIRE(planRollout(rollout, view) == unload);
    view.pinnedVersions["v1"] = true;
    const auto pinned = planRollout(rollout, view);
    REQUIRE(std::get<WriteRolloutStep>(pinned).updatedRollout.servers[0].phase
            == ServerPhase::Done);
}

// Guards against several rollouts that together exceed the load limit of the weight store.
TEST_CASE("The loads of other rollouts count against the limit", "[control]")
{
    Rollout rollout = makeServingRollout();
    rollout.servers[0].phase = ServerPhase::Pending;
    RolloutServerView serverView = makeServingView();
    serverView.loaded = {{"v1", 2}};
    RolloutView view = makeView(Milliseconds(0), "e", serverView);
    view.otherLoads = rollout.maximumLoads - 1;
    REQUIRE(std::holds_alternative<WriteRolloutStep>(planRollout(rollout, view)));
    view.otherLoads = rollout.maximumLoads;
    REQUIRE(planRollout(rollout, view) == RolloutStep(WaitStep()));
}

// Guards against fields that are lost when a rollout is stored and read back.
TEST_CASE("A formatted rollout parses to the same rollout", "[control]")
{
    Rollout rollout = makeServingRollout();
    rollout.reason = "why";
    Error reason;
    REQUIRE(parseRollout(formatRollout(rollout), reason) == rollout);
    REQUIRE_FALSE(parseRollout("{}", reason));
}

// Guards against a holder that resumes after a pause and still treats its lease as valid.
TEST_CASE("A paused holder's lease has expired when another host acquires it", "[control]")
{
    OrderLease pausedHolder(HostIncarnation("a"), {});
    OrderLease candidate(HostIncarnation("b"), {});
    pausedHolder.recordRead(std::nullopt, 0, Milliseconds(0), Milliseconds(0));
    const auto acquisition = pausedHolder.nextWrite(Milliseconds(0));
    REQUIRE(acquisition);
    pausedHolder.recordWritten(1);
    REQUIRE(pausedHolder.isHeld(Milliseconds(9999)));
    candidate.recordRead(acquisition->record, 1, Milliseconds(1), Milliseconds(2));
    REQUIRE_FALSE(candidate.nextWrite(Milliseconds(15001)));
    const auto takeover = candidate.nextWrite(Milliseconds(15002));
    REQUIRE(takeover);
    REQUIRE(takeover->record.token == 2);
    REQUIRE_FALSE(pausedHolder.isHeld(Milliseconds(10000)));
}

// Guards against measuring the lease from a later attempt when an earlier write took effect late.
TEST_CASE("A write that takes effect late does not extend the lease", "[control]")
{
    OrderLease lease(HostIncarnation("a"), {});
    lease.recordRead(std::nullopt, 0, Milliseconds(0), Milliseconds(0));
    const auto first = lease.nextWrite(Milliseconds(0));
    lease.recordRead(std::nullopt, 0, Milliseconds(1), Milliseconds(1));
    REQUIRE(lease.nextWrite(Milliseconds(12000)));
    lease.recordRead(first->record, 1, Milliseconds(12001), Milliseconds(12001));
    REQUIRE_FALSE(lease.isHeld(Milliseconds(12001)));
}
