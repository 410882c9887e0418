#include "gateway/limits/serverlimiter.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A round trip between hosts takes some milliseconds; a call does not wait longer for a permit. */
constexpr Milliseconds permitTimeout{150};
/** Servers are cold for some seconds; a longer time of a peer is cut. */
constexpr std::uint64_t maximumColdMilliseconds = 60000;
/** A shorter pause is over before the next check, so the dispatcher is not told of it. */
constexpr Milliseconds minimumPublishedPause{50};

bool isValid(const CallLimitMessage &message)
{
    return !message.run.empty()
            && (!message.isLimited
                || (std::isfinite(message.callsPerSecond) && message.callsPerSecond >= 0.0));
}

/** Returns the pause that a peer states, which may be absurd. */
Milliseconds toPause(std::uint64_t milliseconds)
{
    constexpr std::uint64_t longestPause = 60000;
    return Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, longestPause)));
}

std::string describeLimit(std::optional<double> limit)
{
    return limit ? std::to_string(*limit) : std::string("none");
}

} // namespace

std::string_view toString(AttemptKind kind)
{
    switch (kind) {
    case AttemptKind::First:
        return "first";
    case AttemptKind::Repeated:
        return "repeated";
    case AttemptKind::Continued:
        return "continued";
    }
    return "unknown";
}

ServerLimiter::ServerLimiter(EntryState &entry, DispatchService &dispatch, Clock clock)
    : entry(entry)
    , dispatch(dispatch)
    , clock(std::move(clock))
    , limits(entry.settings.host, stableHash(entry.incarnation.toString()))
    , brittle(entry, this->clock)
{
}

void ServerLimiter::setHooks(LimiterHooks newHooks)
{
    this->hooks = std::move(newHooks);
}

void ServerLimiter::recordResponse(const BackendServerName &run,
                                   std::optional<double> callsPerSecond, Milliseconds sentAt)
{
    if (!this->limits.recordResponse(run, callsPerSecond, sentAt, this->clock.now()))
        return;
    this->logLimit(run, "response");
    if (this->hooks.announce)
        this->hooks.announce();
}

void ServerLimiter::setColdServers(std::span<const ColdServer> servers)
{
    const Milliseconds now = this->clock.now();
    std::set<BackendServerName> cold;
    for (const ColdServer &server : servers) {
        this->limits.setTimedLimit(server.run, server.callsPerSecond, server.coldUntil, now);
        cold.insert(server.run);
        if (!this->coldRuns.contains(server.run)) {
            logEvent(LogEvent::ServerCold, "backend_server", server.run.toString(), "limit",
                     std::to_string(server.callsPerSecond), "cold_ms",
                     std::to_string((server.coldUntil - now).count()), "granter",
                     this->limits.granter(server.run).toString());
        }
    }
    for (const BackendServerName &run : this->coldRuns) {
        if (!cold.contains(run))
            this->limits.setTimedLimit(run, 0.0, now, now);
    }
    this->coldRuns = std::move(cold);
}

void ServerLimiter::recordCall(const BackendServerName &run, AttemptKind kind)
{
    if (!this->limit(run))
        return;
    ++this->calls[run][static_cast<std::size_t>(kind)];
    this->entry.metrics.count("sassafrasyard_limited_server_calls_total",
                              {{"attempt", std::string(toString(kind))}});
}

std::optional<double> ServerLimiter::limit(const BackendServerName &run) const
{
    return this->limits.limit(run, this->clock.now());
}

net::awaitable<CallPermit> ServerLimiter::acquire(BackendServerName server, BackendServerName run,
                                                  AttemptKind kind, Milliseconds timeLeft)
{
    CallPermit permit{true, Milliseconds(0)};
    if (!this->limit(run))
        co_return permit;
    const Milliseconds now = this->clock.now();
    const bool isUrgent = kind == AttemptKind::Continued;
    const auto pause = this->limits.pauseLeft(run, now);
    if (pause && !isUrgent) {
        permit = {false, *pause};
        co_return permit;
    }
    const HostName granter = this->limits.granter(run);
    if (granter == this->entry.settings.host)
        permit = this->limits.grant(run, isUrgent, now);
    else if (this->limits.timedLimit(run, now))
        permit = co_await this->askColdGranter(granter, run, kind, timeLeft);
    else
        permit = co_await this->askGranter(granter, run, kind, timeLeft);
    this->limits.recordPermit(run, permit, this->clock.now());
    this->publishPause(server, run);
    if (!permit.isGranted)
        this->entry.metrics.count("sassafrasyard_call_permits_denied_total");
    co_return permit;
}

net::awaitable<CallPermit> ServerLimiter::acquirePlace(std::string service,
                                                       BackendServerName server,
                                                       BackendServerName run, std::uint32_t slots,
                                                       AttemptKind kind)
{
    const bool isContinuation = kind == AttemptKind::Continued;
    const CallPermit permit =
            co_await this->brittle.acquire(std::move(service), run, slots, isContinuation);
    if (!permit.isGranted)
        this->publishPause(server, run);
    co_return permit;
}

