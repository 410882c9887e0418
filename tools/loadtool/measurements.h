#pragma once

#include "callrecord.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** One row of the table. */
struct MeasurementRow
{
    /** What was measured, with its unit. */
    std::string name;
    /** The value while all engines had their usual pace. */
    double normal = 0.0;
    /** The value while some engines were slowed. */
    double slowed = 0.0;
};

/** Returns a quantile of the values by the nearest rank; 0 if there are none. */
double quantile(std::vector<float> values, double probability);

/**
 * Computes the table of the four measures.
 *
 * @param slowdownBegin when the slowed phase begins; calls count by their arrival, gaps by theirs.
 */
std::vector<MeasurementRow> measureCalls(std::span<const CallRecord> records,
                                         RunTime slowdownBegin);

/**
 * Computes the transport times of stamped streams.
 *
 * @param from,until only tokens that arrived in this window count.
 */
std::vector<MeasurementRow> measureTransport(std::span<const CallRecord> records, RunTime from,
                                             RunTime until);

/** Returns the rows as a text table. */
std::string formatTable(std::span<const MeasurementRow> rows);

/** Returns the rows as a JSON document. */
std::string formatJson(std::span<const MeasurementRow> rows);

} // namespace sassafrasyard
