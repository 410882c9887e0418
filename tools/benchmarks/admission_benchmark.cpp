#include "policy/policy.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr std::size_t serverCount = 14;
constexpr std::uint32_t slotsPerServer = 96;

WorkRequest makeRequest(std::uint64_t number, std::uint64_t accounts)
{
    WorkRequest request;
    request.name = RequestName("a91c3f27d4e8b605-" + std::to_string(number));
    request.account = ClientAccountName("account-" + std::to_string(number % accounts));
    request.model = ModelName("plan");
    request.promptTokens = 200;
    request.priority = static_cast<Priority>(number % 3);
    request.requestDigest = number + 1;
    return request;
}

/** A dispatcher with no free slot and a given number of waiting requests. */
struct SaturatedDispatcher
{
    SaturatedDispatcher(std::uint64_t accounts, std::uint64_t waiting)
        : accounts(accounts)
        , dispatcher(options())
    {
        std::vector<BackendServer> servers(serverCount);
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].name = BackendServerName("engine-" + std::to_string(index));
            servers[index].models = {ModelName("plan")};
            servers[index].slots = slotsPerServer;
        }
        this->dispatcher.setBackendServers(servers, this->now);
        std::vector<AccountLimits> limits(accounts);
        for (std::size_t index = 0; index < limits.size(); ++index) {
            limits[index].account = ClientAccountName("account-" + std::to_string(index));
            limits[index].maximumRunning = 1'000'000;
        }
        this->dispatcher.setAccountLimits(limits);
        while (this->dispatcher.waitingCount() < waiting
               || this->dispatcher.runningCount() < serverCount * slotsPerServer)
            this->submit();
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.queueLimit = 4000;
        options.accountQueueLimit = 4000;
        options.maximumWait = Milliseconds(1'000'000'000);
        return options;
    }

    void submit()
    {
        this->dispatcher.submit(makeRequest(this->submitted++, this->accounts), this->now);
        for (const Decision &decision : this->dispatcher.takeDecisions()) {
            if (const auto *assignment = std::get_if<Assignment>(&decision))
                this->running.push_back(assignment->request);
        }
    }

    std::uint64_t accounts;
    Milliseconds now{1};
    Dispatcher dispatcher;
    std::uint64_t submitted = 0;
    std::vector<RequestName> running;
};

/** Finishes a request, which places a waiting one, and submits a new request. */
void finishAndSubmit(benchmark::State &state)
{
    SaturatedDispatcher saturated(static_cast<std::uint64_t>(state.range(0)),
                                  static_cast<std::uint64_t>(state.range(1)));
    std::size_t nextRunning = 0;
    for (auto step : state) {
        saturated.dispatcher.recordFinished(saturated.running[nextRunning++],
                                            WorkOutcome::Completed, saturated.now);
        saturated.submit();
    }
    state.counters["waiting"] = static_cast<double>(saturated.dispatcher.waitingCount());
}

/** Submits a request while no slot is free, and withdraws it. */
void submitBlocked(benchmark::State &state)
{
    SaturatedDispatcher saturated(static_cast<std::uint64_t>(state.range(0)),
                                  static_cast<std::uint64_t>(state.range(1)));
    for (auto step : state) {
        const WorkRequest request = makeRequest(saturated.submitted++, saturated.accounts);
        saturated.dispatcher.submit(request, saturated.now);
        saturated.dispatcher.withdraw(request.name, saturated.now);
    }
}

/** Advances the time by 10 ms while no slot is free. */
void advance(benchmark::State &state)
{
    SaturatedDispatcher saturated(static_cast<std::uint64_t>(state.range(0)),
                                  static_cast<std::uint64_t>(state.range(1)));
    for (auto step : state) {
        saturated.now += Milliseconds(10);
        saturated.dispatcher.advance(saturated.now);
    }
}

