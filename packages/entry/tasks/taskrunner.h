#pragma once

#include "core/core.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace sassafrasyard {

/** The pause before a task that ended with an exception runs again, in milliseconds. */
inline constexpr Milliseconds taskRestartDelay{500};

/**
 * Runs a task that is to go on for the life of the process.
 *
 * A detached coroutine that throws ends without a trace, and what it kept up to date grows old. So
 * an exception is logged and the task starts again after taskRestartDelay. A task that returns has
 * ended.
 *
 * @param name the task in the log.
 */
void spawnWithRestart(const boost::asio::any_io_executor &executor, std::string name,
                      std::function<boost::asio::awaitable<void>()> task);

/** Runs a context until it is stopped; an exception of a handler is logged and ends only that one.
 */
void runLoggingExceptions(boost::asio::io_context &context);

} // namespace sassafrasyard
