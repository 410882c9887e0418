#pragma once

#include "policy/policy.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Sizes and rates of a FleetModel. */
struct FleetModelOptions
{
    /** Entry hosts. */
    std::size_t hosts = 9;
    /** Engines. */
    std::size_t engines = 14;
    /** Failure domains, over which hosts and engines are spread in turn. */
    std::size_t failureDomains = 3;
    /** New jobs a second over all hosts. */
    double jobsPerSecond = 11.0;
    /** Memory of an engine, in tokens. */
    std::uint32_t memoryTokens = 65536;
    /** How many engines each host tracks; 0 for all. */
    std::size_t maximumTrackedEngines = 0;
    /** Engines that run at a third of their speed from the first third of the run to the second. */
    std::size_t slowedEngineCount = 0;
    /** How long the run takes, in milliseconds of model time. */
    Milliseconds duration{120000};
    /** Seed of the arrivals and lengths. */
    std::uint64_t seed = 1;
    /** Makes the placement policy of a host. @see estimatedLoadPlacement() */
    std::function<PlacementPolicy(std::uint64_t seed)> placement;
    /** Changes the options of each host's pool; may be empty. */
    std::function<void(ServerPoolOptions &)> adjustPool;
};

/** What a run of a FleetModel showed. */
struct FleetModelResult
{
    /** Jobs that ended. */
    std::size_t finished = 0;
    /** Times an engine had to stop a job because its memory was full. */
    std::size_t preemptions = 0;
    /** Time from arrival to the first token, in milliseconds. */
    double medianFirstToken = 0.0;
    /** The same, 95th percentile. */
    double p95FirstToken = 0.0;
    /** Time per token of a job, 99th percentile over jobs, in milliseconds. */
    double p99TokenInterval = 0.0;
};

/**
 * A model of entry hosts that place heavy-tailed jobs on engines, in steps of model time.
 *
 * Engines batch: the more jobs run, the longer a token takes. An engine whose memory is full stops
 * its youngest job, which starts over when there is room. Load reports come twice a second and are
 * 500 ms old; each host exchanges digests with one random peer a second.
 */
class FleetModel
{
public:
    /** Creates a fleet without jobs. */
    explicit FleetModel(FleetModelOptions options);
    FleetModel(const FleetModel &) = delete;
    FleetModel &operator=(const FleetModel &) = delete;

    /** Runs the model once. */
    FleetModelResult run();

private:
    struct Job
    {
        WorkRequest request;
        std::size_t host = 0;
        std::uint32_t length = 0;
        double produced = 0.0;
        double preemptedAt = 0.0;
        Milliseconds arrivedAt{0};
        Milliseconds firstTokenAt{-1};
    };

    struct Engine
    {
        std::vector<std::unique_ptr<Job>> running;
        std::deque<std::unique_ptr<Job>> waiting;
        std::deque<LoadReport> reports;
        /** The time per token that it reports; follows the true one slowly. */
        double reportedTokenInterval = 0.0;
    };

    struct Host
    {
        std::unique_ptr<ServerPool> pool;
        std::deque<std::unique_ptr<Job>> waiting;
    };

    void addJob();
    void placeWaiting(Host &host);
    void stepEngine(std::size_t index);
    void startWaiting(Engine &engine);
    void preempt(Engine &engine);
    void finish(Job &job);
    void recordReport(std::size_t index);
    void exchangeLoadDigests();
    double slowdown(std::size_t index) const;

    FleetModelOptions options;
    RandomSource random;
    std::vector<BackendServer> servers;
    std::vector<Engine> engines;
    std::vector<Host> hosts;
    Milliseconds now{0};
    std::uint64_t jobCount = 0;
    FleetModelResult result;
    std::vector<double> firstTokenTimes;
    std::vector<double> tokenIntervals;
};

} // namespace sassafrasyard
