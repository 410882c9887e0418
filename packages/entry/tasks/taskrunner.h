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
 * Runs a task that must not end with an exception, such as a periodic update.
 *
 * An exception in a detached coroutine would end it without a log entry, and the data that it
 * updates would become stale. Therefore the exception is logged and the task is restarted after
 * taskRestartDelay. A task that returns is not restarted.
 *
 * @param name the task in the log.
 */
void spawnWithRestart(const boost::asio::any_io_executor &executor, std::string name,
                      std::function<boost::asio::awaitable<void>()> task);

/** Runs a context until it is stopped; an exception of a handler is logged and ends only that one.
 */
void runLoggingExceptions(boost::asio::io_context &context);

} // namespace sassafrasyard
