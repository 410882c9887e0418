#include "measurements.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sassafrasyard {

namespace {

constexpr double firstTokenTargetMilliseconds = 1100.0;
constexpr float interTokenTargetMilliseconds = 31.0F;
constexpr float stallMilliseconds = 200.0F;
constexpr double tokensPerStallUnit = 1000.0;
constexpr double tailQuantile = 0.95;

/** The records and gaps of one phase. */
struct PhaseView
{
    std::vector<const CallRecord *> records;
    std::vector<float> gaps;
};

PhaseView viewOf(std::span<const CallRecord> records, RunTime from, RunTime until)
{
    PhaseView view;
    for (const CallRecord &record : records) {
        if (record.arrivedAt >= from && record.arrivedAt < until)
            view.records.push_back(&record);
        for (const TokenGap &gap : record.gaps) {
            if (gap.at >= from && gap.at < until)
                view.gaps.push_back(gap.milliseconds);
        }
    }
    return view;
}

double share(double part, double whole)
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
            || (record.outcome == CallOutcome::Unfinished && record.firstMilliseconds);
}

bool isGood(const CallRecord &record)
{
    if (!isServed(record) || !record.firstMilliseconds
        || *record.firstMilliseconds > firstTokenTargetMilliseconds) {
        return false;
    }
    std::vector<float> gaps;
    for (const TokenGap &gap : record.gaps)
        gaps.push_back(gap.milliseconds);
    return quantile(std::move(gaps), tailQuantile) <= interTokenTargetMilliseconds;
}

using Filter = std::function<bool(const CallRecord &)>;

double countOf(const PhaseView &view, const Filter &filter)
{
    return static_cast<double>(
            std::count_if(view.records.begin(), view.records.end(),
                          [&](const CallRecord *record) { return filter(*record); }));
}

std::vector<float> firstTimes(const PhaseView &view, const Filter &filter)
{
    std::vector<float> times;
    for (const CallRecord *record : view.records) {
        if (record->firstMilliseconds && filter(*record))
            times.push_back(*record->firstMilliseconds);
    }
    return times;
}

std::vector<float> refusalTimes(const PhaseView &view)
{
    std::vector<float> times;
    for (const CallRecord *record : view.records) {
        times.insert(times.end(), record->refusalMilliseconds.begin(),
                     record->refusalMilliseconds.end());
    }
    return times;
}

double stallPerThousandTokens(const PhaseView &view)
{
    double stall = 0.0;
    for (const float gap : view.gaps)
        stall += gap > stallMilliseconds ? gap : 0.0F;
    return share(stall * tokensPerStallUnit, static_cast<double>(view.gaps.size()));
}

double gapShareInTarget(const PhaseView &view)
{
    const auto within = std::count_if(view.gaps.begin(), view.gaps.end(), [](float gap) {
        return gap <= interTokenTargetMilliseconds;
    });
    return share(static_cast<double>(within), static_cast<double>(view.gaps.size()));
}

double sumOf(const PhaseView &view, std::uint64_t CallRecord::*member)
{
    double sum = 0.0;
    for (const CallRecord *record : view.records)
        sum += static_cast<double>(record->*member);
    return sum;
}

