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
/** The relay's streams begin over this time, one after the other. */
constexpr RunTime relayRamp{3000000};
/** The relay's window of measurement begins here. */
constexpr RunTime relaySettled{5000000};
constexpr std::size_t relayPromptCharacters = 400;
/** Fields 14 and 15 of /proc/PID/stat, counted after the command in parentheses. */
constexpr int fieldsBeforeTimes = 11;

std::string keyOf(std::size_t account)
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
    for (int field = 0; field < fieldsBeforeTimes; ++field)
        fields >> skipped;
    double user = 0.0;
    double system = 0.0;
    // The state's letter is skipped with the fields before the times.
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

LoadRun::LoadRun(LoadRunOptions given)
    : options(std::move(given))
    , shared{mixOf(options.mix), SteadyClock::now(), std::nullopt}
    , fleet(options.engines)
    , audit(options.services)
{
}

std::vector<MeasurementRow> LoadRun::run()
{
    return this->options.mix == "relay" ? this->runRelay() : this->runMix();
}

std::vector<MeasurementRow> LoadRun::runMix()
{
    this->addBooks(this->shared.mix.domains);
    this->plan = planCalls(this->shared.mix, this->options.load, this->options.slots,
                           this->options.duration, this->options.seed);
    this->records.resize(this->plan.size());
    const RunTime slowedFrom = this->options.duration * 2 / 3;
    this->shared.start = SteadyClock::now();
    net::co_spawn(
            this->context, [this] { return this->arrive(); }, net::detached);
    net::co_spawn(
            this->context, [this, slowedFrom] { return this->slowEngines(slowedFrom); },
            net::detached);
    this->runContext(this->options.duration + this->options.drain);
    auto rows = measureCalls(this->records, slowedFrom);
    net::io_context last;
    net::co_spawn(
            last, [this] { return this->fleet.readTotals(); }, net::detached);
    net::co_spawn(
            last, [this] { return this->audit.read(); }, net::detached);
    last.run();
    rows.push_back(
            {"engine preemptions, whole run", static_cast<double>(this->fleet.preemptions()), 0.0});
    rows.push_back({"engine stall, whole run, ms",
                    static_cast<double>(this->fleet.stallMilliseconds()), 0.0});
    rows.push_back({"orders run, whole run", static_cast<double>(this->audit.ordersRun()), 0.0});
    rows.push_back(
            {"orders run again, whole run", static_cast<double>(this->audit.repeatedRuns()), 0.0});
    return rows;
}

std::vector<MeasurementRow> LoadRun::runRelay()
{
    this->addBooks(1);
    this->shared.mix.longModel = this->options.model;
    if (this->options.isDirect)
        this->shared.engine = this->options.engines.front();
    this->streamRecords.resize(this->options.streams);
    this->shared.start = SteadyClock::now();
    for (std::size_t stream = 0; stream < this->options.streams; ++stream) {
        net::co_spawn(
                net::make_strand(this->context),
                [this, stream] { return this->keepStreaming(stream); }, net::detached);
    }
    net::co_spawn(
            this->context,
            [this] { return this->watchProcess(relaySettled, this->options.duration); },
            net::detached);
    this->runContext(this->options.duration);
    for (auto &stream : this->streamRecords) {
        std::move(stream.begin(), stream.end(), std::back_inserter(this->records));
        stream.clear();
    }
    auto rows = measureTransport(this->records, relaySettled, this->options.duration);
    const double seconds =
            std::chrono::duration<double>(this->options.duration - relaySettled).count();
    if (this->options.watchedProcess > 0) {
        const double thousands = rows.front().normal * seconds / 1000.0;
        rows.push_back({"processor ms per 1,000 tokens",
                        this->watchedSeconds * 1000.0 / std::max(thousands, 0.001), 0.0});
        rows.push_back({"cores in use", this->watchedSeconds / seconds, 0.0});
    }
    double faults = 0.0;
    double failures = 0.0;
    for (const CallRecord &record : this->records) {
        faults += static_cast<double>(record.lost + record.duplicated + record.wrong);
        failures += record.outcome == CallOutcome::Completed
                        || record.outcome == CallOutcome::Unfinished
                ? 0.0
                : 1.0;
    }
    rows.push_back({"tokens lost, duplicated or wrong", faults, 0.0});
    rows.push_back({"streams refused, lost or failed", failures, 0.0});
    return rows;
}

