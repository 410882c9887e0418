#include "gateway/contact/relaypeers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** How many peers are asked at a time. */
constexpr std::size_t askedPeers = 6;
/** How long a peer may take to answer; it may have to try two rounds of connections first. */
constexpr Milliseconds answerTimeout{400};
/** The shortest interval between two rounds of questions on a service. */
constexpr Milliseconds askInterval{500};
/** How long an answer counts. */
constexpr Milliseconds answerLifetime{3000};
/** With at least this many known peers, they are asked again only for fresh answers. */
constexpr std::size_t enoughPeers = 3;
/** The age from which the answers of enough peers are renewed. */
constexpr Milliseconds renewalAge{1500};

} // namespace

/** A round of questions; the timer is cancelled at the first positive answer or the last one. */
struct RelayPeers::Answers
{
    explicit Answers(net::io_context &context)
        : end(context, net::steady_timer::time_point::max())
    {
    }

    net::steady_timer end;
    std::size_t pending = 0;
    std::size_t answered = 0;
    std::size_t reached = 0;
};

RelayPeers::RelayPeers(EntryState &entry, net::io_context &context, Clock clock)
    : entry(entry)
    , context(context)
    , clock(std::move(clock))
    , random(RandomSource::fromSystem())
{
}

void RelayPeers::setAsk(Ask newAsk)
{
    this->ask = std::move(newAsk);
}

net::awaitable<std::optional<std::string>> RelayPeers::choose(std::string service,
                                                              std::uint64_t version,
                                                              std::vector<std::string> excluded)
{
    if (!this->ask)
        co_return std::nullopt;
    std::vector<std::string> peers = this->known(service, version, excluded);
    Service &state = this->services[service];
    const Milliseconds now = this->clock.now();
    const Milliseconds interval = peers.size() < enoughPeers ? askInterval : renewalAge;
    if (!state.answers && (!state.askedAt || now - *state.askedAt >= interval))
        this->askPeers(service);
    if (peers.empty() && state.answers) {
        const auto answers = state.answers;
        boost::system::error_code ignored;
        co_await answers->end.async_wait(net::redirect_error(net::use_awaitable, ignored));
        peers = this->known(service, version, excluded);
    }
    if (peers.empty())
        co_return std::nullopt;
    co_return peers[this->random.below(peers.size())];
}

bool RelayPeers::areServersDown(const std::string &service) const
{
    const auto state = this->services.find(service);
    if (state == this->services.end())
        return !this->ask;
    const auto &reachedAt = state->second.reachedAt;
    const bool isReached = reachedAt && this->clock.now() - *reachedAt < answerLifetime;
    return state->second.isDown && !isReached;
}

void RelayPeers::recordFailure(const std::string &service, const std::string &relayAddress)
{
    this->services[service].peers.erase(relayAddress);
}

bool RelayPeers::hasPeer(const std::string &service) const
{
    return !this->known(service, 0, {}).empty();
}

/** Returns the peers whose answers still count. */
std::vector<std::string> RelayPeers::known(const std::string &service, std::uint64_t version,
                                           std::span<const std::string> excluded) const
{
    std::vector<std::string> addresses;
    const auto state = this->services.find(service);
    if (state == this->services.end())
        return addresses;
    const Milliseconds now = this->clock.now();
    for (const auto &[address, answer] : state->second.peers) {
        const bool isExcluded =
                std::find(excluded.begin(), excluded.end(), address) != excluded.end();
        if (!isExcluded && now - answer.receivedAt < answerLifetime
            && answer.configurationVersion >= version)
            addresses.push_back(address);
    }
    return addresses;
}

/** Returns the peer addresses of randomly chosen hosts that accept callers. */
std::vector<std::string> RelayPeers::choosePeersToAsk()
{
    std::vector<std::string> addresses;
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members) {
        if (record.incarnation != this->entry.incarnation && record.isServing
            && record.state == MemberState::Alive)
            addresses.push_back(record.peerAddress);
    }
    const std::size_t count = std::min(askedPeers, addresses.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(addresses[index],
                  addresses[index + this->random.below(addresses.size() - index)]);
    addresses.resize(count);
    return addresses;
}

void RelayPeers::askPeers(const std::string &service)
{
    Service &state = this->services[service];
    const Milliseconds now = this->clock.now();
    state.askedAt = now;
    std::erase_if(state.peers, [now](const auto &peer) {
        return now - peer.second.receivedAt >= answerLifetime;
    });
    const std::vector<std::string> addresses = this->choosePeersToAsk();
    state.isDown = addresses.empty();
    if (addresses.empty())
        return;
    state.answers = std::make_shared<Answers>(this->context);
    state.answers->pending = addresses.size();
    for (const std::string &address : addresses) {
        net::co_spawn(
                this->context,
                [this, service, address, answers = state.answers] {
                    return this->askPeer(service, address, answers);
                },
                net::detached);
    }
}

net::awaitable<void> RelayPeers::askPeer(std::string service, std::string peerAddress,
                                         std::shared_ptr<Answers> answers)
{
    Error reason;
    ServiceContactRequest request;
    request.service = service;
    const auto reply =
            co_await this->ask(std::move(peerAddress), std::move(request), answerTimeout, reason);
    Service &state = this->services[service];
    answers->answered += reply ? 1 : 0;
    if (reply && reply->isReached)
        state.reachedAt = this->clock.now();
    if (reply && reply->isReached && !reply->relayAddress.empty()) {
        state.peers[reply->relayAddress] = {this->clock.now(), reply->configurationVersion};
        ++answers->reached;
    } else if (reply) {
        state.peers.erase(reply->relayAddress);
    }
    --answers->pending;
    if (answers->reached > 0 || answers->pending == 0)
        answers->end.expires_at(net::steady_timer::time_point::min());
    if (answers->pending > 0)
        co_return;
    if (state.answers == answers)
        state.answers.reset();
    state.isDown = answers->answered > 0;
    logEvent(LogEvent::RelayPeersFound, "service", service, "reached",
             std::to_string(answers->reached), "known", std::to_string(state.peers.size()));
}

} // namespace sassafrasyard
