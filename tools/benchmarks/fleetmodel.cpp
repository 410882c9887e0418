#include "fleetmodel.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr Milliseconds stepTime{10};
constexpr Milliseconds reportInterval{500};
constexpr Milliseconds gossipInterval{1000};
constexpr std::size_t accountCount = 10;
constexpr double idleTokenInterval = 15.0; // milliseconds per token
constexpr double fullTokenInterval = 30.0;
/** Smooths the reported time per token with a time constant of 2 s. */
constexpr double reportedTokenIntervalGain = 0.005;

double percentile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0.0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

double usedMemoryTokens(const WorkRequest &request, double produced)
{
    return request.promptTokens + produced;
}

} // namespace

FleetModel::FleetModel(FleetModelOptions options)
    : options(std::move(options))
    , random(this->options.seed)
    , servers(this->options.engines)
    , engines(this->options.engines)
    , hosts(this->options.hosts)
{
    const auto domainOf = [&](std::size_t index) {
        return FailureDomainName("domain-" + std::to_string(index % this->options.failureDomains));
    };
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        this->servers[index].name = BackendServerName("engine-" + std::to_string(index));
        this->servers[index].failureDomain = domainOf(index);
        this->servers[index].memoryTokens = this->options.memoryTokens;
        this->servers[index].models = {ModelName("plan")};
    }
    std::vector<TrackingHost> trackingHosts;
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
        trackingHosts.push_back({HostName("host-" + std::to_string(index)), domainOf(index)});
    const std::size_t trackedCount = this->options.maximumTrackedEngines > 0
            ? this->options.maximumTrackedEngines
            : this->servers.size();
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        ServerPoolOptions pool;
        pool.host = trackingHosts[index].name;
        pool.failureDomain = trackingHosts[index].failureDomain;
        pool.placement = this->options.placement(index + 1);
        if (this->options.adjustPool)
            this->options.adjustPool(pool);
        this->hosts[index].pool = std::make_unique<ServerPool>(std::move(pool));
        std::vector<BackendServer> tracked;
        for (const std::size_t server :
             trackedSubset(this->servers, trackingHosts, trackingHosts[index], trackedCount))
            tracked.push_back(this->servers[server]);
        this->hosts[index].pool->setBackendServers(tracked, this->now);
    }
}

FleetModelResult FleetModel::run()
{
    double pendingArrivals = 0.0;
    for (; this->now < this->options.duration; this->now += stepTime) {
        pendingArrivals +=
                this->options.jobsPerSecond * static_cast<double>(stepTime.count()) / 1000.0;
        for (; pendingArrivals >= 1.0; pendingArrivals -= 1.0)
            this->addJob();
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            this->stepEngine(index);
            if ((this->now.count() / stepTime.count() + static_cast<std::int64_t>(index))
                        % (reportInterval / stepTime)
                == 0)
                this->recordReport(index);
        }
        if (this->now.count() % gossipInterval.count() == 0)
            this->exchangeLoadDigests();
        for (Host &host : this->hosts) {
            host.pool->advance(this->now);
            this->placeWaiting(host);
        }
    }
    this->result.medianFirstToken = percentile(this->firstTokenTimes, 0.5);
    this->result.p95FirstToken = percentile(this->firstTokenTimes, 0.95);
    this->result.p99TokenInterval = percentile(this->tokenIntervals, 0.99);
    return this->result;
}

void FleetModel::addJob()
{
    auto job = std::make_unique<Job>();
    job->host = this->random.below(this->hosts.size());
    job->arrivedAt = this->now;
    const std::size_t account = this->random.below(accountCount);
    job->request.name = RequestName(std::to_string(++this->jobCount));
    job->request.account = ClientAccountName("account-" + std::to_string(account));
    job->request.model = ModelName("plan");
    job->request.promptTokens = static_cast<std::uint32_t>(200 + this->random.below(2000));
    job->request.prefixDigest = account + 1;
    // Output lengths are Pareto distributed, with a scale that differs per account.
    const double medianScale = 20.0 * std::pow(1.5, static_cast<double>(account));
    const double length = medianScale * std::pow(1.0 - this->random.unit(), -1.0 / 1.3);
    job->length = static_cast<std::uint32_t>(std::clamp(length, 5.0, 30000.0));
    this->hosts[job->host].waiting.push_back(std::move(job));
}

void FleetModel::placeWaiting(Host &host)
{
    while (!host.waiting.empty()) {
        const auto placement = host.pool->place(host.waiting.front()->request, this->now);
        if (!placement)
            return;
        const std::string &name = placement->server.toString();
        const std::size_t index = std::stoul(name.substr(name.find('-') + 1));
        this->engines[index].waiting.push_back(std::move(host.waiting.front()));
        host.waiting.pop_front();
    }
}

