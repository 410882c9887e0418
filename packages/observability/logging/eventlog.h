#pragma once

#include "core/core.h"
#include "observability/logging/logevent.h"

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace sassafrasyard {

/** One named value of a log line. */
struct LogField
{
    /** The field's name. */
    std::string_view name;
    /** The field's value. */
    std::string value;
};

/** The stream that the log is written to. */
enum class LogTarget {
    StandardError,
    StandardOutput,
};

/** Sets up logging, one JSON object per line. @param minimum lower levels are dropped. */
void startLogging(std::string_view host, LogLevel minimum,
                  LogTarget target = LogTarget::StandardError);

/** Writes a numbered event. May be called from any thread; does nothing before startLogging(). */
void logFields(LogEvent event, std::span<const LogField> fields);

/**
 * Writes a numbered event with alternating field names and values.
 *
 * A parameter pack instead of an initializer list: g++ 12 miscompiles braced lists in coroutines.
 */
template <typename... Arguments>
void logEvent(LogEvent event, Arguments &&...arguments)
{
    static_assert(sizeof...(Arguments) % 2 == 0, "each field needs a name and a value");
    const std::array<std::string, sizeof...(Arguments)> texts{
            std::string(std::forward<Arguments>(arguments))...};
    std::array<LogField, sizeof...(Arguments) / 2> fields;
    for (std::size_t index = 0; index < fields.size(); ++index)
        fields[index] = {texts[2 * index], texts[2 * index + 1]};
    logFields(event, fields);
}

} // namespace sassafrasyard
