#include "fleetmodel.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>

using namespace sassafrasyard;

namespace {

constexpr std::size_t accounts = 10;

std::vector<BackendServer> makeServers(std::size_t count)
{
    std::vector<BackendServer> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].name = BackendServerName("region-3-replica-" + std::to_string(index));
        servers[index].failureDomain = FailureDomainName("domain-" + std::to_string(index % 20));
        servers[index].models = {ModelName("plan")};
    }
    return servers;
}

WorkRequest makeRequest(std::uint64_t number)
{
    WorkRequest request;
    request.name = RequestName("request-" + std::to_string(number));
    request.account = ClientAccountName("account-" + std::to_string(number % accounts));
    request.model = ModelName("plan");
    request.promptTokens = 600;
    request.prefixDigest = 1 + number % 100;
    return request;
}

/** Returns a pool whose servers have all reported their load, with 0 to 7 running requests. */
std::unique_ptr<ServerPool> makePool(std::size_t count, PlacementPolicy placement)
{
    ServerPoolOptions options;
    options.host = HostName("host-1");
    options.failureDomain = FailureDomainName("domain-1");
    options.placement = std::move(placement);
    auto pool = std::make_unique<ServerPool>(std::move(options));
    const std::vector<BackendServer> servers = makeServers(count);
    pool->setBackendServers(servers, Milliseconds(0));
    for (std::size_t index = 0; index < count; ++index) {
        LoadReport report;
        report.server = servers[index].name;
        report.running = static_cast<std::uint32_t>(index % 8);
        report.memoryUsedTokens = 1000 * report.running;
        report.tokenIntervalMilliseconds = 30.0;
        pool->recordLoadReport(report, Milliseconds(0));
    }
    pool->advance(Milliseconds(1));
    return pool;
}

/** Returns the heap memory in use, in bytes. */
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void placeAndRelease(benchmark::State &state, const PlacementPolicy &placement)
{
    const double before = heapBytes();
    const auto pool = makePool(static_cast<std::size_t>(state.range(0)), placement);
    state.counters["KB"] = (heapBytes() - before) / 1024.0;
    const WorkRequest request = makeRequest(1);
    for (auto unused : state) {
        const auto placed = pool->place(request, Milliseconds(10));
        benchmark::DoNotOptimize(placed);
        pool->release(request.name, WorkOutcome::Cancelled, Milliseconds(10));
    }
    state.SetComplexityN(state.range(0));
}

void placeEstimated(benchmark::State &state)
{
    placeAndRelease(state, estimatedLoadPlacement(1));
}

void placeLeastOutstanding(benchmark::State &state)
{
    placeAndRelease(state, leastOutstandingPlacement());
}

void placeRoundRobin(benchmark::State &state)
{
    placeAndRelease(state, roundRobinPlacement());
}

void readCapacity(benchmark::State &state)
{
    const auto pool = makePool(static_cast<std::size_t>(state.range(0)), estimatedLoadPlacement(1));
    const ModelName model("plan");
    for (auto unused : state)
        benchmark::DoNotOptimize(pool->capacity(model, {}, Milliseconds(10)));
}

/** Tries to place a request while no server has capacity for it. */
void refuse(benchmark::State &state)
{
    const auto pool = makePool(static_cast<std::size_t>(state.range(0)), estimatedLoadPlacement(1));
    std::uint64_t number = 0;
    while (pool->place(makeRequest(number), Milliseconds(2)))
        ++number;
    const WorkRequest request = makeRequest(number);
    for (auto unused : state)
        benchmark::DoNotOptimize(pool->place(request, Milliseconds(2)));
}

/** Records a token for one of 1,320 running streams. */
void recordToken(benchmark::State &state)
{
    const auto pool = makePool(256, estimatedLoadPlacement(1));
    std::vector<RequestName> names;
    for (std::uint64_t number = 0; number < 1320; ++number) {
        const WorkRequest request = makeRequest(number);
        if (pool->place(request, Milliseconds(2)))
            names.push_back(request.name);
    }
    std::uint32_t tokens = 0;
    std::size_t index = 0;
    for (auto unused : state) {
        tokens += index == 0 ? 1 : 0;
        pool->recordProgress(names[index], tokens, Milliseconds(30 * tokens));
        index = (index + 1) % names.size();
    }
}

void estimateLength(benchmark::State &state)
{
    const double before = heapBytes();
    LengthEstimator estimator;
    RandomSource random(1);
    std::vector<LengthClass> classes;
    for (std::int64_t account = 0; account < state.range(0); ++account)
        classes.push_back(LengthEstimator::classOf(
                ClientAccountName("account-" + std::to_string(account)), ModelName("plan"), 600));
    const Milliseconds now{1000};
    for (int round = 0; round < 3; ++round) {
        for (const LengthClass &lengthClass : classes) {
            const auto length = static_cast<std::uint32_t>(50.0 / (1.0 - random.unit()));
            estimator.recordProgress(lengthClass, 0, length, now);
            estimator.recordEnd(lengthClass, length, now);
        }
    }
    state.counters["histories"] = static_cast<double>(estimator.historyCount());
    state.counters["KB"] = (heapBytes() - before) / 1024.0;
    for (auto unused : state) {
        const LengthClass &lengthClass = classes[random.below(classes.size())];
        benchmark::DoNotOptimize(estimator.totalQuantile(lengthClass, 100, 0.8, now));
    }
}

