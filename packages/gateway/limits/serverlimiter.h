#pragma once

#include "entry/entry.h"
#include "gateway/limits/brittleservers.h"
#include "policy/policy.h"

#include <boost/asio/awaitable.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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

/** A server process that is cold, and how many calls it bears from all entry hosts together. */
struct ColdServer
{
    /** The server process. */
    BackendServerName run;
    /** In calls a second. */
    double callsPerSecond = 0.0;
    /** When it is warm. */
    Milliseconds coldUntil{0};
};

/** The functions that connect a ServerLimiter to the other hosts; all of them may be empty. */
struct LimiterHooks
{
    /** Asks the host at a peer address for a permit; nothing if there is no valid reply. */
    std::function<boost::asio::awaitable<std::optional<CallPermitReply>>(
            std::string address, CallPermitRequest request, Milliseconds timeout, Error &reason)>
            ask;
    /** The same for a cold server. */
    std::function<boost::asio::awaitable<std::optional<CallPermitReply>>(
            std::string address, ColdPermitRequest request, Milliseconds timeout, Error &reason)>
            askCold;
    /** Called when a limit has changed that peers should learn of. */
    std::function<void()> announce;
};

/**
 * Keeps the limits of backend servers that state how many calls a second they take from all entry
 * hosts together.
 *
 * Each call to such a server needs a permit from the host that grants them for this server; see
 * SharedCallLimits.
 */
class ServerLimiter
{
public:
    /** How often the calls to limited servers are logged, in milliseconds. */
    static constexpr Milliseconds reportInterval{4000};

    /** Creates a limiter that knows no limits. @param clock must count suspension. */
    ServerLimiter(EntryState &entry, DispatchService &dispatch, Clock clock);
    ServerLimiter(const ServerLimiter &) = delete;
    ServerLimiter &operator=(const ServerLimiter &) = delete;

    /** Sets the hooks. Without them this host keeps limits as if it were the only one. */
    void setHooks(LimiterHooks newHooks);

    /**
     * Records what a response states about its server.
     *
     * @param run the server process.
     * @param callsPerSecond the limit, or nothing if the response states none.
     * @param sentAt when the call was sent.
     */
    void recordResponse(const BackendServerName &run, std::optional<double> callsPerSecond,
                        Milliseconds sentAt);
    /** Replaces the cold servers. Those that are left out are warm. */
    void setColdServers(std::span<const ColdServer> servers);
    /** Counts a call that is sent to a server process, if that has a limit. */
    void recordCall(const BackendServerName &run, AttemptKind kind);
    /** Returns the limit of a server process in calls a second, or nothing if there is none. */
    std::optional<double> limit(const BackendServerName &run) const;

    /**
     * Obtains the permit to send a call.
     *
     * The result is granted at once if the server has no limit. A call that is not granted must not
     * be sent. The server then gets no calls of this host for the pause in the result.
     *
     * @param server the server, and run its process.
     * @param timeLeft until the deadline of the call, in milliseconds.
     */
    boost::asio::awaitable<CallPermit> acquire(BackendServerName server, BackendServerName run,
                                               AttemptKind kind, Milliseconds timeLeft);
    /**
     * Obtains a place for a call to a server that may be brittle; see BrittleServers::acquire().
     * The place is given back with brittleServers().release().
     */
    boost::asio::awaitable<CallPermit> acquirePlace(std::string service, BackendServerName server,
                                                    BackendServerName run, std::uint32_t slots,
                                                    AttemptKind kind);
    /** Returns the object that keeps the calls to brittle servers. */
    BrittleServers &brittleServers();
    /** Returns for how long a server process gets no calls of this host, or nothing. */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &run) const;
    /** Returns whether any server process has a limit or is brittle. */
    bool hasLimits() const;

    /** Answers a peer that asks for a permit. */
    CallPermitReply answer(const CallPermitRequest &request);
    /**
     * Answers a peer that asks for a permit for a cold server. A malformed request is logged and
     * answered without a permit.
     */
    CallPermitReply answer(const ColdPermitRequest &request);
    /** Returns the statements of servers to send to peers, those that are new to this host. */
    std::vector<CallLimitMessage> messages() const;
    /** Records the statements that a peer sent; malformed ones are logged and ignored. */
    void recordMessages(std::span<const CallLimitMessage> messages);

    /** Applies changes of the members, ends pauses, and logs calls. Call it several times a second.
     */
    void advance();

private:
    using CallCounts = std::array<std::uint64_t, 3>;

    void updateHosts(Milliseconds now);
    std::string granterAddress(const HostName &granter) const;
    boost::asio::awaitable<CallPermit> askGranter(HostName granter, BackendServerName run,
                                                  AttemptKind kind, Milliseconds timeLeft);
    boost::asio::awaitable<CallPermit> askColdGranter(HostName granter, BackendServerName run,
                                                      AttemptKind kind, Milliseconds timeLeft);
    CallLimitMessage toMessage(const CallLimitStatement &statement) const;
    void recordMessage(const CallLimitMessage &message);
    void publishPause(const BackendServerName &server, const BackendServerName &run);
    void endPauses();
    void logLimit(const BackendServerName &run, std::string_view source) const;
    void logCalls();

    EntryState &entry;
    DispatchService &dispatch;
    Clock clock;
    LimiterHooks hooks;
    SharedCallLimits limits;
    BrittleServers brittle;
    std::shared_ptr<const std::vector<MemberRecord>> members;
    std::set<BackendServerName> coldRuns;
    /** The paused servers and the processes whose limit pauses them. */
    std::map<BackendServerName, BackendServerName> pausedServers;
    std::map<BackendServerName, CallCounts> calls;
    Milliseconds loggedAt{0};
};

} // namespace sassafrasyard
