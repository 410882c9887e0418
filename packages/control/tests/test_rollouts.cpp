#include "control/lease/orderlease.h"
#include "control/rollouts/rolloutplanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <memory>

using namespace sassafrasyard;

namespace {

struct ModelEngine
{
    bool checksFencing = true;
    std::uint64_t highestFence = 0;
    std::map<std::string, std::uint32_t> loaded{{"v1", 3}};
    std::string served = "v1";
    std::string ordered;
    double interval = 20.0;
    std::uint64_t moves = 0;
};

struct Carrier
{
    explicit Carrier(std::string name)
        : lease(HostIncarnation(std::move(name)), {})
    {
    }

    OrderLease lease;
    bool isPaused = false;
    /** What the carrier decided before it was paused, with the version of the rollout it read. */
    std::optional<RolloutStep> decided;
    std::uint64_t readVersion = 0;
    std::uint64_t readMoves = 0;
    std::uint64_t token = 0;
    std::map<BackendServerName, std::uint64_t> takenTokens;
};

/** Carriers that are killed and paused at any step of a rollout over fenced and other engines. */
class RolloutHistory
{
public:
    explicit RolloutHistory(std::uint64_t seed)
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
            this->spawn();
    }

    void run()
    {
        for (int event = 0; event < 400; ++event)
            this->randomEvent();
        for (const auto &carrier : this->carriers)
            carrier->isPaused = false;
        this->hasFaults = false;
        for (int round = 0; round < 1000; ++round) {
            this->passTime();
            for (const auto &carrier : this->carriers)
                this->act(*carrier, this->now);
        }
        RC_ASSERT(this->rollout.state != RolloutState::Running);
        const bool isCompleted = this->rollout.state == RolloutState::Completed;
        RC_ASSERT(isCompleted == this->rollout.reason.empty());
        for (const auto &[name, engine] : this->engines) {
            // Whatever a former holder did, new work goes to a version that is loaded.
            RC_ASSERT(engine.loaded.contains(engine.served));
            RC_ASSERT(!isCompleted || engine.served == "v2");
        }
    }

private:
    void spawn()
    {
        this->carriers.push_back(
                std::make_unique<Carrier>("run" + std::to_string(++this->spawned)));
    }

    void randomEvent()
    {
        Carrier &carrier = *this->carriers[this->random.below(this->carriers.size())];
        switch (this->random.below(12)) {
        case 0:
            if (this->random.below(3) == 0) {
                this->carriers.erase(this->carriers.begin());
                this->spawn();
            }
            break;
        case 1:
            carrier.isPaused = !carrier.isPaused;
            break;
        case 2:
            this->now += Milliseconds(this->random.below(30000));
            break;
        case 3:
            this->passTime();
            break;
        case 4:
            if (this->random.below(20) == 0)
                this->engines.begin()->second.interval = 100.0;
            break;
        default:
            this->act(carrier, this->now);
        }
    }

    void passTime()
    {
        this->now += Milliseconds(1000);
        for (auto &[name, engine] : this->engines) {
            if (!engine.ordered.empty())
                engine.loaded.emplace(engine.ordered, 0);
            engine.ordered.clear();
            for (auto &[version, running] : engine.loaded) {
                if (version == engine.served)
                    running = 3;
                else if (running > 0)
                    --running;
            }
        }
    }

    void keepLease(Carrier &carrier)
    {
        carrier.lease.recordRead(this->leaseRecord, this->leaseVersion, this->now, this->now);
        const auto write = carrier.lease.nextWrite(this->now);
        if (!write || write->version != this->leaseVersion)
            return;
        this->leaseRecord = write->record;
        ++this->leaseVersion;
        // Sometimes the reply is lost, and the next read has to find it.
        if (this->random.below(4) != 0)
            carrier.lease.recordWritten(this->leaseVersion);
    }

    void act(Carrier &carrier, Milliseconds at)
    {
        if (carrier.isPaused)
            return;
        if (carrier.decided) {
            // A process that was paused between its check and the send cannot know it.
            this->carryOut(carrier, *carrier.decided);
            carrier.decided.reset();
            return;
        }
        this->keepLease(carrier);
        if (!carrier.lease.isHeld(at))
            return;
        for (const auto &other : this->carriers)
            RC_ASSERT(other.get() == &carrier || !other->lease.isHeld(at));
        carrier.readVersion = this->rolloutVersion;
        carrier.token = carrier.lease.token();
        carrier.decided = planRollout(this->rollout, this->view(carrier));
        if (const auto *move = std::get_if<MoveNewWorkStep>(&*carrier.decided))
            carrier.readMoves = this->engines[move->server].moves;
        if (this->hasFaults && this->random.below(4) == 0)
            carrier.isPaused = true;
    }

