#include "loadtool/callplan.h"
#include "loadtool/measurements.h"
#include "loadtool/tokenevent.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace sassafrasyard;

namespace {

double valueOf(const std::vector<MeasurementRow> &rows, const std::string &name, bool isSlowed)
{
    const auto row = std::find_if(rows.begin(), rows.end(),
                                  [&](const MeasurementRow &each) { return each.name == name; });
    REQUIRE(row != rows.end());
    return isSlowed ? row->slowed : row->normal;
}

} // namespace

// Guards against runs that compare placement policies under different loads.
TEST_CASE("Equal seeds give equal call plans and the relative demand has a mean of 1", "[loadtool]")
{
    const WorkloadMix mix = findWorkloadMix("peach");
    const auto first = planCalls(mix, 1.0, 16, RunTime(20000000), 7);
    const auto second = planCalls(mix, 1.0, 16, RunTime(20000000), 7);
    REQUIRE(first.size() > 500);
    REQUIRE(first.size() == second.size());
    REQUIRE(first.back().prompt == second.back().prompt);
    REQUIRE(first.back().arrivesAt == second.back().arrivesAt);
    double sum = 0.0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond)
        sum += relativeDemand(std::chrono::milliseconds(millisecond));
    REQUIRE(std::abs(sum / 10000.0 - 1.0) < 0.001);
}

// Guards against an off-by-one error in the rank of a quantile.
TEST_CASE("Quantiles use the nearest-rank method", "[loadtool]")
{
    std::vector<float> values;
    for (int value = 100; value >= 1; --value)
        values.push_back(static_cast<float>(value));
    REQUIRE(quantile(values, 0.50) == 50.0);
    REQUIRE(quantile(values, 0.95) == 95.0);
    REQUIRE(quantile({}, 0.95) == 0.0);
}

// Guards against stalls and refusals that are counted in the wrong phase or left out.
TEST_CASE("Stalls and refusals are counted in the phase in which they occur", "[loadtool]")
{
    std::vector<CallRecord> records(2);
    records[0].outcome = CallOutcome::Completed;
    records[0].firstResponseMilliseconds = 100.0F;
    records[0].gaps = {{RunTime(1000), 20.0F}, {RunTime(900000), 500.0F}};
    records[1].arrivedAt = RunTime(10);
    records[1].isAtPeak = true;
    records[1].outcome = CallOutcome::Refused;
    const auto rows = measureCalls(records, RunTime(500000));
    REQUIRE(valueOf(rows, "stall per 1,000 tokens, ms", false) == 0.0);
    REQUIRE(valueOf(rows, "stall per 1,000 tokens, ms", true) == 500000.0);
    REQUIRE(valueOf(rows, "refused share at the peak", false) == 1.0);
    REQUIRE(valueOf(rows, "goodput share of streams", false) == 0.0);
}

// Guards against timestamps that are compared as part of the token text.
TEST_CASE("Token events of hosts and engines are parsed with and without timestamps", "[loadtool]")
{
    const auto plain = parseTokenEvent(R"({"index":3,"text":" w7.3"})");
    REQUIRE(plain);
    REQUIRE(plain->text == expectedToken(1007, 3));
    REQUIRE_FALSE(plain->producedAt);
    const auto stamped = parseTokenEvent(R"({"generation":"g","index":0,"token":" w7.0@12/9"})");
    REQUIRE(stamped);
    REQUIRE(stamped->text == expectedToken(7, 0));
    REQUIRE(stamped->producedAt == 12);
    REQUIRE(stamped->receivedAt == 9);
    REQUIRE_FALSE(parseTokenEvent(R"({"finish_reason":"length","tokens":3})"));
}
