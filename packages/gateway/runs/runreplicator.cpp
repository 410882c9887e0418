#include "gateway/runs/runreplicator.h"

#include "gateway/runs/runkeepers.h"

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

/** The number of streams between two waits, so that calls are not held up. */
constexpr std::size_t statementsPerTurn = 64;
constexpr Milliseconds roomInterval{10};
/** The number of streams that may wait to be told to all peers. */
constexpr std::size_t maximumWaitingRuns = 512;

/** Returns whether the hosts that take streams are the same processes in both. */
bool hasSameKeepers(std::span<const MemberRecord> left, std::span<const MemberRecord> right)
{
    const auto isSame = [](const MemberRecord &first, const MemberRecord &second) {
        return first.incarnation == second.incarnation && first.peerAddress == second.peerAddress
                && (first.state == MemberState::Alive) == (second.state == MemberState::Alive);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSame);
}

} // namespace

RunReplicator::RunReplicator(EntryState &entry, net::io_context &context,
                             RunVersionExchange &exchange, Statements statements)
    : entry(entry)
    , context(context)
    , exchange(exchange)
    , statements(std::move(statements))
{
}

void RunReplicator::advance()
{
    const Members members = this->entry.members();
    const bool isCurrent = this->replicatedFor
            && (members == this->replicatedFor || hasSameKeepers(*members, *this->replicatedFor));
    if (this->isReplicating || (isCurrent && !this->isHandOverRequested))
        return;
    this->isReplicating = true;
    net::co_spawn(
            this->context, [this] { return this->replicate(); }, net::detached);
}

void RunReplicator::handOver()
{
    this->isHandOverRequested = true;
    this->advance();
}

net::awaitable<void> RunReplicator::replicate()
{
    const Members now = this->entry.members();
    const bool isHandOver = std::exchange(this->isHandOverRequested, false);
    const Members before = std::exchange(this->replicatedFor, now);
    std::span<const MemberRecord> told;
    if (before && !isHandOver)
        told = *before;
    std::size_t count = 0;
    for (const RunStatement &statement : this->statements()) {
        this->tellNewKeepers(statement, told, *now);
        if (++count % statementsPerTurn == 0)
            co_await this->waitForRoom();
    }
    this->isReplicating = false;
}

net::awaitable<void> RunReplicator::waitForRoom()
{
    net::steady_timer timer(this->context);
    do {
        timer.expires_after(roomInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    } while (this->exchange.waitingRunCount() > maximumWaitingRuns);
}

void RunReplicator::tellNewKeepers(const RunStatement &statement,
                                   std::span<const MemberRecord> before,
                                   std::span<const MemberRecord> now)
{
    const HostIncarnation &self = this->entry.incarnation;
    const auto earlier = selectRunKeeperMembers(before, self, statement.run);
    for (const MemberRecord *keeper : selectRunKeeperMembers(now, self, statement.run)) {
        const bool isKnown =
                std::any_of(earlier.begin(), earlier.end(), [keeper](const MemberRecord *known) {
                    return known->incarnation == keeper->incarnation
                            && known->peerAddress == keeper->peerAddress;
                });
        if (!isKnown)
            this->exchange.tellPeer(keeper->peerAddress, statement);
    }
}

} // namespace sassafrasyard
