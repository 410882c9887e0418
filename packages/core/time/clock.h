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
    /** The hook that supplies the current instant. */
    using Source = std::function<Milliseconds()>;

    /** Creates a clock that reads the given source. @param source must be callable. */
    explicit Clock(Source source);

    /** Returns a clock that never goes back and is unrelated to the calendar. */
    static Clock steady();

    /** Returns a clock of milliseconds since the Unix epoch; it may be stepped. */
    static Clock system();

    /** Returns a clock that never goes back and counts the time in which the host is suspended. */
    static Clock suspendAware();

    /** Returns a clock that shows the value behind the pointer. @param value must not be null. */
    static Clock manual(std::shared_ptr<Milliseconds> value);

    /** Returns the current instant in milliseconds. */
    Milliseconds now() const;

private:
    Source source;
};

} // namespace sassafrasyard