void learnLength(benchmark::State &state)
{
    LengthEstimator estimator;
    RandomSource random(1);
    std::vector<LengthClass> classes;
    for (std::int64_t account = 0; account < state.range(0); ++account)
        classes.push_back(LengthEstimator::classOf(
                ClientAccountName("account-" + std::to_string(account)), ModelName("plan"), 600));
    for (auto unused : state) {
        const LengthClass &lengthClass = classes[random.below(classes.size())];
        estimator.recordProgress(lengthClass, 0, 700, Milliseconds(1000));
        estimator.recordEnd(lengthClass, 700, Milliseconds(1000));
    }
}

void chooseTracked(benchmark::State &state)
{
    const auto servers = makeServers(3900);
    std::vector<TrackingHost> hosts;
    for (int index = 0; index < 330; ++index)
        hosts.push_back({HostName("host-" + std::to_string(index)),
                         FailureDomainName("domain-" + std::to_string(index % 20))});
    for (auto unused : state)
        benchmark::DoNotOptimize(trackedSubset(servers, hosts, hosts.front(), 256));
}

constexpr std::uint64_t seedsPerFleet = 5;

/** Runs a FleetModel with several seeds and reports the mean of each result. */
void runFleet(benchmark::State &state, FleetModelOptions options)
{
    for (auto unused : state) {
        for (options.seed = 1; options.seed <= seedsPerFleet; ++options.seed) {
            FleetModel model(options);
            const FleetModelResult result = model.run();
            const auto add = [&](const char *name, double value) {
                state.counters[name] += value / static_cast<double>(seedsPerFleet);
            };
            add("finished", static_cast<double>(result.finished));
            add("preempted", static_cast<double>(result.preemptions));
            add("first_p50", result.medianFirstToken);
            add("first_p95", result.p95FirstToken);
            add("interval_p99", result.p99TokenInterval);
        }
    }
}

void registerFleet(const std::string &name, const FleetModelOptions &options)
{
    benchmark::RegisterBenchmark(("fleet/" + name).c_str(), runFleet, options)
            ->Iterations(1)
            ->Unit(benchmark::kMillisecond);
}

void registerPolicies(const std::string &fleetName, FleetModelOptions options)
{
    options.placement = [](std::uint64_t) {
        return roundRobinPlacement();
    };
    registerFleet(fleetName + "/round_robin", options);
    options.placement = [](std::uint64_t) {
        return leastOutstandingPlacement();
    };
    registerFleet(fleetName + "/least_outstanding", options);
    options.placement = [](std::uint64_t seed) {
        return estimatedLoadPlacement(seed);
    };
    registerFleet(fleetName + "/estimated_load", options);
    options.adjustPool = [](ServerPoolOptions &pool) {
        pool.pace.maximumEjectedShare = 0.0;
    };
    registerFleet(fleetName + "/estimated_load_no_ejection", options);
}

void registerFleets()
{
    const FleetModelOptions peach;
    registerPolicies("9_hosts", peach);
    FleetModelOptions slowed = peach;
    slowed.slowedEngineCount = 3;
    registerPolicies("9_hosts_3_slow", slowed);
    FleetModelOptions smallMemory = peach;
    smallMemory.memoryTokens = 20000;
    registerPolicies("9_hosts_crowded", smallMemory);
    FleetModelOptions large;
    large.hosts = 60;
    large.engines = 400;
    large.failureDomains = 8;
    large.maximumTrackedEngines = 64;
    large.jobsPerSecond = 320.0;
    large.duration = Milliseconds(30000);
    registerPolicies("60_hosts", large);
    smallMemory.placement = [](std::uint64_t seed) {
        return estimatedLoadPlacement(seed);
    };
    for (const double quantile : {0.0, 0.5, 0.6, 0.7, 0.8, 0.9}) {
        smallMemory.adjustPool = [quantile](ServerPoolOptions &pool) {
            pool.reservationQuantile = quantile;
        };
        registerFleet("9_hosts_crowded/quantile_" + std::to_string(quantile).substr(0, 4),
                      smallMemory);
    }
}

} // namespace

BENCHMARK(placeEstimated)->RangeMultiplier(4)->Range(16, 4000)->Complexity(benchmark::oN);
BENCHMARK(placeLeastOutstanding)->RangeMultiplier(4)->Range(16, 4000);
BENCHMARK(placeRoundRobin)->RangeMultiplier(4)->Range(16, 4000);
BENCHMARK(refuse)->RangeMultiplier(4)->Range(16, 4000);
BENCHMARK(readCapacity)->RangeMultiplier(4)->Range(16, 4000);
BENCHMARK(recordToken);
BENCHMARK(estimateLength)->Arg(5700)->Arg(1000)->Arg(100)->Arg(10);
BENCHMARK(learnLength)->Arg(10)->Arg(100)->Arg(1000)->Arg(5700);
BENCHMARK(chooseTracked)->Unit(benchmark::kMillisecond);

int main(int argc, char **argv)
{
    registerFleets();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