/** Simulates 60 s of arrivals at a dispatcher with default options and records waiting times. */
class OverloadSimulation
{
public:
    explicit OverloadSimulation(double load)
        : dispatcher(DispatcherOptions{})
        , arrivalInterval(load * serverCount * slotsPerEngine / meanServiceMilliseconds)
    {
        std::vector<BackendServer> servers(serverCount);
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].name = BackendServerName("engine-" + std::to_string(index));
            servers[index].models = {ModelName("plan")};
            servers[index].slots = slotsPerEngine;
        }
        this->dispatcher.setBackendServers(servers, Milliseconds(0));
    }

    void run()
    {
        double nextArrival = 0.0;
        for (Milliseconds now{0}; now < Milliseconds(60'000); now += Milliseconds(10)) {
            this->finishDueJobs(now);
            for (; nextArrival <= static_cast<double>(now.count());
                 nextArrival += this->arrivalInterval(this->random))
                this->submit(now);
            this->dispatcher.advance(now);
            this->readDecisions(now);
        }
    }

    void report(benchmark::State &state)
    {
        const auto admitted = static_cast<double>(this->waits[0].size() + this->waits[1].size());
        const auto refused = static_cast<double>(this->refusalWaits.size());
        state.counters["refused_share"] = refused / std::max(1.0, admitted + refused);
        state.counters["short_wait_p95"] = p95(this->waits[0]);
        state.counters["long_wait_p95"] = p95(this->waits[1]);
        state.counters["refusal_p95"] = p95(this->refusalWaits);
        const auto refusedAtOnce =
                std::count(this->refusalWaits.begin(), this->refusalWaits.end(), 0.0);
        state.counters["refused_at_once"] =
                static_cast<double>(refusedAtOnce) / std::max(1.0, refused);
        state.counters["short_refused"] = this->shortRefused / std::max(1.0, this->shortSubmitted);
        state.counters["suspensions"] = this->suspensions;
    }

private:
    static constexpr std::uint32_t slotsPerEngine = 16;
    static constexpr double shortMilliseconds = 400.0;
    static constexpr double longMilliseconds = 8000.0;
    static constexpr double meanServiceMilliseconds =
            0.7 * shortMilliseconds + 0.3 * longMilliseconds;

    struct Job
    {
        Milliseconds submittedAt{0};
        std::int64_t remainingMilliseconds = 0;
        std::optional<Milliseconds> startedAt;
        bool isShort = false;
        Milliseconds endsAt{0};
    };

    static double p95(std::vector<double> values)
    {
        if (values.empty())
            return 0.0;
        const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(values.size()) * 0.95);
        std::nth_element(values.begin(), values.begin() + rank, values.end());
        return values[static_cast<std::size_t>(rank)];
    }

    void submit(Milliseconds now)
    {
        WorkRequest request = makeRequest(this->jobs.size(), 10);
        Job &job = this->jobs[request.name];
        job.isShort = this->random() % 10 < 7;
        request.priority = Priority::Normal;
        request.maximumTokens = job.isShort ? 32 : 0;
        job.submittedAt = now;
        std::exponential_distribution<double> serviceTime(
                1.0 / (job.isShort ? shortMilliseconds : longMilliseconds));
        job.remainingMilliseconds = 20 + static_cast<std::int64_t>(serviceTime(this->random));
        this->shortSubmitted += job.isShort ? 1.0 : 0.0;
        this->dispatcher.submit(request, now);
        this->readDecisions(now);
    }

    void finishDueJobs(Milliseconds now)
    {
        while (!this->completions.empty() && this->completions.begin()->first <= now) {
            const RequestName name = this->completions.begin()->second;
            this->completions.erase(this->completions.begin());
            this->dispatcher.recordFinished(name, WorkOutcome::Completed, now);
            this->readDecisions(now);
        }
    }

    void start(const RequestName &name, Milliseconds now)
    {
        Job &job = this->jobs.at(name);
        job.startedAt = now;
        job.endsAt = now + Milliseconds(job.remainingMilliseconds);
        this->completions.emplace(job.endsAt, name);
    }

    void readDecisions(Milliseconds now)
    {
        for (const Decision &decision : this->dispatcher.takeDecisions())
            std::visit([&](const auto &value) { this->applyDecision(value, now); }, decision);
    }

    void applyDecision(const Assignment &decision, Milliseconds now)
    {
        const Job &job = this->jobs.at(decision.request);
        const auto wait = static_cast<double>((now - job.submittedAt).count());
        this->waits[job.isShort ? 0 : 1].push_back(wait);
        this->start(decision.request, now);
        if (!job.isShort)
            this->dispatcher.recordProgress(decision.request, 1, now);
    }

    void applyDecision(const Refusal &decision, Milliseconds now)
    {
        const Job &job = this->jobs.at(decision.request);
        this->refusalWaits.push_back(static_cast<double>((now - job.submittedAt).count()));
        this->shortRefused += job.isShort ? 1.0 : 0.0;
    }

    void applyDecision(const Suspension &decision, Milliseconds now)
    {
        Job &job = this->jobs.at(decision.request);
        this->completions.erase({job.endsAt, decision.request});
        job.remainingMilliseconds -= (now - *job.startedAt).count();
        this->suspensions += 1.0;
    }

    void applyDecision(const Resumption &decision, Milliseconds now)
    {
        this->start(decision.request, now);
    }

    Dispatcher dispatcher;
    std::mt19937 random{20261204};
    std::exponential_distribution<double> arrivalInterval;
    std::map<RequestName, Job> jobs;
    std::set<std::pair<Milliseconds, RequestName>> completions;
    std::array<std::vector<double>, 2> waits;
    std::vector<double> refusalWaits;
    double shortSubmitted = 0.0;
    double shortRefused = 0.0;
    double suspensions = 0.0;
};

/** Measures waiting times and refusals at a load given in per cent of the engines' capacity. */
void overload(benchmark::State &state)
{
    for (auto step : state) {
        OverloadSimulation simulation(static_cast<double>(state.range(0)) / 100.0);
        simulation.run();
        simulation.report(state);
    }
}

void addSizes(benchmark::internal::Benchmark *benchmark)
{
    for (const std::int64_t accounts : {10, 500, 5700}) {
        for (const std::int64_t waiting : {0, 200, 2000})
            benchmark->Args({accounts, waiting});
    }
    benchmark->ArgNames({"accounts", "waiting"})->MinTime(0.1);
}

} // namespace

BENCHMARK(finishAndSubmit)->Apply(addSizes);
BENCHMARK(submitBlocked)->Apply(addSizes);
BENCHMARK(advance)->Apply(addSizes);
BENCHMARK(overload)->Arg(80)->Arg(120)->Arg(200)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
