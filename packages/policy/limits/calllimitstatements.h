#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** What a backend server process states about the calls it takes from all entry hosts together. */
struct CallLimitStatement
{
    /** The server process; a restarted server has another name. */
    BackendServerName run;
    /** The limit in calls a second; nothing if the server no longer states one. */
    std::optional<double> callsPerSecond;
    /** When a host received the statement. */
    Milliseconds statedAt{0};
    /** Identifies the statement on all hosts. */
    std::uint64_t id = 0;
    /** When this host first recorded the statement. */
    Milliseconds recordedAt{0};
};

/**
 * The latest statement of each server process about its call limit.
 *
 * A response without a limit ends a known one only if its call was sent after the limit was stated:
 * responses on different connections overtake each other. Uses no clock or other input.
 */
class CallLimitStatements
{
public:
    /** How long an ended limit is kept, so that an older statement of a peer can't restore it. */
    static constexpr Milliseconds endedRetention{60000};
    /** How long a limit is kept that no response has confirmed. */
    static constexpr Milliseconds retention{600000};

    /** How long a host sends a statement to its peers, each of which does the same. */
    static constexpr Milliseconds announcementTime{10000};

    /** Creates an object without statements. @param seed of the identifiers; differs per host. */
    explicit CallLimitStatements(std::uint64_t seed);

    /**
     * Records what a response states.
     *
     * @param callsPerSecond the limit, or nothing if the response states none.
     * @param sentAt when the call was sent.
     * @return whether the limit in force has changed.
     */
    bool recordResponse(const BackendServerName &run, std::optional<double> callsPerSecond,
                        Milliseconds sentAt, Milliseconds now);
    /** Records a peer's statement if it is newer. @return whether the limit in force has changed.
     */
    bool recordPeerStatement(const CallLimitStatement &statement, Milliseconds now);
    /** Returns the limit of a server process in calls a second, or nothing if there is none. */
    std::optional<double> limit(const BackendServerName &run) const;
    /** Returns the latest statement of a server process, or null. */
    const CallLimitStatement *find(const BackendServerName &run) const;
    /** Returns whether there is no statement. */
    bool isEmpty() const;
    /** Returns all statements, including those that ended limits. */
    std::vector<CallLimitStatement> all() const;
    /** Returns the statements that this host recorded within announcementTime. */
    std::vector<CallLimitStatement> recent(Milliseconds now) const;
    /** Removes statements that are too old. */
    void removeExpired(Milliseconds now);

private:
    bool replace(CallLimitStatement statement, Milliseconds now);

    RandomSource random;
    std::map<BackendServerName, CallLimitStatement> statements;
};

} // namespace sassafrasyard
