#include "entry/tasks/taskrunner.h"

#include "observability/observability.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

net::awaitable<void> runWithRestart(std::string name, std::function<net::awaitable<void>()> task)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    bool hasEnded = false;
    while (!hasEnded && !code) {
        std::string detail;
        try {
            co_await task();
            hasEnded = true;
        } catch (const std::exception &exception) {
            detail = exception.what();
        }
        if (hasEnded)
            break;
        logEvent(LogEvent::UnexpectedError, "where", name, "detail", detail);
        timer.expires_after(taskRestartDelay);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

} // namespace

void spawnWithRestart(const net::any_io_executor &executor, std::string name,
                      std::function<net::awaitable<void>()> task)
{
    net::co_spawn(
            executor,
            [name = std::move(name), task = std::move(task)] { return runWithRestart(name, task); },
            net::detached);
}

void runLoggingExceptions(net::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &exception) {
            logEvent(LogEvent::UnexpectedError, "where", std::string("handler"), "detail",
                     std::string(exception.what()));
        }
    }
}

} // namespace sassafrasyard