BrittleServers &ServerLimiter::brittleServers()
{
    return this->brittle;
}

std::optional<Milliseconds> ServerLimiter::pauseLeft(const BackendServerName &run) const
{
    return std::max(this->limits.pauseLeft(run, this->clock.now()), this->brittle.pauseLeft(run));
}

bool ServerLimiter::hasLimits() const
{
    return !this->limits.statements().isEmpty() || !this->coldRuns.empty()
            || this->brittle.hasBrittleServices();
}

CallPermitReply ServerLimiter::answer(const CallPermitRequest &request)
{
    this->recordMessage(request.limit);
    const BackendServerName run(request.limit.run);
    const CallPermit permit = this->limits.grant(run, request.isUrgent, this->clock.now());
    CallPermitReply reply;
    reply.sequence = request.sequence;
    reply.isGranted = permit.isGranted;
    reply.pauseMilliseconds = static_cast<std::uint64_t>(permit.pause.count());
    reply.limit = request.limit;
    if (const CallLimitStatement *statement = this->limits.statements().find(run))
        reply.limit = this->toMessage(*statement);
    return reply;
}

CallPermitReply ServerLimiter::answer(const ColdPermitRequest &request)
{
    CallPermitReply reply;
    reply.sequence = request.sequence;
    const bool isValidRate = std::isfinite(request.callsPerSecond) && request.callsPerSecond >= 0.0;
    if (request.run.empty() || !isValidRate) {
        logEvent(LogEvent::PeerMessageInvalid, "detail",
                 "malformed request for a permit at a cold server");
        reply.pauseMilliseconds =
                static_cast<std::uint64_t>(SharedCallLimits::wrongGranterPause.count());
        return reply;
    }
    const Milliseconds now = this->clock.now();
    const BackendServerName run(request.run);
    // The sender may have read a newer entry of the server than this host.
    if (!this->limits.timedLimit(run, now)) {
        const auto remaining =
                std::min<std::uint64_t>(request.remainingMilliseconds, maximumColdMilliseconds);
        this->limits.setTimedLimit(run, request.callsPerSecond,
                                   now + Milliseconds(static_cast<std::int64_t>(remaining)), now);
    }
    const CallPermit permit = this->limits.grant(run, request.isUrgent, now);
    reply.isGranted = permit.isGranted;
    reply.pauseMilliseconds = static_cast<std::uint64_t>(permit.pause.count());
    return reply;
}

std::vector<CallLimitMessage> ServerLimiter::messages() const
{
    std::vector<CallLimitMessage> result;
    for (const CallLimitStatement &statement : this->limits.statements().recent(this->clock.now()))
        result.push_back(this->toMessage(statement));
    return result;
}

void ServerLimiter::recordMessages(std::span<const CallLimitMessage> messages)
{
    for (const CallLimitMessage &message : messages)
        this->recordMessage(message);
}

void ServerLimiter::advance()
{
    const Milliseconds now = this->clock.now();
    this->updateHosts(now);
    this->brittle.advance();
    this->endPauses();
    if (now - this->loggedAt < reportInterval)
        return;
    this->limits.removeExpired(now);
    this->logCalls();
    this->loggedAt = now;
}

void ServerLimiter::updateHosts(Milliseconds now)
{
    auto current = this->entry.members();
    if (current == this->members)
        return;
    this->members = std::move(current);
    std::map<HostName, bool> states;
    for (const MemberRecord &record : *this->members) {
        if (record.state == MemberState::Leaving)
            continue;
        const bool isLive = record.state <= MemberState::Suspect;
        bool &isAnyRunLive = states[record.host];
        isAnyRunLive = isAnyRunLive || isLive;
    }
    std::vector<PermitHost> hosts;
    for (const auto &[name, isLive] : states)
        hosts.push_back({name, isLive});
    this->limits.setHosts(hosts, now);
}

/** Returns the peer address of a host; empty if no run of it is alive. */
std::string ServerLimiter::granterAddress(const HostName &granter) const
{
    const auto known = this->entry.members();
    for (const MemberRecord &record : *known) {
        if (record.host == granter && record.state <= MemberState::Suspect)
            return record.peerAddress;
    }
    return {};
}

