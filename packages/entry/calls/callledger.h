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

/** How to answer an attempt at a call. */
enum class LedgerDecision {
    /** Dispatch the call now. */
    Dispatch,
    /** Return the stored answer. */
    ReplayAnswer,
    /** An earlier attempt is still running. */
    InProgress,
    /** An earlier attempt may have run; the call must not be dispatched again. */
    OutcomeUnknown,
    /** The key belongs to a call with another body. */
    KeyReused,
    /** The ledger cannot store another call. */
    Full,
};

/** Bounds of a CallLedger. */
struct CallLedgerOptions
{
    /** The maximum number of stored calls. */
    std::size_t maximumEntries = 100000;
    /** The maximum size of all stored answers, in bytes. */
    std::size_t maximumAnswerBytes = 32U << 20U;
    /** How long an ended call is stored, in milliseconds; longer than callBindingLifetime. */
    Milliseconds retention{3600000};
};

/**
 * Stores non-idempotent calls by idempotency key so that each is dispatched at most once.
 *
 * When a limit is reached, new calls are refused; stored calls are never evicted early.
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
     * After Dispatch, the caller must end the call with complete(), recordUnknown() or
     * recordNotRun().
     */
    LedgerDecision begin(const CallKey &key, std::uint64_t bodyDigest, Milliseconds now);
    /** Returns whether a call is stored. */
    bool contains(const CallKey &key) const;
    /** Returns the stored answer of a completed call, or null; valid until the next member call. */
    const CallAnswer *answer(const CallKey &key) const;
    /** Ends a dispatched call and stores its answer. */
    void complete(const CallKey &key, CallAnswer answer, Milliseconds now);
    /** Ends a dispatched call that may or may not have run. */
    void recordUnknown(const CallKey &key, Milliseconds now);
    /** Removes a dispatched call that did not run; a new attempt may be dispatched. */
    void recordNotRun(const CallKey &key);
    /** Removes ended calls whose retention time has passed. */
    void advance(Milliseconds now);
    /** Returns the number of stored calls, running ones included. */
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
