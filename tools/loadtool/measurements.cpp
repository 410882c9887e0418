#include "measurements.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sassafrasyard {

namespace {

constexpr double firstTokenTargetMilliseconds = 1100.0;
constexpr float interTokenTargetMilliseconds = 31.0F;
constexpr float stallThresholdMilliseconds = 200.0F;
constexpr double tokensPerStallUnit = 1000.0;
constexpr double tailQuantile = 0.95;

/** The calls that start and the token gaps that end in one phase. */
struct PhaseSamples
{
    std::vector<const CallRecord *> records;
    std::vector<float> gaps;
};

PhaseSamples selectPhase(std::span<const CallRecord> records, RunTime from, RunTime until)
{
    PhaseSamples phase;
    for (const CallRecord &record : records) {
        if (record.arrivedAt >= from && record.arrivedAt < until)
            phase.records.push_back(&record);
        for (const LatencySample &gap : record.gaps) {
            if (gap.at >= from && gap.at < until)
                phase.gaps.push_back(gap.milliseconds);
        }
    }
    return phase;
}

double ratio(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

bool isStream(const CallRecord &record)
{
    return record.kind != CallKind::Lookup && record.kind != CallKind::Order;
}

bool isServed(const CallRecord &record)
{
    return record.outcome == CallOutcome::Completed
            || (record.outcome == CallOutcome::Unfinished && record.firstResponseMilliseconds);
}

bool meetsLatencyTargets(const CallRecord &record)
{
    if (!isServed(record) || !record.firstResponseMilliseconds
        || *record.firstResponseMilliseconds > firstTokenTargetMilliseconds) {
        return false;
    }
    std::vector<float> gaps;
    for (const LatencySample &gap : record.gaps)
        gaps.push_back(gap.milliseconds);
    return quantile(std::move(gaps), tailQuantile) <= interTokenTargetMilliseconds;
}

using Filter = std::function<bool(const CallRecord &)>;

double countOf(const PhaseSamples &phase, const Filter &filter)
{
    return static_cast<double>(
            std::count_if(phase.records.begin(), phase.records.end(),
                          [&](const CallRecord *record) { return filter(*record); }));
}

std::vector<float> firstResponseTimes(const PhaseSamples &phase, const Filter &filter)
{
    std::vector<float> times;
    for (const CallRecord *record : phase.records) {
        if (record->firstResponseMilliseconds && filter(*record))
            times.push_back(*record->firstResponseMilliseconds);
    }
    return times;
}

std::vector<float> refusalTimes(const PhaseSamples &phase)
{
    std::vector<float> times;
    for (const CallRecord *record : phase.records) {
        times.insert(times.end(), record->refusalMilliseconds.begin(),
                     record->refusalMilliseconds.end());
    }
    return times;
}

double stallPerThousandTokens(const PhaseSamples &phase)
{
    double stall = 0.0;
    for (const float gap : phase.gaps)
        stall += gap > stallThresholdMilliseconds ? gap : 0.0F;
    return ratio(stall * tokensPerStallUnit, static_cast<double>(phase.gaps.size()));
}

double gapShareInTarget(const PhaseSamples &phase)
{
    const auto within = std::count_if(phase.gaps.begin(), phase.gaps.end(), [](float gap) {
        return gap <= interTokenTargetMilliseconds;
    });
    return ratio(static_cast<double>(within), static_cast<double>(phase.gaps.size()));
}

double sumOf(const PhaseSamples &phase, std::uint64_t CallRecord::*member)
{
    double sum = 0.0;
    for (const CallRecord *record : phase.records)
        sum += static_cast<double>(record->*member);
    return sum;
}

/** Measures one phase. The names and the order of the rows are the same for every phase. */
std::vector<std::pair<std::string, double>> measurePhase(const PhaseSamples &phase)
{
    const auto isPeakCall = [](const CallRecord &record) {
        return record.isAtPeak;
    };
    const auto isServedAtPeak = [](const CallRecord &record) {
        return record.isAtPeak && isServed(record);
    };
    const auto isRefusedAtPeak = [](const CallRecord &record) {
        return record.isAtPeak && record.outcome == CallOutcome::Refused;
    };
    const auto isShortOnLongModel = [](const CallRecord &record) {
        return record.kind == CallKind::ShortOnLongModel;
    };
    const auto isShortOnShortModel = [](const CallRecord &record) {
        return record.kind == CallKind::ShortOnShortModel;
    };
    const auto isPlainCall = [](const CallRecord &record) {
        return !isStream(record);
    };
    const auto hasOutcome = [](CallOutcome outcome) {
        return [outcome](const CallRecord &record) {
            return record.outcome == outcome;
        };
    };
    const auto isStreamWithinTargets = [](const CallRecord &record) {
        return isStream(record) && meetsLatencyTargets(record);
    };
    const std::vector<float> firstTokenTimes = firstResponseTimes(phase, isStream);
    const std::vector<float> shortOnLongModelTimes = firstResponseTimes(phase, isShortOnLongModel);
    const std::vector<float> shortOnShortModelTimes =
            firstResponseTimes(phase, isShortOnShortModel);
    const std::vector<float> plainCallTimes = firstResponseTimes(phase, isPlainCall);
    const double peakCallCount = countOf(phase, isPeakCall);
    return {
            {"calls", static_cast<double>(phase.records.size())},
            {"first token p50, ms", quantile(firstTokenTimes, 0.50)},
            {"first token p95, ms", quantile(firstTokenTimes, 0.95)},
            {"first token p99, ms", quantile(firstTokenTimes, 0.99)},
            {"inter-token p50, ms", quantile(phase.gaps, 0.50)},
            {"inter-token p95, ms", quantile(phase.gaps, 0.95)},
            {"inter-token p99, ms", quantile(phase.gaps, 0.99)},
            {"inter-token share within 31 ms", gapShareInTarget(phase)},
            {"stall per 1,000 tokens, ms", stallPerThousandTokens(phase)},
            {"served share at the peak", ratio(countOf(phase, isServedAtPeak), peakCallCount)},
            {"refused share at the peak", ratio(countOf(phase, isRefusedAtPeak), peakCallCount)},
            {"time to refusal p95, ms", quantile(refusalTimes(phase), 0.95)},
            {"short behind long p95, ms", quantile(shortOnLongModelTimes, 0.95)},
            {"short behind long p99, ms", quantile(shortOnLongModelTimes, 0.99)},
            {"short at desk p95, ms", quantile(shortOnShortModelTimes, 0.95)},
            {"short at desk p99, ms", quantile(shortOnShortModelTimes, 0.99)},
            {"plain call p95, ms", quantile(plainCallTimes, 0.95)},
            {"plain call p99, ms", quantile(plainCallTimes, 0.99)},
            {"goodput share of streams",
             ratio(countOf(phase, isStreamWithinTargets), countOf(phase, isStream))},
            {"completed", countOf(phase, hasOutcome(CallOutcome::Completed))},
            {"refused", countOf(phase, hasOutcome(CallOutcome::Refused))},
            {"unfinished at the end", countOf(phase, hasOutcome(CallOutcome::Unfinished))},
            {"generation lost", countOf(phase, hasOutcome(CallOutcome::Lost))},
            {"failed", countOf(phase, hasOutcome(CallOutcome::Failed))},
            {"resumed", sumOf(phase, &CallRecord::resumes)},
            {"tokens lost", sumOf(phase, &CallRecord::missingTokens)},
            {"tokens or orders duplicated", sumOf(phase, &CallRecord::duplicates)},
            {"tokens wrong", sumOf(phase, &CallRecord::mismatchedTokens)},
    };
}

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

} // namespace

double quantile(std::vector<float> values, double probability)
{
    if (values.empty())
        return 0.0;
    const auto rank =
            static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size())));
    const auto position =
            values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::vector<MeasurementRow> measureCalls(std::span<const CallRecord> records, RunTime slowdownBegin)
{
    const auto normal = measurePhase(selectPhase(records, RunTime(0), slowdownBegin));
    const auto slowed = measurePhase(selectPhase(records, slowdownBegin, RunTime::max()));
    std::vector<MeasurementRow> rows;
    for (std::size_t index = 0; index < normal.size(); ++index)
        rows.push_back({normal[index].first, normal[index].second, slowed[index].second});
    return rows;
}