void LoadRun::runContext(RunTime time)
{
    std::vector<std::thread> helpers;
    const auto until = this->shared.start + time;
    for (int thread = 1; thread < this->options.threads; ++thread)
        helpers.emplace_back([this, until] { this->context.run_until(until); });
    this->context.run_until(until);
    this->context.stop();
    for (std::thread &helper : helpers)
        helper.join();
}

void LoadRun::addBooks(std::size_t domains)
{
    RandomSource random(this->options.seed);
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t account = 0; account < accounts; ++account) {
            this->books.push_back(std::make_unique<AddressBook>(
                    this->options.entries, "domain-" + std::to_string(domain + 1), keyOf(account),
                    random.next()));
        }
    }
}

AddressBook &LoadRun::book(std::size_t domain, std::size_t account)
{
    return *this->books[domain * accounts + account];
}

net::awaitable<void> LoadRun::arrive()
{
    for (std::size_t index = 0; index < this->plan.size(); ++index) {
        co_await sleepUntil(this->shared.start + this->plan[index].at);
        net::co_spawn(
                net::make_strand(this->context), [this, index] { return this->makeCall(index); },
                net::detached);
    }
}

net::awaitable<void> LoadRun::makeCall(std::size_t index)
{
    const PlannedCall &call = this->plan[index];
    Caller caller(this->shared, this->book(call.domain, call.account), call, keyOf(call.account),
                  this->records[index]);
    if (call.kind == CallKind::Lookup || call.kind == CallKind::Order)
        co_await caller.runPlainCall();
    else
        co_await caller.runStream();
}

net::awaitable<void> LoadRun::slowEngines(RunTime at)
{
    if (this->options.slowdown == 1.0)
        co_return;
    co_await sleepUntil(this->shared.start + at);
    const auto engines = this->shared.mix.longEngines;
    const auto count =
            static_cast<std::size_t>(std::ceil(slowedEngineShare * static_cast<double>(engines)));
    const std::size_t first = this->options.seed % (engines - count + 1);
    co_await this->fleet.slow(first, count, this->options.slowdown);
}

net::awaitable<void> LoadRun::keepStreaming(std::size_t stream)
{
    const RunTime begin = relayRamp * stream / this->options.streams;
    co_await sleepUntil(this->shared.start + begin);
    RandomSource random(this->options.seed * this->options.streams + stream);
    while (true) {
        PlannedCall call;
        call.account = stream % accounts;
        call.seed = random.next() >> 12U;
        call.prompt = "stream " + std::to_string(call.seed) + " ";
        call.prompt.resize(relayPromptCharacters, 'r');
        // Lengths differ, so that the streams do not end together.
        call.maximumTokens = static_cast<std::uint32_t>(this->options.streamTokens / 2
                                                        + random.below(this->options.streamTokens));
        this->streamRecords[stream].emplace_back();
        CallRecord &record = this->streamRecords[stream].back();
        Caller caller(this->shared, this->book(0, call.account), call, keyOf(call.account), record);
        co_await caller.runStream();
        if (record.outcome != CallOutcome::Completed)
            co_await sleepUntil(SteadyClock::now() + std::chrono::milliseconds(100));
    }
}

net::awaitable<void> LoadRun::watchProcess(RunTime from, RunTime until)
{
    if (this->options.watchedProcess == 0)
        co_return;
    co_await sleepUntil(this->shared.start + from);
    const double before = processorSeconds(this->options.watchedProcess);
    // The context stops at the end of the window, so the last reading comes a little earlier.
    constexpr RunTime margin{50000};
    co_await sleepUntil(this->shared.start + until - margin);
    const double after = processorSeconds(this->options.watchedProcess);
    const std::chrono::duration<double> window = until - from;
    const std::chrono::duration<double> read = until - margin - from;
    this->watchedSeconds = (after - before) * window.count() / read.count();
}

} // namespace sassafrasyard
