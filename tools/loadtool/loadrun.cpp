#include "loadrun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <thread>

namespace sassafrasyard {

namespace net = boost::asio;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t accounts = 10;
constexpr double slowedEngineShare = 0.2;
/** The starts of the relay streams are spread evenly over this time. */
constexpr RunTime relayRampUp{3000000};
/** The start of the relay's measurement window. */
constexpr RunTime relayMeasurementBegin{5000000};
constexpr std::size_t relayPromptCharacters = 400;
/** The fields of /proc/PID/stat between the command and the times, which are fields 14 and 15. */
constexpr int skippedStatFields = 11;

std::string apiKeyOf(std::size_t account)
{
    return "key-" + std::to_string(account);
}

double processorSeconds(int process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    const std::size_t end = text.rfind(')');
    if (end == std::string::npos)
        return 0.0;
    std::istringstream fields(text.substr(end + 1));
    std::string skipped;
    for (int field = 0; field < skippedStatFields; ++field)
        fields >> skipped;
    double user = 0.0;
    double system = 0.0;
    // The state, a letter, is among the skipped fields.
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

net::awaitable<void> sleepUntil(SteadyClock::time_point time)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_at(time);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace

LoadRun::LoadRun(LoadRunOptions runOptions)
    : options(std::move(runOptions))
    , callerContext{findWorkloadMix(options.mix), SteadyClock::now(), std::nullopt}
    , engineFleet(options.engines)
    , serviceAudit(options.services)
{
}

std::vector<MeasurementRow> LoadRun::run()
{
    return this->options.mix == "relay" ? this->runRelay() : this->runMix();
}

std::vector<MeasurementRow> LoadRun::runMix()
{
    this->addAddressCaches(this->callerContext.mix.failureDomains);
    this->plan = planCalls(this->callerContext.mix, this->options.load, this->options.slots,
                           this->options.duration, this->options.seed);
    this->records.resize(this->plan.size());
    const RunTime slowdownBegin = this->options.duration * 2 / 3;
    this->callerContext.start = SteadyClock::now();
    net::co_spawn(
            this->context, [this] { return this->startCalls(); }, net::detached);
    net::co_spawn(
            this->context, [this, slowdownBegin] { return this->slowEngines(slowdownBegin); },
            net::detached);
    this->runContextFor(this->options.duration + this->options.drain);
    auto rows = measureCalls(this->records, slowdownBegin);
    net::io_context finalContext;
    net::co_spawn(
            finalContext, [this] { return this->engineFleet.readTotals(); }, net::detached);
    net::co_spawn(
            finalContext, [this] { return this->serviceAudit.readRuns(); }, net::detached);
    finalContext.run();
    rows.push_back({"engine preemptions, whole run",
                    static_cast<double>(this->engineFleet.preemptions()), 0.0});
    rows.push_back({"engine stall, whole run, ms",
                    static_cast<double>(this->engineFleet.stallMilliseconds()), 0.0});
    rows.push_back(
            {"orders run, whole run", static_cast<double>(this->serviceAudit.ordersRun()), 0.0});
    rows.push_back({"orders run again, whole run",
                    static_cast<double>(this->serviceAudit.repeatedRuns()), 0.0});
    return rows;
}

std::vector<MeasurementRow> LoadRun::runRelay()
{
    this->addAddressCaches(1);
    this->callerContext.mix.longModel = this->options.model;
    if (this->options.isDirect)
        this->callerContext.directEngine = this->options.engines.front();
    this->streamRecords.resize(this->options.streams);
    this->callerContext.start = SteadyClock::now();
    for (std::size_t stream = 0; stream < this->options.streams; ++stream) {
        net::co_spawn(
                net::make_strand(this->context),
                [this, stream] { return this->streamContinuously(stream); }, net::detached);
    }
    net::co_spawn(
            this->context,
            [this] {
                return this->measureProcessorTime(relayMeasurementBegin, this->options.duration);
            },
            net::detached);
    this->runContextFor(this->options.duration);
    for (auto &stream : this->streamRecords) {
        std::move(stream.begin(), stream.end(), std::back_inserter(this->records));
        stream.clear();
    }
    auto rows = measureTransport(this->records, relayMeasurementBegin, this->options.duration);
    const double seconds =
            std::chrono::duration<double>(this->options.duration - relayMeasurementBegin).count();
    if (this->options.measuredProcess > 0) {
        const double thousandTokens = rows.front().normal * seconds / 1000.0;
        rows.push_back({"processor ms per 1,000 tokens",
                        this->usedProcessorSeconds * 1000.0 / std::max(thousandTokens, 0.001),
                        0.0});
        rows.push_back({"cores in use", this->usedProcessorSeconds / seconds, 0.0});
    }
    double tokenErrors = 0.0;
    double failedStreams = 0.0;
    for (const CallRecord &record : this->records) {
        tokenErrors += static_cast<double>(record.missingTokens + record.duplicates
                                           + record.mismatchedTokens);
        failedStreams += record.outcome == CallOutcome::Completed
                        || record.outcome == CallOutcome::Unfinished
                ? 0.0
                : 1.0;
    }
    rows.push_back({"tokens lost, duplicated or wrong", tokenErrors, 0.0});
    rows.push_back({"streams refused, lost or failed", failedStreams, 0.0});
    return rows;
}

void LoadRun::runContextFor(RunTime time)
{
    std::vector<std::thread> workers;
    const auto until = this->callerContext.start + time;
    for (int thread = 1; thread < this->options.threads; ++thread)
        workers.emplace_back([this, until] { this->context.run_until(until); });
    this->context.run_until(until);
    this->context.stop();
    for (std::thread &worker : workers)
        worker.join();
}

void LoadRun::addAddressCaches(std::size_t failureDomains)
{
    RandomSource random(this->options.seed);
    for (std::size_t failureDomain = 0; failureDomain < failureDomains; ++failureDomain) {
        for (std::size_t account = 0; account < accounts; ++account) {
            this->addressCaches.push_back(std::make_unique<EntryAddressCache>(
                    this->options.entryHosts, "domain-" + std::to_string(failureDomain + 1),
                    apiKeyOf(account), random.next()));
        }
    }
}

EntryAddressCache &LoadRun::addressCache(std::size_t failureDomain, std::size_t account)
{
    return *this->addressCaches[failureDomain * accounts + account];
}

net::awaitable<void> LoadRun::startCalls()
{
    for (std::size_t index = 0; index < this->plan.size(); ++index) {
        co_await sleepUntil(this->callerContext.start + this->plan[index].arrivesAt);
        net::co_spawn(
                net::make_strand(this->context), [this, index] { return this->makeCall(index); },
                net::detached);
    }
}

net::awaitable<void> LoadRun::makeCall(std::size_t index)
{
    const PlannedCall &call = this->plan[index];
    Caller caller(this->callerContext, this->addressCache(call.failureDomain, call.account), call,
                  apiKeyOf(call.account), this->records[index]);
    if (call.kind == CallKind::Lookup || call.kind == CallKind::Order)
        co_await caller.runPlainCall();
    else
        co_await caller.runStream();
}

net::awaitable<void> LoadRun::slowEngines(RunTime at)
{
    if (this->options.slowdown == 1.0)
        co_return;
    co_await sleepUntil(this->callerContext.start + at);
    const auto engines = this->callerContext.mix.longEngines;
    const auto count =
            static_cast<std::size_t>(std::ceil(slowedEngineShare * static_cast<double>(engines)));
    const std::size_t first = this->options.seed % (engines - count + 1);
    co_await this->engineFleet.setSlowdown(first, count, this->options.slowdown);
}

net::awaitable<void> LoadRun::streamContinuously(std::size_t stream)
{
    const RunTime begin = relayRampUp * stream / this->options.streams;
    co_await sleepUntil(this->callerContext.start + begin);
    RandomSource random(this->options.seed * this->options.streams + stream);
    while (true) {
        PlannedCall call;
        call.account = stream % accounts;
        call.seed = random.next() >> 12U;
        call.prompt = "stream " + std::to_string(call.seed) + " ";
        call.prompt.resize(relayPromptCharacters, 'r');
        // The lengths differ so that the streams do not end at the same time.
        call.maximumTokens = static_cast<std::uint32_t>(this->options.streamTokens / 2
                                                        + random.below(this->options.streamTokens));
        this->streamRecords[stream].emplace_back();
        CallRecord &record = this->streamRecords[stream].back();
        Caller caller(this->callerContext, this->addressCache(0, call.account), call,
                      apiKeyOf(call.account), record);
        co_await caller.runStream();
        if (record.outcome != CallOutcome::Completed)
            co_await sleepUntil(SteadyClock::now() + std::chrono::milliseconds(100));
    }
}

net::awaitable<void> LoadRun::measureProcessorTime(RunTime from, RunTime until)
{
    if (this->options.measuredProcess == 0)
        co_return;
    co_await sleepUntil(this->callerContext.start + from);
    const double before = processorSeconds(this->options.measuredProcess);
    // The context stops at the end of the window, so the last reading is taken shortly before.
    constexpr RunTime margin{50000};
    co_await sleepUntil(this->callerContext.start + until - margin);
    const double after = processorSeconds(this->options.measuredProcess);
    const std::chrono::duration<double> window = until - from;
    const std::chrono::duration<double> measured = until - margin - from;
    this->usedProcessorSeconds = (after - before) * window.count() / measured.count();
}

} // namespace sassafrasyard
