#pragma once

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace sassafrasyard {

/** Identifies a non-idempotent call. */
struct CallKey
{
    /** The client account. */
    ClientAccountName account;
    /** The caller's idempotency key. */
    std::string key;

    /** Compares both fields. */
    bool operator==(const CallKey &) const = default;
};

/** The stored answer of a completed call. */
struct CallAnswer
{
    /** The HTTP status. */
    int status = 0;
    /** The body. */
    std::string body;
};

/** What to do with an attempt at a call. */
enum class LedgerDecision {
    Dispatch,
    ReplayAnswer,
    InProgress,
    OutcomeUnknown,
    KeyReused,
    Full,
};

/** Bounds of a CallLedger. */
struct CallLedgerOptions
{
    /** How many calls are remembered. */
    std::size_t maximumEntries = 100000;
    /** How many bytes of answers are kept. */
    std::size_t maximumAnswerBytes = 32U << 20U;
    /** How long an ended call is remembered, in milliseconds; longer than any binding to it. */
    Milliseconds retention{3600000};
};

/**
 * Remembers non-idempotent calls so that each is dispatched at most once.
 *
 * At a bound, new calls are refused; a remembered call is never dropped early to make room.
 */
class CallLedger
{
public:
    /** Creates an empty ledger. */
    explicit CallLedger(CallLedgerOptions options);
    CallLedger(const CallLedger &) = delete;
    CallLedger &operator=(const CallLedger &) = delete;

    /**
     * Records an attempt and decides what to do with it.
     *
     * After Dispatch the caller must end the call by complete(), recordUnknown() or
     * recordNotRun().
     */
    LedgerDecision begin(const CallKey &key, std::uint64_t bodyDigest, Milliseconds now);
    /** Returns whether a call is remembered. */
    bool contains(const CallKey &key) const;
    /** Returns the answer after ReplayAnswer, or null. Valid until the next call. */
    const CallAnswer *answer(const CallKey &key) const;
    /** Records the answer of a dispatched call. */
    void complete(const CallKey &key, CallAnswer answer, Milliseconds now);
    /** Records that a dispatched call may or may not have run. */
    void recordUnknown(const CallKey &key, Milliseconds now);
    /** Records that a dispatched call did not run; a new attempt may be dispatched. */
    void recordNotRun(const CallKey &key);
    /** Forgets ended calls past their retention. */
    void advance(Milliseconds now);
    /** Returns the number of remembered calls. */
    std::size_t size() const;

private:
    enum class State {
        Dispatched,
        Completed,
        Unknown,
    };

    struct Entry
    {
        State state = State::Dispatched;
        std::uint64_t bodyDigest = 0;
        CallAnswer answer;
        Milliseconds endedAt{0};
    };

    struct KeyHash
    {
        std::size_t operator()(const CallKey &key) const noexcept;
    };

    void finish(Entry &entry, const CallKey &key, State state, Milliseconds now);

    CallLedgerOptions options;
    std::unordered_map<CallKey, Entry, KeyHash> entries;
    std::deque<std::pair<Milliseconds, CallKey>> endedCalls;
    std::size_t answerBytes = 0;
};

} // namespace sassafrasyard
