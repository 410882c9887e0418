#pragma once

#include <cstdint>
#include <optional>

namespace sassafrasyard {

/**
 * Returns the urgency of a request for its engine, where 0 is admitted first and preempted last, or
 * nothing for the default of engines.
 *
 * Answers the load of an engine that has more requests than memory. A run in progress comes before
 * all new ones, because preempting it delays a stream that its caller is reading. New ones have the
 * default whatever their ranks: a more urgent new request would preempt streams in progress at its
 * engine, which costs their callers more than it gains. Hosts apply the ranks before they send.
 *
 * @param isInProgress whether the caller has received events of the stream.
 */
std::optional<std::uint8_t> engineUrgency(bool isInProgress);

} // namespace sassafrasyard
