#include "gateway/limits/serverlimiter.h"

#include "policy/placement/stablehash.h"

#include <string>
#include <utility>

namespace sassafrasyard {

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

ServerLimiter::ServerLimiter(EntryState &entry, Clock clock)
    : entry(entry)
    , clock(std::move(clock))
    , statements(stableHash(entry.incarnation.toString()))
{
}

void ServerLimiter::recordResponse(const BackendServerName &run,
                                   std::optional<double> callsPerSecond, Milliseconds sentAt)
{
    if (this->statements.recordResponse(run, callsPerSecond, sentAt, this->clock.now()))
        this->logLimit(run, "response");
}

void ServerLimiter::recordCall(const BackendServerName &run, AttemptKind kind)
{
    if (!this->statements.limit(run))
        return;
    ++this->calls[run][static_cast<std::size_t>(kind)];
    this->entry.metrics.count("sassafrasyard_limited_server_calls_total",
                              {{"attempt", std::string(toString(kind))}});
}

std::optional<double> ServerLimiter::limit(const BackendServerName &run) const
{
    return this->statements.limit(run);
}

void ServerLimiter::advance()
{
    const Milliseconds now = this->clock.now();
    if (now - this->loggedAt < reportInterval)
        return;
    this->statements.removeExpired(now);
    this->logCalls();
    this->loggedAt = now;
}

void ServerLimiter::logLimit(const BackendServerName &run, std::string_view source) const
{
    const auto limit = this->statements.limit(run);
    logEvent(LogEvent::ServerLimitStated, "backend_server", run.toString(), "limit",
             limit ? std::to_string(*limit) : std::string("none"), "from", source);
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
