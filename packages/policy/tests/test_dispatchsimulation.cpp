#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>
#include <sstream>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds step{10};

/** Runs a dispatcher with random arrivals on simulated engines that produce one token per step. */
class Simulation
{
public:
    explicit Simulation(std::uint32_t seed)
        : random(seed)
        , dispatcher(options())
    {
        std::vector<BackendServer> servers(2);
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].name = BackendServerName("engine-" + std::to_string(index));
            servers[index].models = {ModelName("plan")};
            servers[index].slots = 4;
        }
        this->dispatcher.setBackendServers(servers, this->now);
        std::vector<AccountLimits> limits(3);
        for (std::size_t index = 0; index < limits.size(); ++index) {
            limits[index].account = ClientAccountName(std::to_string(index));
            limits[index].weight = 1.0 + static_cast<double>(index);
        }
        limits[0].requestsPerSecond = 20.0;
        this->dispatcher.setAccountLimits(limits);
        this->arrivals = 1 + seed % 40;
    }

    void run(int steps)
    {
        for (int index = 0; index < steps; ++index) {
            this->now += step;
            this->endWork();
            if (this->random() % 100 < this->arrivals)
                this->submit();
            this->dispatcher.advance(this->now);
            this->readDecisions();
            this->countRunning();
        }
    }

    struct Job
    {
        Milliseconds submittedAt{0};
        Milliseconds decidedAt{-1};
        int decisions = 0;
        std::uint32_t length = 0;
        std::uint32_t tokens = 0;
        bool isRunning = false;
        std::optional<Milliseconds> suspendedSince;
        Milliseconds suspended{0};
        Milliseconds longestSuspension{0};
        Milliseconds endedAt{0};
    };

    std::map<RequestName, Job> jobs;
    std::ostringstream log;
    Milliseconds now{0};
    std::size_t maximumRunning = 0;
    std::size_t suspensions = 0;

private:
    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.queueLimit = 40;
        options.accountQueueLimit = 20;
        return options;
    }

    void submit()
    {
        WorkRequest request;
        request.name = RequestName(std::to_string(this->jobs.size()));
        request.account = ClientAccountName(std::to_string(this->random() % 3));
        request.model = ModelName("plan");
        request.priority = static_cast<Priority>(this->random() % 3);
        const bool isShort = this->random() % 2 == 0;
        request.maximumTokens = isShort ? 20 : 0;
        request.requestDigest = this->random() % 50;
        request.isRetry = this->random() % 10 == 0;
        Job &job = this->jobs[request.name];
        job.submittedAt = this->now;
        job.length = isShort ? 1 + this->random() % 20 : 100 + this->random() % 1500;
        this->dispatcher.submit(request, this->now);
        this->readDecisions();
    }

    void endWork()
    {
        for (auto &[name, job] : this->jobs) {
            if (!job.isRunning)
                continue;
            if (!job.suspendedSince && ++job.tokens % 16 == 0)
                this->dispatcher.recordProgress(name, job.tokens, this->now);
            if (job.tokens < job.length && this->random() % 4000 != 0)
                continue;
            this->endSuspension(job);
            job.isRunning = false;
            job.endedAt = this->now;
            this->dispatcher.recordFinished(name,
                                            job.tokens < job.length ? WorkOutcome::ServerLost
                                                                    : WorkOutcome::Completed,
                                            this->now);
            this->readDecisions();
        }
    }

    void countRunning()
    {
        std::size_t running = 0;
        for (const auto &[name, job] : this->jobs)
            running += job.isRunning && !job.suspendedSince ? 1 : 0;
        this->maximumRunning = std::max(this->maximumRunning, running);
    }

    void endSuspension(Job &job)
    {
        if (!job.suspendedSince)
            return;
        const Milliseconds length = this->now - *job.suspendedSince;
        job.suspended += length;
        job.longestSuspension = std::max(job.longestSuspension, length);
        job.suspendedSince.reset();
    }

    void readDecisions()
    {
        for (const Decision &decision : this->dispatcher.takeDecisions()) {
            this->log << this->now.count() << ' ' << decision.index() << ' ';
            std::visit([&](const auto &typedDecision) { this->apply(typedDecision); }, decision);
        }
    }

    void apply(const Assignment &typedDecision)
    {
        Job &job = this->recordDecision(typedDecision.request);
        job.isRunning = true;
        this->log << typedDecision.server.toString() << '\n';
    }

    void apply(const Refusal &typedDecision)
    {
        this->recordDecision(typedDecision.request);
        this->log << typedDecision.retryAfter.count() << '\n';
    }

    void apply(const Suspension &typedDecision)
    {
        ++this->suspensions;
        this->jobs.at(typedDecision.request).suspendedSince = this->now;
    }

    void apply(const Resumption &typedDecision)
    {
        this->endSuspension(this->jobs.at(typedDecision.request));
    }

    Job &recordDecision(const RequestName &name)
    {
        Job &job = this->jobs.at(name);
        ++job.decisions;
        job.decidedAt = this->now;
        this->log << name.toString() << ' ';
        return job;
    }

    std::mt19937 random;
    Dispatcher dispatcher;
    std::uint32_t arrivals = 0;
};

} // namespace

// Guards against requests without a decision or with two, waits beyond the limit, starved long
// requests, more running requests than slots and borrowed slots permit, and decisions that differ
// between runs with the same seed.
TEST_CASE("The dispatcher keeps its limits under random load", "[policy]")
{
    std::size_t suspensions = 0;
    rc::prop("one decision per request, in time, the same in each run", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        Simulation simulation(seed);
        simulation.run(1500);
        Simulation repeated(seed);
        repeated.run(1500);
        RC_ASSERT(simulation.log.str() == repeated.log.str());
        const Milliseconds wait = DispatcherOptions().maximumWait;
        for (const auto &[name, job] : simulation.jobs) {
            RC_ASSERT(job.decisions <= 1);
            if (job.decisions == 0)
                RC_ASSERT(simulation.now - job.submittedAt < wait);
            else
                RC_ASSERT(job.decidedAt - job.submittedAt <= wait + step);
            RC_ASSERT(job.longestSuspension <= SuspensionOptions().maximumDuration + step);
            if (job.endedAt > Milliseconds(0))
                RC_ASSERT(static_cast<double>(job.suspended.count())
                          <= 0.2 * static_cast<double>((job.endedAt - job.decidedAt).count())
                                  + static_cast<double>(step.count()));
        }
        RC_ASSERT(simulation.maximumRunning <= 8 + 1);
        suspensions += simulation.suspensions;
    });
    REQUIRE(suspensions > 0);
}
