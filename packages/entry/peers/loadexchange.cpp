#include "entry/peers/loadexchange.h"

#include "entry/tasks/taskrunner.h"
#include "policy/placement/stablehash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds sendInterval{250};
constexpr Milliseconds sendTimeout{500};
constexpr std::size_t peersPerInterval = 4;
/** Changes within this time share one update; an engine needs longer to process a prompt. */
constexpr Milliseconds changeBatchDelay{25};
/** Peers that do not receive a change at once may place prompts on engines that are full. */
constexpr std::size_t maximumPeersPerChange = 64;
/** The share of a host's control traffic at the planned size (docs/CAPACITY.md). */
constexpr double updateBytesPerSecond = 19'000.0;

std::size_t byteCount(const LoadExchange::Update &update)
{
    return update.bytes.size() + update.limits.size();
}

} // namespace

LoadExchange::LoadExchange(EntryState &state, net::io_context &context, EncodeUpdate encodeUpdate,
                           SelectPeers selectPeers)
    : entry(state)
    , strand(net::make_strand(context))
    , encodeUpdate(std::move(encodeUpdate))
    , selectPeers(std::move(selectPeers))
    , rotation(stableHash(state.incarnation.toString()))
    , budget(updateBytesPerSecond)
{
}

void LoadExchange::start()
{
    spawnWithRestart(this->strand, "load exchange", [this] { return this->sendPeriodically(); });
}

net::awaitable<void> LoadExchange::sendPeriodically()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        const Update update = co_await this->encodeUpdate(Content::All);
        const std::vector<std::string> peers = this->nextPeers(peersPerInterval);
        // Sent even without budget, so that every peer gets updates regularly.
        this->budget.take(peers.size(), byteCount(update), this->entry.steadyClock.now());
        this->sendTo(peers, update);
        timer.expires_after(sendInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

void LoadExchange::requestSend(Content content)
{
    net::post(this->strand, [this, content] {
        if (content == Content::All)
            this->pendingContent = Content::All;
        if (std::exchange(this->isSendScheduled, true))
            return;
        net::co_spawn(
                this->strand, [this] { return this->sendAfterDelay(); }, net::detached);
    });
}

net::awaitable<void> LoadExchange::sendAfterDelay()
{
    net::steady_timer timer(co_await net::this_coro::executor, changeBatchDelay);
    boost::system::error_code code;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    this->isSendScheduled = false;
    const Content content = std::exchange(this->pendingContent, Content::Load);
    co_await this->sendNow(content);
}

/** Sends an update to as many peers as the byte budget permits. */
net::awaitable<void> LoadExchange::sendNow(Content content)
{
    const Update update = co_await this->encodeUpdate(content);
    const bool hasSelectedPeers = content == Content::Load && this->selectPeers;
    std::vector<std::string> peers = hasSelectedPeers ? this->selectPeers(update.changedServers)
                                                      : this->nextPeers(maximumPeersPerChange);
    const std::size_t permittedCount =
            this->budget.take(peers.size(), byteCount(update), this->entry.steadyClock.now());
    if (permittedCount < peers.size()) {
        // The peers that were left out come first in the next selection.
        if (!hasSelectedPeers)
            this->rotation.rewind(peers.size() - permittedCount);
        peers.resize(permittedCount);
    }
    this->sendTo(peers, update);
}

void LoadExchange::sendTo(const std::vector<std::string> &peers, const Update &update)
{
    for (const std::string &address : peers) {
        net::co_spawn(
                this->strand, [this, address, update] { return this->sendTo(address, update); },
                net::detached);
    }
}

net::awaitable<void> LoadExchange::sendTo(std::string address, Update update)
{
    // Skip a peer whose last update is still being sent; it receives a later one.
    if (!this->addressesBeingSent.insert(address).second)
        co_return;
    Error reason;
    auto &connection = this->connections[address];
    const auto endpoint = parseEndpoint(address, reason);
    if (!connection && endpoint)
        connection = co_await FrameConnection::connect(*endpoint, sendTimeout, reason);
    bool isSent = false;
    if (connection)
        isSent = co_await connection->send(update.bytes, sendTimeout, reason);
    if (isSent && !update.limits.empty())
        isSent = co_await connection->send(update.limits, sendTimeout, reason);
    if (!isSent)
        this->connections.erase(address);
    this->addressesBeingSent.erase(address);
}

std::vector<std::string> LoadExchange::nextPeers(std::size_t limit)
{
    const auto known = this->entry.members();
    std::vector<std::string> peers;
    for (const MemberRecord &record : *known) {
        if (record.incarnation != this->entry.incarnation && record.state == MemberState::Alive
            && record.region == this->entry.settings.region)
            peers.push_back(record.peerAddress);
    }
    std::erase_if(this->connections, [&](const auto &pair) {
        return !this->addressesBeingSent.contains(pair.first)
                && std::find(peers.begin(), peers.end(), pair.first) == peers.end();
    });
    return this->rotation.take(peers, limit);
}

} // namespace sassafrasyard