void FleetModel::stepEngine(std::size_t index)
{
    Engine &engine = this->engines[index];
    this->startWaiting(engine);
    this->preempt(engine);
    const double load = static_cast<double>(engine.running.size()) / this->servers[index].slots;
    const double interval = (idleTokenInterval + (fullTokenInterval - idleTokenInterval) * load)
            * this->slowdown(index);
    engine.reportedTokenInterval +=
            reportedTokenIntervalGain * (interval - engine.reportedTokenInterval);
    for (const auto &job : engine.running) {
        job->produced += static_cast<double>(stepTime.count()) / interval;
        if (job->produced < 1.0 || job->produced < job->preemptedAt)
            continue;
        if (job->firstTokenAt.count() < 0) {
            job->firstTokenAt = this->now;
            this->firstTokenTimes.push_back(
                    static_cast<double>((this->now - job->arrivedAt).count()));
        }
        const double reportedTokens = std::min<double>(job->produced, job->length);
        this->hosts[job->host].pool->recordProgress(
                job->request.name, static_cast<std::uint32_t>(reportedTokens), this->now);
    }
    std::erase_if(engine.running, [&](const std::unique_ptr<Job> &job) {
        const bool isDone = job->produced >= job->length;
        if (isDone)
            this->finish(*job);
        return isDone;
    });
}

void FleetModel::startWaiting(Engine &engine)
{
    const BackendServer &server = this->servers.front();
    double used = 0.0;
    for (const auto &job : engine.running)
        used += usedMemoryTokens(job->request, job->produced);
    while (!engine.waiting.empty() && engine.running.size() < server.slots) {
        used += usedMemoryTokens(engine.waiting.front()->request, 0.0);
        if (used > server.memoryTokens)
            return;
        engine.running.push_back(std::move(engine.waiting.front()));
        engine.waiting.pop_front();
    }
}

void FleetModel::preempt(Engine &engine)
{
    double used = 0.0;
    for (const auto &job : engine.running)
        used += usedMemoryTokens(job->request, job->produced);
    while (used > this->servers.front().memoryTokens && engine.running.size() > 1) {
        std::unique_ptr<Job> job = std::move(engine.running.back());
        engine.running.pop_back();
        used -= usedMemoryTokens(job->request, job->produced);
        job->preemptedAt = std::max(job->preemptedAt, job->produced);
        job->produced = 0.0;
        engine.waiting.push_front(std::move(job));
        ++this->result.preemptions;
    }
}

void FleetModel::finish(Job &job)
{
    ++this->result.finished;
    this->tokenIntervals.push_back(static_cast<double>((this->now - job.firstTokenAt).count())
                                   / std::max<double>(job.length, 1.0));
    this->hosts[job.host].pool->release(job.request.name, WorkOutcome::Completed, this->now);
}

void FleetModel::recordReport(std::size_t index)
{
    Engine &engine = this->engines[index];
    LoadReport report;
    report.server = this->servers[index].name;
    report.running = static_cast<std::uint32_t>(engine.running.size());
    report.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    report.tokenIntervalMilliseconds = engine.reportedTokenInterval;
    report.memoryTotalTokens = this->servers[index].memoryTokens;
    for (const auto &job : engine.running)
        report.memoryUsedTokens +=
                static_cast<std::uint32_t>(usedMemoryTokens(job->request, job->produced));
    engine.reports.push_back(report);
    if (engine.reports.size() < 2)
        return;
    LoadReport delayedReport = engine.reports.front();
    delayedReport.age = reportInterval;
    engine.reports.pop_front();
    for (Host &host : this->hosts)
        host.pool->recordLoadReport(delayedReport, this->now);
}

void FleetModel::exchangeLoadDigests()
{
    for (Host &host : this->hosts) {
        Host &peer = this->hosts[this->random.below(this->hosts.size())];
        if (&peer == &host)
            continue;
        peer.pool->recordPeerLoad(host.pool->peerLoadDigest(this->now), this->now);
        host.pool->recordPeerLoad(peer.pool->peerLoadDigest(this->now), this->now);
    }
}

double FleetModel::slowdown(std::size_t index) const
{
    const bool isSlowedPhase =
            this->now >= this->options.duration / 3 && this->now < 2 * this->options.duration / 3;
    return isSlowedPhase && index < this->options.slowedEngineCount ? 3.0 : 1.0;
}

} // namespace sassafrasyard
