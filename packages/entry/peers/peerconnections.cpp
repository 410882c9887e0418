#include "entry/peers/peerconnections.h"

#include <algorithm>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A peer that does not accept a connection within this time is not waited for. */
constexpr Milliseconds connectTimeout{500};
/** Peers close connections that are idle for 60 s. */
constexpr Milliseconds maximumIdleTime{50000};

} // namespace

PeerConnections::PeerConnections(Clock clock, std::size_t maximumIdle)
    : clock(std::move(clock))
    , maximumIdle(maximumIdle)
{
}

std::size_t PeerConnections::idleCount() const
{
    return this->idle.size();
}

net::awaitable<std::optional<PeerConnections::Exchanged>> PeerConnections::exchangeFrames(
        const std::string &address, const std::string &payload, Milliseconds timeout, Error &reason)
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        co_return std::nullopt;
    const Milliseconds end = this->clock.now() + timeout;
    const auto timeLeft = [this, end] {
        return std::max(Milliseconds(1), end - this->clock.now());
    };
    auto connection = this->take(address);
    bool wasIdle = connection != nullptr;
    std::optional<std::string> answered;
    while (!answered) {
        if (!connection) {
            const Milliseconds limit = std::min(connectTimeout, timeLeft());
            connection = co_await FrameConnection::connect(*endpoint, limit, reason);
        }
        if (!connection)
            co_return std::nullopt;
        const bool isSent = co_await connection->send(payload, timeLeft(), reason);
        if (isSent)
            answered = co_await connection->receive(timeLeft(), reason);
        // The peer closes idle connections; a request on one that it closed is sent again.
        if (!answered && (!wasIdle || reason.code == ErrorCode::Timeout))
            co_return std::nullopt;
        if (!answered)
            connection.reset();
        wasIdle = false;
    }
    co_return Exchanged{std::move(*answered), std::move(connection)};
}

/** Returns the connection to a peer that was used last, or null if there is none. */
std::unique_ptr<FrameConnection> PeerConnections::take(const std::string &address)
{
    const Milliseconds now = this->clock.now();
    std::erase_if(this->idle, [now](const IdleConnection &entry) {
        return now - entry.idleSince >= maximumIdleTime;
    });
    const auto known =
            std::find_if(this->idle.rbegin(), this->idle.rend(),
                         [&](const IdleConnection &entry) { return entry.address == address; });
    if (known == this->idle.rend())
        return nullptr;
    auto connection = std::move(known->connection);
    this->idle.erase(std::next(known).base());
    return connection;
}

void PeerConnections::keep(std::string address, std::unique_ptr<FrameConnection> connection)
{
    this->idle.push_back({std::move(address), std::move(connection), this->clock.now()});
    if (this->idle.size() > this->maximumIdle)
        this->idle.pop_front();
}

Error PeerConnections::unmatchedReplyError()
{
    return {ErrorCode::ProtocolViolation,
            RunState::NotRun,
            "the reply does not match the request",
            {}};
}

} // namespace sassafrasyard
