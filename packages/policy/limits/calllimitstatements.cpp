#include "policy/limits/calllimitstatements.h"

#include <utility>

namespace sassafrasyard {

namespace {

bool isExpired(const CallLimitStatement &statement, Milliseconds now)
{
    const Milliseconds retention = statement.callsPerSecond ? CallLimitStatements::retention
                                                            : CallLimitStatements::endedRetention;
    return now - statement.statedAt >= retention;
}

} // namespace

CallLimitStatements::CallLimitStatements(std::uint64_t seed)
    : random(seed)
{
}

bool CallLimitStatements::recordResponse(const BackendServerName &run,
                                         std::optional<double> callsPerSecond, Milliseconds sentAt,
                                         Milliseconds now)
{
    const auto known = this->statements.find(run);
    const bool isLimited = known != this->statements.end() && known->second.callsPerSecond;
    if (!callsPerSecond && (!isLimited || sentAt <= known->second.statedAt))
        return false;
    if (isLimited && known->second.callsPerSecond == callsPerSecond) {
        known->second.statedAt = now;
        return false;
    }
    return this->replace({run, callsPerSecond, now, this->random.next(), now}, now);
}

bool CallLimitStatements::recordPeerStatement(const CallLimitStatement &statement, Milliseconds now)
{
    const auto known = this->statements.find(statement.run);
    const bool isKnown = known != this->statements.end();
    if (isExpired(statement, now))
        return false;
    if (isKnown
        && (known->second.id == statement.id || statement.statedAt <= known->second.statedAt)) {
        return false;
    }
    return this->replace(statement, now);
}

std::optional<double> CallLimitStatements::limit(const BackendServerName &run) const
{
    const CallLimitStatement *known = this->find(run);
    return known == nullptr ? std::nullopt : known->callsPerSecond;
}

const CallLimitStatement *CallLimitStatements::find(const BackendServerName &run) const
{
    const auto known = this->statements.find(run);
    return known == this->statements.end() ? nullptr : &known->second;
}

bool CallLimitStatements::isEmpty() const
{
    return this->statements.empty();
}

std::vector<CallLimitStatement> CallLimitStatements::all() const
{
    std::vector<CallLimitStatement> result;
    for (const auto &[run, statement] : this->statements)
        result.push_back(statement);
    return result;
}

std::vector<CallLimitStatement> CallLimitStatements::recent(Milliseconds now) const
{
    std::vector<CallLimitStatement> result;
    for (const auto &[run, statement] : this->statements) {
        if (now - statement.recordedAt < announcementTime)
            result.push_back(statement);
    }
    return result;
}

void CallLimitStatements::removeExpired(Milliseconds now)
{
    std::erase_if(this->statements,
                  [now](const auto &entry) { return isExpired(entry.second, now); });
}

bool CallLimitStatements::replace(CallLimitStatement statement, Milliseconds now)
{
    statement.recordedAt = now;
    const auto before = this->limit(statement.run);
    const auto after = statement.callsPerSecond;
    const BackendServerName run = statement.run;
    this->statements.insert_or_assign(run, std::move(statement));
    return before != after;
}

} // namespace sassafrasyard
