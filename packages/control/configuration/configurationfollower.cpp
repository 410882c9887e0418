#include "control/configuration/configurationfollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds watchTimeout{30000};
constexpr Milliseconds retryDelay{1000};
constexpr std::string_view configurationObject = "configuration/current";

} // namespace

ConfigurationFollower::ConfigurationFollower(EntryState &state, ObjectClient &platform,
                                             net::io_context &context)
    : entry(state)
    , platform(platform)
    , context(context)
{
}

void ConfigurationFollower::start()
{
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->follow(); }, net::detached);
}

net::awaitable<void> ConfigurationFollower::follow()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    std::uint64_t version = 0;
    while (!code) {
        Error reason;
        const auto object = co_await this->platform.watch(std::string(configurationObject), version,
                                                          watchTimeout, reason);
        if (!object) {
            logEvent(LogEvent::ConfigurationUnavailable, "detail", reason.detail);
            timer.expires_after(retryDelay);
            co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
            continue;
        }
        version = object->version;
        auto configuration = parseConfiguration(object->value, reason);
        if (!configuration) {
            logEvent(LogEvent::ConfigurationRejected, "detail", reason.detail);
            continue;
        }
        const std::uint64_t revision = configuration->revision;
        if (this->entry.configuration.offer(std::move(*configuration)))
            logEvent(LogEvent::ConfigurationApplied, "revision", std::to_string(revision), "from",
                     "platform");
    }
}

} // namespace sassafrasyard
