#include "gateway/runs/runversionexchange.h"

#include "gateway/runs/runkeepers.h"

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
/** How often an update is sent to a peer that does not confirm it; a host may have just started. */
constexpr int maximumUpdateAttempts = 3;
constexpr Milliseconds repetitionDelay{250};

/** Decodes an answer of a peer; malformed ones count as unknown. */
RunLookup toLookup(const RunVersionAnswer &answer)
{
    if (answer.result == RunVersionResult::Ambiguous)
        return {RunLookup::Result::Ambiguous, {}};
    const bool isValid = answer.result == RunVersionResult::Known && !answer.version.empty()
            && answer.version.size() <= maximumRunVersionBytes;
    if (!isValid)
        return {};
    return {RunLookup::Result::Known, SoftwareVersion(answer.version)};
}

} // namespace

struct RunVersionExchange::Query
{
    explicit Query(net::io_context &context)
        : timer(context)
    {
    }

    bool isDone() const
    {
        return this->pendingPeers == 0 || this->result.result != RunLookup::Result::Unknown;
    }

    void recordAnswer(const RunLookup &answer)
    {
        --this->pendingPeers;
        if (this->result.result == RunLookup::Result::Unknown)
            this->result = answer;
        if (this->isDone())
            this->timer.cancel();
    }

    net::steady_timer timer;
    std::size_t pendingPeers = 0;
    RunLookup result;
};

RunVersionExchange::RunVersionExchange(EntryState &entry, net::io_context &context,
                                       RunExchangeHooks hooks)
    : entry(entry)
    , context(context)
    , hooks(std::move(hooks))
{
}

void RunVersionExchange::tell(const RunKey &run, const std::string &service,
                              const SoftwareVersion &version)
{
    const RunStatement statement{run, service, version};
    const auto members = this->entry.members();
    for (const std::string &address : selectRunKeepers(*members, this->entry.incarnation, run))
        this->tellPeer(address, statement);
}

void RunVersionExchange::tellPeer(const std::string &address, const RunStatement &statement)
{
    // Peers reject longer texts.
    const std::string version = statement.version.toString();
    if (statement.service.size() > maximumRunServiceBytes || version.size() > maximumRunVersionBytes
        || version.empty())
        return;
    Peer &peer = this->peers[address];
    if (peer.runs.size() >= maximumWaitingRuns)
        peer.runs.pop_front();
    peer.runs.push_back({statement.run.high, statement.run.low, statement.service, version});
    if (!std::exchange(peer.isTelling, true)) {
        net::co_spawn(
                this->context, [this, address] { return this->sendUpdates(address); },
                net::detached);
    }
}

net::awaitable<RunLookup> RunVersionExchange::ask(RunKey run, std::string service)
{
    const auto members = this->entry.members();
    const auto addresses = selectRunKeepersToAsk(*members, this->entry.incarnation, run);
    const auto query = std::make_shared<Query>(this->context);
    query->pendingPeers = addresses.size();
    query->timer.expires_after(askTimeout);
    for (const std::string &address : addresses) {
        Peer &peer = this->peers[address];
        const RunKeyMessage key{run.high, run.low, service};
        peer.questions.emplace_back(key, query);
        if (!std::exchange(peer.isAsking, true)) {
            net::co_spawn(
                    this->context, [this, address] { return this->askPeer(address); },
                    net::detached);
        }
    }
    boost::system::error_code ignored;
    if (!query->isDone())
        co_await query->timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    co_return query->result;
}

std::size_t RunVersionExchange::waitingRunCount() const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : this->peers)
        count += peer.runs.size();
    return count;
}

net::awaitable<void> RunVersionExchange::sendUpdates(std::string address)
{
    net::steady_timer timer(this->context);
    Peer &peer = this->peers[address];
    while (!peer.runs.empty()) {
        timer.expires_after(peer.unconfirmedUpdates > 0 ? repetitionDelay : batchDelay);
        boost::system::error_code ignored;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
        RunVersionUpdate update;
        update.sender = this->entry.incarnation.toString();
        const std::size_t count = std::min(maximumRunsPerMessage, peer.runs.size());
        const auto end = peer.runs.begin() + static_cast<std::ptrdiff_t>(count);
        update.runs.assign(peer.runs.begin(), end);
        peer.runs.erase(peer.runs.begin(), end);
        Error reason;
        const std::vector<RunVersionMessage> runs = update.runs;
        const bool isTold =
                co_await this->hooks.tell(address, std::move(update), tellTimeout, reason);
        if (isTold) {
            peer.unconfirmedUpdates = 0;
            continue;
        }
        logEvent(LogEvent::RunVersionsUntold, "peer", address, "runs", std::to_string(count),
                 "detail", reason.detail);
        if (++peer.unconfirmedUpdates < maximumUpdateAttempts)
            returnUnconfirmed(peer, runs);
        else
            peer.unconfirmedUpdates = 0;
    }
    peer.isTelling = false;
    this->forgetIfIdle(address);
}

/** Lets streams wait again that the peer did not confirm, if there is room. */
void RunVersionExchange::returnUnconfirmed(Peer &peer, const std::vector<RunVersionMessage> &runs)
{
    const std::size_t room = maximumWaitingRuns - std::min(maximumWaitingRuns, peer.runs.size());
    const std::size_t count = std::min(room, runs.size());
    peer.runs.insert(peer.runs.begin(), runs.end() - static_cast<std::ptrdiff_t>(count),
                     runs.end());
}

net::awaitable<void> RunVersionExchange::askPeer(std::string address)
{
    Peer &peer = this->peers[address];
    while (!peer.questions.empty()) {
        std::vector<std::shared_ptr<Query>> queries;
        RunVersionRequest request = takeQuestions(peer, queries);
        std::optional<RunVersionReply> reply;
        Error ignored;
        if (!queries.empty())
            reply = co_await this->hooks.ask(address, std::move(request), askTimeout, ignored);
        const bool isValid = reply && reply->answers.size() == queries.size();
        for (std::size_t index = 0; index < queries.size(); ++index)
            queries[index]->recordAnswer(isValid ? toLookup(reply->answers[index]) : RunLookup());
    }
    peer.isAsking = false;
    this->forgetIfIdle(address);
}

/** Takes the questions of the next request that have no answer yet. */
RunVersionRequest RunVersionExchange::takeQuestions(Peer &peer,
                                                    std::vector<std::shared_ptr<Query>> &queries)
{
    RunVersionRequest request;
    while (!peer.questions.empty() && queries.size() < maximumRunsPerMessage) {
        auto &[key, query] = peer.questions.front();
        const bool isWaiting =
                !query->isDone() && query->timer.expiry() > net::steady_timer::clock_type::now();
        if (isWaiting) {
            request.runs.push_back(std::move(key));
            queries.push_back(std::move(query));
        }
        peer.questions.pop_front();
    }
    return request;
}

void RunVersionExchange::forgetIfIdle(const std::string &address)
{
    const auto known = this->peers.find(address);
    if (!known->second.isTelling && !known->second.isAsking)
        this->peers.erase(known);
}

} // namespace sassafrasyard
