#pragma once

#include <cstdint>

namespace sassafrasyard {

/**
 * Returns the urgency of a request for its engine, where 0 is admitted first and preempted last.
 *
 * Answers the load of an engine that has more requests than memory. A run in progress comes before
 * all new ones, because preempting it delays a stream that its caller is reading. New ones follow
 * in the order of their ranks.
 *
 * @param rank the priority rank of the request; 0 is the most urgent.
 * @param isInProgress whether the caller has received events of the stream.
 */
std::uint8_t engineUrgency(int rank, bool isInProgress);

} // namespace sassafrasyard
