#pragma once

#include "caller.h"
#include "callplan.h"
#include "callrecord.h"
#include "enginefleet.h"
#include "entryaddresscache.h"
#include "measurements.h"
#include "serviceaudit.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** What a run of the load program does. */
struct LoadRunOptions
{
    /** "peach", "daugava", or "relay" for a fixed number of streams. */
    std::string mix = "peach";
    /** Entry hosts that are asked for the addresses. */
    std::vector<Endpoint> entryHosts;
    /** All engines, the long model's first. */
    std::vector<Endpoint> engines;
    /** The plain services, whose runs are counted at the end. */
    std::vector<Endpoint> services;
    /** Slots per engine, for the arrival rate. */
    std::size_t slots = 16;
    /** How long calls arrive. */
    RunTime duration{30000000};
    /** How long running calls may go on after that. */
    RunTime drain{5000000};
    /** Mean demand as a multiple of the long engines' slots. */
    double load = 0.9;
    /** Determines calls and arrivals. */
    std::uint64_t seed = 1;
    /** The factor of the slowed phase, which is the last third of the duration; 1 for none. */
    double slowdown = 3.0;
    /** Relay mix: the number of streams. */
    std::size_t streams = 1320;
    /** Relay mix: tokens per stream. */
    std::uint32_t streamTokens = 320;
    /** Relay mix: the model. */
    std::string model = "plan";
    /** Relay mix: whether streams go straight to the engine. */
    bool isDirect = false;
    /** Relay mix: a process whose processor time is measured; 0 for none. */
    int measuredProcess = 0;
    /** Threads. */
    int threads = 1;
};

/** Runs one load and measures it. */
class LoadRun
{
public:
    /** Prepares a run. */
    explicit LoadRun(LoadRunOptions options);
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /** Runs the load to its end and returns the table. */
    std::vector<MeasurementRow> run();

private:
    EntryAddressCache &addressCache(std::size_t failureDomain, std::size_t account);
    void addAddressCaches(std::size_t failureDomains);
    std::vector<MeasurementRow> runMix();
    std::vector<MeasurementRow> runRelay();
    void runContextFor(RunTime time);
    boost::asio::awaitable<void> startCalls();
    boost::asio::awaitable<void> makeCall(std::size_t index);
    boost::asio::awaitable<void> slowEngines(RunTime at);
    boost::asio::awaitable<void> streamContinuously(std::size_t stream);
    boost::asio::awaitable<void> measureProcessorTime(RunTime from, RunTime until);

    LoadRunOptions options;
    boost::asio::io_context context;
    CallerContext callerContext;
    EngineFleet engineFleet;
    ServiceAudit serviceAudit;
    std::vector<std::unique_ptr<EntryAddressCache>> addressCaches;
    std::vector<PlannedCall> plan;
    std::vector<CallRecord> records;
    std::vector<std::deque<CallRecord>> streamRecords;
    double usedProcessorSeconds = 0.0;
};

} // namespace sassafrasyard
