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

/** The sizes, rates and policy of a FleetModel. */
struct FleetModelOptions
{
    /** The number of entry hosts. */
    std::size_t hosts = 9;
    /** The number of engines. */
    std::size_t engines = 14;
    /** The number of failure domains; hosts and engines are assigned to them in turn. */
    std::size_t failureDomains = 3;
    /** The rate of new jobs over all hosts, per second. */
    double jobsPerSecond = 11.0;
    /** The memory of each engine, in tokens. */
    std::uint32_t memoryTokens = 65536;
    /** The largest number of engines that a host tracks; 0 for all. */
    std::size_t maximumTrackedEngines = 0;
    /** The number of engines that run at a third of their speed in the middle third of the run. */
    std::size_t slowedEngineCount = 0;
    /** The simulated duration of the run. */
    Milliseconds duration{120000};
    /** The seed of the hosts, prompts and output lengths of the jobs. */
    std::uint64_t seed = 1;
    /** Creates the placement policy of a host. @see estimatedLoadPlacement() */
    std::function<PlacementPolicy(std::uint64_t seed)> placement;
    /** Changes the pool options of each host before its pool is created; may be empty. */
    std::function<void(ServerPoolOptions &)> adjustPool;
};

/** The results of a FleetModel run. */
struct FleetModelResult
{
    /** The number of jobs that ended. */
    std::size_t finished = 0;
    /** How often an engine preempted a job because its memory was full. */
    std::size_t preemptions = 0;
    /** The median time from arrival to the first token, in milliseconds. */
    double medianFirstToken = 0.0;
    /** The 95th percentile of that time, in milliseconds. */
    double p95FirstToken = 0.0;
    /** The 99th percentile over jobs of the mean time per token, in milliseconds. */
    double p99TokenInterval = 0.0;
};

/**
 * Simulates entry hosts that place jobs with heavy-tailed output lengths on engines.
 *
 * Engines batch: the time per token grows with the number of running jobs. An engine whose memory
 * is full preempts the job that it started last, which restarts from its first token when memory is
 * free. Each engine reports its load twice a second, and hosts receive a report 500 ms late. Each
 * host exchanges load digests with one random peer per second.
 */
class FleetModel
{
public:
    /** Creates the hosts and engines, without jobs. */
    explicit FleetModel(FleetModelOptions options);
    FleetModel(const FleetModel &) = delete;
    FleetModel &operator=(const FleetModel &) = delete;

    /** Runs the simulation to the end of its duration. Call it once. */
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
        /** The smoothed time per token that the engine reports, in milliseconds. */
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
