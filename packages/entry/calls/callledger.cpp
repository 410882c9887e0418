#include "entry/calls/callledger.h"

#include <cassert>

namespace sassafrasyard {

CallLedger::CallLedger(CallLedgerOptions options)
    : options(options)
{
}

LedgerDecision CallLedger::begin(const CallKey &key, std::uint64_t bodyDigest, Milliseconds now)
{
    this->advance(now);
    const auto known = this->entries.find(key);
    if (known == this->entries.end()) {
        if (this->entries.size() >= this->options.maximumEntries
            || this->answerBytes >= this->options.maximumAnswerBytes) {
            return LedgerDecision::Full;
        }
        this->entries.emplace(key, Entry{State::Dispatched, bodyDigest, {}, {}});
        return LedgerDecision::Dispatch;
    }
    const Entry &entry = known->second;
    if (entry.bodyDigest != bodyDigest)
        return LedgerDecision::KeyReused;
    switch (entry.state) {
    case State::Dispatched:
        return LedgerDecision::InProgress;
    case State::Completed:
        return LedgerDecision::ReplayAnswer;
    case State::Unknown:
        return LedgerDecision::OutcomeUnknown;
    }
    return LedgerDecision::OutcomeUnknown;
}

bool CallLedger::contains(const CallKey &key) const
{
    return this->entries.contains(key);
}

const CallAnswer *CallLedger::answer(const CallKey &key) const
{
    const auto known = this->entries.find(key);
    if (known == this->entries.end() || known->second.state != State::Completed)
        return nullptr;
    return &known->second.answer;
}

void CallLedger::complete(const CallKey &key, CallAnswer answer, Milliseconds now)
{
    Entry &entry = this->entries.at(key);
    this->answerBytes += answer.body.size();
    entry.answer = std::move(answer);
    this->finish(entry, key, State::Completed, now);
}

void CallLedger::recordUnknown(const CallKey &key, Milliseconds now)
{
    this->finish(this->entries.at(key), key, State::Unknown, now);
}

void CallLedger::recordNotRun(const CallKey &key)
{
    assert(this->entries.at(key).state == State::Dispatched);
    this->entries.erase(key);
}

void CallLedger::advance(Milliseconds now)
{
    while (!this->endedCalls.empty()
           && now - this->endedCalls.front().first >= this->options.retention) {
        const auto known = this->entries.find(this->endedCalls.front().second);
        if (known != this->entries.end() && known->second.state != State::Dispatched) {
            this->answerBytes -= known->second.answer.body.size();
            this->entries.erase(known);
        }
        this->endedCalls.pop_front();
    }
}

std::size_t CallLedger::size() const
{
    return this->entries.size();
}

std::size_t CallLedger::KeyHash::operator()(const CallKey &key) const noexcept
{
    return std::hash<std::string>()(key.account.toString()) * 31U
            + std::hash<std::string>()(key.key);
}

void CallLedger::finish(Entry &entry, const CallKey &key, State state, Milliseconds now)
{
    assert(entry.state == State::Dispatched);
    entry.state = state;
    entry.endedAt = now;
    this->endedCalls.emplace_back(now, key);
}

} // namespace sassafrasyard
