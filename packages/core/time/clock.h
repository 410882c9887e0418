#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace sassafrasyard {

/** Durations and instants throughout the code base, in milliseconds. */
using Milliseconds = std::chrono::milliseconds;

/**
 * A source of the current time in milliseconds.
 *
 * Instants are durations since the clock's own epoch and are comparable only with instants of the
 * same clock.
 */
class Clock
{
public:
    /** A function that returns the current instant. */
    using Source = std::function<Milliseconds()>;

    /** Creates a clock that reads the given source. @param source must be callable. */
    explicit Clock(Source source);

    /** Returns a monotonic clock with an unspecified epoch. */
    static Clock steady();

    /** Returns a wall clock of milliseconds since the Unix epoch; it may be adjusted. */
    static Clock system();

    /** Returns a monotonic clock that includes the time during which the host is suspended. */
    static Clock suspendAware();

    /** Returns a clock that returns *value, for tests. @param value must not be null. */
    static Clock manual(std::shared_ptr<Milliseconds> value);

    /** Returns the current instant in milliseconds. */
    Milliseconds now() const;

private:
    Source source;
};

} // namespace sassafrasyard