    RolloutView view(const Carrier &carrier) const
    {
        RolloutView view;
        view.now = this->now;
        for (const auto &[name, engine] : this->engines) {
            RolloutServerView &seen = view.servers[name];
            seen.isConfigured = true;
            seen.isReachable = true;
            for (const auto &[version, running] : engine.loaded)
                seen.loaded[version] = running;
            seen.servedVersion = engine.served;
            seen.tokenInterval = engine.served == "v2" ? engine.interval : 20.0;
            const auto taken = carrier.takenTokens.find(name);
            seen.hasSeenToken =
                    taken != carrier.takenTokens.end() && taken->second == carrier.token;
        }
        return view;
    }

    void carryOut(Carrier &carrier, const RolloutStep &step)
    {
        if (const auto *order = std::get_if<SendOrderStep>(&step)) {
            if (this->takeOrder(this->engines[order->server], carrier.token, *order))
                carrier.takenTokens[order->server] = carrier.token;
        } else if (const auto *move = std::get_if<MoveNewWorkStep>(&step)) {
            ModelEngine &engine = this->engines[move->server];
            // The change is conditional on the configuration that the carrier read.
            if (engine.moves != carrier.readMoves)
                return;
            // New work may only go where the version is loaded.
            RC_ASSERT(engine.loaded.contains(move->version) || !engine.checksFencing);
            engine.served = move->version;
            ++engine.moves;
        } else if (const auto *record = std::get_if<RecordStep>(&step)) {
            if (carrier.readVersion != this->rolloutVersion)
                return;
            this->rollout = record->next;
            ++this->rolloutVersion;
            this->checkLoads();
        }
    }

