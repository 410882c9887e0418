#include "gateway/speed/speedexchange.h"

#include "entry/tasks/taskrunner.h"
#include "observability/observability.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds tellTimeout{500};

} // namespace

SpeedExchange::SpeedExchange(DispatchService &dispatch, net::io_context &context, Clock clock,
                             SpeedExchangeHooks hooks)
    : dispatch(dispatch)
    , context(context)
    , clock(std::move(clock))
    , hooks(std::move(hooks))
{
}

void SpeedExchange::start()
{
    spawnWithRestart(this->context.get_executor(), "speed exchange",
                     [this] { return this->sendPeriodically(); });
}

net::awaitable<void> SpeedExchange::sendPeriodically()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        timer.expires_after(sendInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
        if (!code)
            co_await this->send();
    }
}

net::awaitable<void> SpeedExchange::send()
{
    std::vector<EngineSpeed> speeds = co_await this->dispatch.ownSpeeds();
    if (speeds.empty())
        co_return;
    std::sort(speeds.begin(), speeds.end(), [](const EngineSpeed &left, const EngineSpeed &right) {
        return left.samples > right.samples;
    });
    if (speeds.size() > maximumSpeeds)
        speeds.resize(maximumSpeeds);
    SpeedUpdate update;
    for (const EngineSpeed &speed : speeds)
        update.speeds.push_back(
                {speed.server.toString(), speed.millisecondsPerToken, speed.samples});
    for (const std::string &address : this->nextPeers(speeds)) {
        net::co_spawn(
                this->context, [this, address, update] { return this->tell(address, update); },
                net::detached);
    }
}

net::awaitable<void> SpeedExchange::tell(std::string address, SpeedUpdate update)
{
    Error reason;
    const bool isConfirmed =
            co_await this->hooks.tell(address, std::move(update), tellTimeout, reason);
    if (!isConfirmed)
        this->silentUntil[address] = this->clock.now() + silentPeerPause;
}

SpeedUpdateReply SpeedExchange::record(const SpeedUpdate &update)
{
    const std::size_t count = std::min(update.speeds.size(), maximumSpeeds);
    std::vector<EngineSpeed> speeds;
    for (std::size_t index = 0; index < count; ++index) {
        const SpeedMessage &message = update.speeds[index];
        speeds.push_back(
                {BackendServerName(message.server), message.millisecondsPerToken, message.samples});
    }
    this->dispatch.post([speeds = std::move(speeds)](Dispatcher &dispatcher, Milliseconds now) {
        for (const EngineSpeed &speed : speeds) {
            if (!dispatcher.recordPeerSpeed(speed, now))
                logEvent(LogEvent::PeerMessageInvalid, "detail",
                         "impossible speed of " + speed.server.toString());
        }
    });
    SpeedUpdateReply reply;
    reply.sequence = update.sequence;
    return reply;
}

/** Returns the peers whose turn it is among those that use one of the engines. */
std::vector<std::string> SpeedExchange::nextPeers(const std::vector<EngineSpeed> &speeds)
{
    const Milliseconds now = this->clock.now();
    std::erase_if(this->silentUntil, [now](const auto &silent) { return now >= silent.second; });
    std::vector<BackendServerName> servers;
    for (const EngineSpeed &speed : speeds)
        servers.push_back(speed.server);
    std::vector<std::string> peers = this->hooks.peersUsing(servers);
    std::erase_if(peers, [this](const auto &peer) { return this->silentUntil.contains(peer); });
    if (peers.empty())
        return peers;
    std::sort(peers.begin(), peers.end());
    const std::size_t count = std::min(peers.size(), peersPerInterval);
    std::vector<std::string> next;
    for (std::size_t taken = 0; taken < count; ++taken)
        next.push_back(peers[(this->position + taken) % peers.size()]);
    this->position = (this->position + count) % peers.size();
    return next;
}

} // namespace sassafrasyard