net::awaitable<CallPermit> ServerLimiter::askGranter(HostName granter, BackendServerName run,
                                                     AttemptKind kind, Milliseconds timeLeft)
{
    CallPermitRequest request;
    request.isUrgent = kind == AttemptKind::Continued;
    if (const CallLimitStatement *statement = this->limits.statements().find(run))
        request.limit = this->toMessage(*statement);
    Error reason;
    std::optional<CallPermitReply> reply;
    const std::string address = this->granterAddress(granter);
    if (this->hooks.ask && !address.empty()) {
        const Milliseconds timeout = std::clamp(timeLeft, Milliseconds(1), permitTimeout);
        reply = co_await this->hooks.ask(address, request, timeout, reason);
    }
    CallPermit permit;
    if (!reply) {
        logEvent(LogEvent::PermitUnavailable, "backend_server", run.toString(), "granter",
                 granter.toString(), "detail", reason.detail);
        this->limits.recordSilence(granter, this->clock.now());
        permit.pause = SharedCallLimits::silentGranterPause;
        co_return permit;
    }
    this->recordMessage(reply->limit);
    permit.isGranted = reply->isGranted;
    permit.pause = toPause(reply->pauseMilliseconds);
    co_return permit;
}

/**
 * Asks for a permit to send a call to a cold server. If the granter does not answer, this host
 * keeps to its own share of what the server bears.
 */
net::awaitable<CallPermit> ServerLimiter::askColdGranter(HostName granter, BackendServerName run,
                                                         AttemptKind kind, Milliseconds timeLeft)
{
    const Milliseconds now = this->clock.now();
    const auto limit = this->limits.timedLimit(run, now);
    ColdPermitRequest request;
    request.run = run.toString();
    request.isUrgent = kind == AttemptKind::Continued;
    if (limit) {
        request.callsPerSecond = limit->first;
        request.remainingMilliseconds = static_cast<std::uint64_t>((limit->second - now).count());
    }
    Error reason;
    std::optional<CallPermitReply> reply;
    const std::string address = this->granterAddress(granter);
    if (this->hooks.askCold && !address.empty()) {
        const Milliseconds timeout = std::clamp(timeLeft, Milliseconds(1), permitTimeout);
        reply = co_await this->hooks.askCold(address, request, timeout, reason);
    }
    if (!reply) {
        logEvent(LogEvent::PermitUnavailable, "backend_server", run.toString(), "granter",
                 granter.toString(), "detail", reason.detail);
        co_return this->limits.grantOwnShare(run, this->clock.now());
    }
    co_return CallPermit{reply->isGranted, toPause(reply->pauseMilliseconds)};
}

CallLimitMessage ServerLimiter::toMessage(const CallLimitStatement &statement) const
{
    const Milliseconds age = std::max(Milliseconds(0), this->clock.now() - statement.statedAt);
    return {statement.run.toString(), statement.callsPerSecond.has_value(),
            statement.callsPerSecond.value_or(0.0), static_cast<std::uint64_t>(age.count()),
            statement.id};
}

void ServerLimiter::recordMessage(const CallLimitMessage &message)
{
    if (!isValid(message)) {
        logEvent(LogEvent::PeerMessageInvalid, "detail", "malformed call limit of " + message.run);
        return;
    }
    const Milliseconds now = this->clock.now();
    const auto longestAge = static_cast<std::uint64_t>(CallLimitStatements::retention.count());
    const Milliseconds age(
            static_cast<std::int64_t>(std::min(message.ageMilliseconds, longestAge)));
    CallLimitStatement statement{BackendServerName(message.run), {}, now - age, message.id, now};
    if (message.isLimited)
        statement.callsPerSecond = message.callsPerSecond;
    if (this->limits.recordPeerStatement(statement, now))
        this->logLimit(statement.run, "peer");
}

/** Tells the dispatcher whether a server gets no calls for a time because of its limit. */
void ServerLimiter::publishPause(const BackendServerName &server, const BackendServerName &run)
{
    const auto pause = this->pauseLeft(run);
    const bool isPaused = pause && *pause >= minimumPublishedPause;
    const bool wasPaused = this->pausedServers.contains(server);
    if (isPaused)
        this->pausedServers.insert_or_assign(server, run);
    else
        this->pausedServers.erase(server);
    if (isPaused == wasPaused)
        return;
    this->dispatch.post([server, isPaused](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setPaused(server, isPaused);
    });
}

void ServerLimiter::endPauses()
{
    const auto paused = this->pausedServers;
    for (const auto &[server, run] : paused)
        this->publishPause(server, run);
}

void ServerLimiter::logLimit(const BackendServerName &run, std::string_view source) const
{
    logEvent(LogEvent::ServerLimitStated, "backend_server", run.toString(), "limit",
             describeLimit(this->limit(run)), "granter", this->limits.granter(run).toString(),
             "from", source);
}

void ServerLimiter::logCalls()
{
    const auto countOf = [](const CallCounts &counts, AttemptKind kind) {
        return std::to_string(counts[static_cast<std::size_t>(kind)]);
    };
    for (const auto &[run, counts] : this->calls) {
        logEvent(LogEvent::LimitedServerCalls, "backend_server", run.toString(), "period_ms",
                 std::to_string(reportInterval.count()), "first",
                 countOf(counts, AttemptKind::First), "repeated",
                 countOf(counts, AttemptKind::Repeated), "continued",
                 countOf(counts, AttemptKind::Continued));
    }
    this->calls.clear();
}

} // namespace sassafrasyard