/** Measures one phase; the rows' names and order are the same for every phase. */
std::vector<std::pair<std::string, double>> measurePhase(const PhaseView &view)
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
    const auto isBehindLong = [](const CallRecord &record) {
        return record.kind == CallKind::ShortBehindLong;
    };
    const auto isAtDesk = [](const CallRecord &record) {
        return record.kind == CallKind::ShortAtDesk;
    };
    const auto isPlain = [](const CallRecord &record) {
        return !isStream(record);
    };
    const auto hasEnded = [](CallOutcome outcome) {
        return [outcome](const CallRecord &record) {
            return record.outcome == outcome;
        };
    };
    const auto isGoodStream = [](const CallRecord &record) {
        return isStream(record) && isGood(record);
    };
    const std::vector<float> first = firstTimes(view, isStream);
    const std::vector<float> behindLong = firstTimes(view, isBehindLong);
    const std::vector<float> atDesk = firstTimes(view, isAtDesk);
    const std::vector<float> plain = firstTimes(view, isPlain);
    const double atPeak = countOf(view, isPeakCall);
    return {
            {"calls", static_cast<double>(view.records.size())},
            {"first token p50, ms", quantile(first, 0.50)},
            {"first token p95, ms", quantile(first, 0.95)},
            {"first token p99, ms", quantile(first, 0.99)},
            {"inter-token p50, ms", quantile(view.gaps, 0.50)},
            {"inter-token p95, ms", quantile(view.gaps, 0.95)},
            {"inter-token p99, ms", quantile(view.gaps, 0.99)},
            {"inter-token share within 31 ms", gapShareInTarget(view)},
            {"stall per 1,000 tokens, ms", stallPerThousandTokens(view)},
            {"served share at the peak", share(countOf(view, isServedAtPeak), atPeak)},
            {"refused share at the peak", share(countOf(view, isRefusedAtPeak), atPeak)},
            {"time to refusal p95, ms", quantile(refusalTimes(view), 0.95)},
            {"short behind long p95, ms", quantile(behindLong, 0.95)},
            {"short behind long p99, ms", quantile(behindLong, 0.99)},
            {"short at desk p95, ms", quantile(atDesk, 0.95)},
            {"short at desk p99, ms", quantile(atDesk, 0.99)},
            {"plain call p95, ms", quantile(plain, 0.95)},
            {"plain call p99, ms", quantile(plain, 0.99)},
            {"goodput share of streams",
             share(countOf(view, isGoodStream), countOf(view, isStream))},
            {"completed", countOf(view, hasEnded(CallOutcome::Completed))},
            {"refused", countOf(view, hasEnded(CallOutcome::Refused))},
            {"unfinished at the end", countOf(view, hasEnded(CallOutcome::Unfinished))},
            {"generation lost", countOf(view, hasEnded(CallOutcome::Lost))},
            {"failed", countOf(view, hasEnded(CallOutcome::Failed))},
            {"resumed", sumOf(view, &CallRecord::resumes)},
            {"tokens lost", sumOf(view, &CallRecord::lost)},
            {"tokens or orders duplicated", sumOf(view, &CallRecord::duplicated)},
            {"tokens wrong", sumOf(view, &CallRecord::wrong)},
    };
}

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

} // namespace

double quantile(std::vector<float> values, double share)
{
    if (values.empty())
        return 0.0;
    const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const auto position =
            values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::vector<MeasurementRow> measureCalls(std::span<const CallRecord> records, RunTime slowedFrom)
{
    const auto normal = measurePhase(viewOf(records, RunTime(0), slowedFrom));
    const auto slowed = measurePhase(viewOf(records, slowedFrom, RunTime::max()));
    std::vector<MeasurementRow> rows;
    for (std::size_t index = 0; index < normal.size(); ++index)
        rows.push_back({normal[index].first, normal[index].second, slowed[index].second});
    return rows;
}

std::vector<MeasurementRow> measureTransport(std::span<const CallRecord> records, RunTime from,
                                             RunTime until)
{
    std::vector<float> tokens;
    std::vector<float> first;
    const auto isInside = [&](const TokenGap &gap) {
        return gap.at >= from && gap.at < until;
    };
    for (const CallRecord &record : records) {
        for (const TokenGap &gap : record.transport) {
            if (isInside(gap))
                tokens.push_back(gap.milliseconds);
        }
        if (record.firstTransport && isInside(*record.firstTransport))
            first.push_back(record.firstTransport->milliseconds);
    }
    const double seconds = std::chrono::duration<double>(until - from).count();
    std::vector<MeasurementRow> rows;
    const auto add = [&rows](const char *name, double value) {
        rows.push_back({name, value, 0.0});
    };
    add("tokens per second", static_cast<double>(tokens.size() + first.size()) / seconds);
    add("streams begun per second", static_cast<double>(first.size()) / seconds);
    add("token engine to caller p50, ms", quantile(tokens, 0.50));
    add("token engine to caller p95, ms", quantile(tokens, 0.95));
    add("token engine to caller p99, ms", quantile(tokens, 0.99));
    add("first token without engine time p50, ms", quantile(first, 0.50));
    add("first token without engine time p95, ms", quantile(first, 0.95));
    add("first token without engine time p99, ms", quantile(first, 0.99));
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