    bool takeOrder(ModelEngine &engine, std::uint64_t fence, const SendOrderStep &order)
    {
        if (engine.checksFencing && fence < engine.highestFence)
            return false;
        engine.highestFence = std::max(engine.highestFence, fence);
        if (order.order == "load") {
            engine.ordered = order.version;
            return true;
        }
        // An engine that checks tokens never drops a version that has streams or gets new work.
        // One that ignores them may, if a former holder wakes between its check and its order.
        const auto old = engine.loaded.find(order.version);
        if (engine.checksFencing) {
            RC_ASSERT(old == engine.loaded.end() || old->second == 0);
            RC_ASSERT(engine.served != order.version);
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
    std::map<BackendServerName, ModelEngine> engines;
    std::vector<std::unique_ptr<Carrier>> carriers;
    int spawned = 0;
    std::optional<LeaseRecord> leaseRecord;
    std::uint64_t leaseVersion = 0;
};

RolloutView viewOf(Milliseconds now, const std::string &name, const RolloutServerView &server)
{
    RolloutView view;
    view.now = now;
    view.servers[BackendServerName(name)] = server;
    return view;
}

RolloutServerView servingView()
{
    RolloutServerView seen;
    seen.isConfigured = true;
    seen.isReachable = true;
    seen.loaded = {{"v1", 2}, {"v2", 2}};
    seen.servedVersion = "v2";
    seen.tokenInterval = 20.0;
    return seen;
}

Rollout servingRollout()
{
    Rollout rollout;
    rollout.version = "v2";
    rollout.servers.push_back(
            {BackendServerName("e"), ServerPhase::Serving, "v1", 20.0, Milliseconds(0)});
    return rollout;
}

} // namespace

// Guards against a rollout that hangs, loads too much or drops streams when its carrier dies.
TEST_CASE("A rollout completes whichever carrier dies or is paused", "[control]")
{
    rc::prop("random kills and pauses", [](std::uint64_t seed) {
        RolloutHistory history(seed);
        history.run();
    });
}

// Guards against a rollout that goes on over engines that got worse, and against a silent stop.
TEST_CASE("A rollout stops when the time per token rises, and gives new work back", "[control]")
{
    Rollout rollout = servingRollout();
    RolloutServerView seen = servingView();
    seen.tokenInterval = 31.0;
    seen.hasSeenToken = true;
    const auto stop = planRollout(rollout, viewOf(Milliseconds(1000), "e", seen));
    const auto *record = std::get_if<RecordStep>(&stop);
    REQUIRE(record != nullptr);
    REQUIRE(record->next.state == RolloutState::Stopped);
    REQUIRE(record->next.reason == "time per token on e rose from 20.0 ms to 31.0 ms with v2");
    const auto back = planRollout(record->next, viewOf(Milliseconds(1000), "e", seen));
    REQUIRE(back == RolloutStep(MoveNewWorkStep{BackendServerName("e"), "v1"}));
    seen.servedVersion = "v1";
    const auto end = planRollout(record->next, viewOf(Milliseconds(1000), "e", seen));
    REQUIRE(std::get<RecordStep>(end).next.servers[0].phase == ServerPhase::Reverted);
}

// Guards against an old version that goes while streams run on it or accounts ask for it.
TEST_CASE("The old version stays while streams or client accounts need it", "[control]")
{
    const Rollout rollout = servingRollout();
    RolloutServerView seen = servingView();
    RolloutView view = viewOf(Milliseconds(60000), "e", seen);
    REQUIRE(planRollout(rollout, view) == RolloutStep(WaitStep()));
    view.servers.begin()->second.loaded["v1"] = 0;
    const RolloutStep unload = SendOrderStep{BackendServerName("e"), "unload", "v1"};
    REQUIRE(planRollout(rollout, view) == unload);
    view.pinnedVersions["v1"] = true;
    const auto pinned = planRollout(rollout, view);
    REQUIRE(std::get<RecordStep>(pinned).next.servers[0].phase == ServerPhase::Done);
}

// Guards against rollouts that overload the weight store together.
TEST_CASE("The loads of other rollouts count against the limit", "[control]")
{
    Rollout rollout = servingRollout();
    rollout.servers[0].phase = ServerPhase::Pending;
    RolloutServerView seen = servingView();
    seen.loaded = {{"v1", 2}};
    RolloutView view = viewOf(Milliseconds(0), "e", seen);
    view.otherLoads = rollout.maximumLoads - 1;
    REQUIRE(std::holds_alternative<RecordStep>(planRollout(rollout, view)));
    view.otherLoads = rollout.maximumLoads;
    REQUIRE(planRollout(rollout, view) == RolloutStep(WaitStep()));
}

TEST_CASE("A rollout survives formatting and parsing", "[control]")
{
    Rollout rollout = servingRollout();
    rollout.reason = "why";
    Error reason;
    REQUIRE(parseRollout(formatRollout(rollout), reason) == rollout);
    REQUIRE_FALSE(parseRollout("{}", reason));
}

// Guards against a holder that wakes from a pause and still believes it holds the lease.
TEST_CASE("A paused holder's lease has ended when another host takes it", "[control]")
{
    OrderLease old(HostIncarnation("a"), {});
    OrderLease next(HostIncarnation("b"), {});
    old.recordRead(std::nullopt, 0, Milliseconds(0), Milliseconds(0));
    const auto taken = old.nextWrite(Milliseconds(0));
    REQUIRE(taken);
    old.recordWritten(1);
    REQUIRE(old.isHeld(Milliseconds(9999)));
    next.recordRead(taken->record, 1, Milliseconds(1), Milliseconds(2));
    REQUIRE_FALSE(next.nextWrite(Milliseconds(15001)));
    const auto takeover = next.nextWrite(Milliseconds(15002));
    REQUIRE(takeover);
    REQUIRE(takeover->record.token == 2);
    REQUIRE_FALSE(old.isHeld(Milliseconds(10000)));
}

// Guards against crediting a late first write with the time of a repeated one.
TEST_CASE("A write that took effect late does not lengthen the lease", "[control]")
{
    OrderLease lease(HostIncarnation("a"), {});
    lease.recordRead(std::nullopt, 0, Milliseconds(0), Milliseconds(0));
    const auto first = lease.nextWrite(Milliseconds(0));
    lease.recordRead(std::nullopt, 0, Milliseconds(1), Milliseconds(1));
    REQUIRE(lease.nextWrite(Milliseconds(12000)));
    lease.recordRead(first->record, 1, Milliseconds(12001), Milliseconds(12001));
    REQUIRE_FALSE(lease.isHeld(Milliseconds(12001)));
}
