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

/** The options of a load run. */
struct LoadRunOptions
{
    /** The workload: "peach", "daugava", or "relay" for a fixed number of parallel streams. */
    std::string mix = "peach";
    /** The entry hosts that are asked for the address list. */
    std::vector<Endpoint> entryHosts;
    /** All engines; those of the long model come first. */
    std::vector<Endpoint> engines;
    /** The stand-in services whose orders are counted at the end. */
    std::vector<Endpoint> services;
    /** Slots per engine, from which the arrival rate is computed. */
    std::size_t slots = 16;
    /** The time during which calls start. */
    RunTime duration{30000000};
    /** The time after that for running calls to end; calls that take longer are unfinished. */
    RunTime drain{5000000};
    /** The mean demand as a multiple of the slots of all long engines. */
    double load = 0.9;
    /** The seed of the calls and their arrival times. */
    std::uint64_t seed = 1;
    /** Slowdown of a fifth of the long engines in the last third of the duration; 1 for none. */
    double slowdown = 3.0;
    /** Relay mix: the number of parallel streams. */
    std::size_t streams = 1320;
    /** Relay mix: the mean number of tokens per stream. */
    std::uint32_t streamTokens = 320;
    /** Relay mix: the model. */
    std::string model = "plan";
    /** Relay mix: whether streams are sent to the engine without an entry host. */
    bool isDirect = false;
    /** Relay mix: the identifier of a process whose processor time is measured; 0 for none. */
    int measuredProcess = 0;
    /** The number of threads that make calls. */
    int threads = 1;
};

/** Makes the calls of one load run and measures them. */
class LoadRun
{
public:
    /** Prepares a run without starting it. */
    explicit LoadRun(LoadRunOptions options);
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /** Makes all calls and returns the result table. Blocks until the end; call it once. */
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
