#pragma once

#include "entry/entry.h"
#include "policy/policy.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace sassafrasyard {

/** Why a call is sent to a backend server. */
enum class AttemptKind {
    /** The first attempt of a call. */
    First,
    /** A further attempt. */
    Repeated,
    /** A stream that continues from a copy of its run. */
    Continued,
};

/** Returns the name of an attempt kind for logs and metrics. */
std::string_view toString(AttemptKind kind);

/**
 * Tracks the backend servers that state how many calls a second they take from all entry hosts
 * together.
 */
class ServerLimiter
{
public:
    /** How often the calls to limited servers are logged, in milliseconds. */
    static constexpr Milliseconds reportInterval{4000};

    /** Creates a limiter that knows no limits. @param clock must count suspension. */
    ServerLimiter(EntryState &entry, Clock clock);
    ServerLimiter(const ServerLimiter &) = delete;
    ServerLimiter &operator=(const ServerLimiter &) = delete;

    /**
     * Records what a response states about its server.
     *
     * @param run the server process.
     * @param callsPerSecond the limit, or nothing if the response states none.
     * @param sentAt when the call was sent.
     */
    void recordResponse(const BackendServerName &run, std::optional<double> callsPerSecond,
                        Milliseconds sentAt);
    /** Counts a call that is sent to a server process, if that has a limit. */
    void recordCall(const BackendServerName &run, AttemptKind kind);
    /** Returns the limit of a server process in calls a second, or nothing if there is none. */
    std::optional<double> limit(const BackendServerName &run) const;
    /** Logs the calls to limited servers and drops old limits. Call it periodically. */
    void advance();

private:
    using CallCounts = std::array<std::uint64_t, 3>;

    void logLimit(const BackendServerName &run, std::string_view source) const;
    void logCalls();

    EntryState &entry;
    Clock clock;
    CallLimitStatements statements;
    std::map<BackendServerName, CallCounts> calls;
    Milliseconds loggedAt{0};
};

} // namespace sassafrasyard