std::vector<MeasurementRow> measureTransport(std::span<const CallRecord> records, RunTime from,
                                             RunTime until)
{
    std::vector<float> tokenTimes;
    std::vector<float> firstTokenTimes;
    const auto isInWindow = [&](const LatencySample &sample) {
        return sample.at >= from && sample.at < until;
    };
    for (const CallRecord &record : records) {
        for (const LatencySample &sample : record.transportTimes) {
            if (isInWindow(sample))
                tokenTimes.push_back(sample.milliseconds);
        }
        if (record.firstTokenTransportTime && isInWindow(*record.firstTokenTransportTime))
            firstTokenTimes.push_back(record.firstTokenTransportTime->milliseconds);
    }
    const double seconds = std::chrono::duration<double>(until - from).count();
    std::vector<MeasurementRow> rows;
    const auto add = [&rows](const char *name, double value) {
        rows.push_back({name, value, 0.0});
    };
    add("tokens per second",
        static_cast<double>(tokenTimes.size() + firstTokenTimes.size()) / seconds);
    add("streams begun per second", static_cast<double>(firstTokenTimes.size()) / seconds);
    add("token engine to caller p50, ms", quantile(tokenTimes, 0.50));
    add("token engine to caller p95, ms", quantile(tokenTimes, 0.95));
    add("token engine to caller p99, ms", quantile(tokenTimes, 0.99));
    add("first token without engine time p50, ms", quantile(firstTokenTimes, 0.50));
    add("first token without engine time p95, ms", quantile(firstTokenTimes, 0.95));
    add("first token without engine time p99, ms", quantile(firstTokenTimes, 0.99));
    return rows;
}

std::string formatTable(std::span<const MeasurementRow> rows)
{
    char line[128];
    std::snprintf(line, sizeof line, "%-42s %12s %12s\n", "", "normal", "slowed");
    std::string text = line;
    for (const MeasurementRow &row : rows) {
        std::snprintf(line, sizeof line, "%-42s %12s %12s\n", row.name.c_str(),
                      formatNumber(row.normal).c_str(), formatNumber(row.slowed).c_str());
        text += line;
    }
    return text;
}

std::string formatJson(std::span<const MeasurementRow> rows)
{
    nlohmann::json items = nlohmann::json::array();
    for (const MeasurementRow &row : rows) {
        nlohmann::json item;
        item["name"] = row.name;
        item["normal"] = row.normal;
        item["slowed"] = row.slowed;
        items.push_back(std::move(item));
    }
    return items.dump();
}

} // namespace sassafrasyard
