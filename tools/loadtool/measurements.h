#pragma once

#include "callrecord.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** One row of the result table. */
struct MeasurementRow
{
    /** The name of the measure with its unit. */
    std::string name;
    /** The value of the phase in which all engines run at normal speed. */
    double normal = 0.0;
    /** The value of the phase in which some engines are slowed; 0 for measures of the whole run. */
    double slowed = 0.0;
};

/** Returns a quantile of the values by the nearest-rank method; 0 if there are none. */
double quantile(std::vector<float> values, double probability);

/**
 * Computes latency, refusals, goodput and errors of the normal and the slowed phase.
 *
 * @param slowdownBegin when the slowed phase begins. A call belongs to the phase in which it
 * starts, a gap between tokens to the phase in which the later token arrives.
 */
std::vector<MeasurementRow> measureCalls(std::span<const CallRecord> records,
                                         RunTime slowdownBegin);

/**
 * Computes the transport times of streams whose engine adds timestamps to the tokens.
 *
 * @param from,until the window; tokens that arrive outside of it are ignored.
 */
std::vector<MeasurementRow> measureTransport(std::span<const CallRecord> records, RunTime from,
                                             RunTime until);

/** Returns the rows as a text table with a header line. */
std::string formatTable(std::span<const MeasurementRow> rows);

/** Returns the rows as a JSON array of objects with name, normal and slowed. */
std::string formatJson(std::span<const MeasurementRow> rows);

} // namespace sassafrasyard
