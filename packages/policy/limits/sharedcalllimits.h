#pragma once

#include "policy/limits/callallowance.h"
#include "policy/limits/calllimitstatements.h"
#include "policy/limits/grantinghosts.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Whether a call may be sent to a server with a limit. */
struct CallPermit
{
    /** Whether the call may be sent. */
    bool isGranted = false;
    /** How long the host that asked should send this server no further call, in milliseconds. */
    Milliseconds pause{0};
};

/**
 * Keeps the limits on calls that backend servers state for all entry hosts together.
 *
 * One host, the granter, permits the calls of all hosts to a server process. All hosts choose it by
 * rendezvous hashing among the live ones. Hosts that can't see each other choose different
 * granters, so each granter permits only the share of the limit that corresponds to the share of
 * hosts that it sees, and even less shortly after it became the granter, when others may still ask
 * the previous one. Uses no clock or other input: the same calls give the same decisions.
 */
class SharedCallLimits
{
public:
    /**
     * The lowest rate at which calls are permitted, in calls a second. A server that gets no calls
     * can't state that its limit has ended.
     */
    static constexpr double minimumRate = 0.25;
    /** How long a new granter permits less than the limit; members learn of it within this time. */
    static constexpr Milliseconds takeoverTime{2000};
    /** The share of the limit that a new granter permits. */
    static constexpr double takeoverShare = 0.4;
    /** How long a host does not ask a granter that did not answer. */
    static constexpr Milliseconds silentGranterPause{500};
    /** How long a host does not ask again after it asked a host that is not the granter. */
    static constexpr Milliseconds wrongGranterPause{250};
    /** How many denied asks wait for the same call; more of them wait for later calls. */
    static constexpr std::uint32_t asksPerCall = 4;
    /** The longest additional pause while many hosts ask for calls. */
    static constexpr Milliseconds maximumContentionPause{2000};
    /** The calls that may accumulate for a server while no host asks. */
    static constexpr double reservedCalls = 2.0;

    /**
     * Creates an object without limits; the only host is this one.
     *
     * @param seed of the identifiers of statements; differs per host.
     */
    SharedCallLimits(HostName self, std::uint64_t seed);

    /** Replaces the hosts. Hosts that leave as planned are left out. */
    void setHosts(std::span<const PermitHost> newHosts, Milliseconds now);
    /** Records what a response states; see CallLimitStatements::recordResponse(). */
    bool recordResponse(const BackendServerName &run, std::optional<double> callsPerSecond,
                        Milliseconds sentAt, Milliseconds now);
    /** Records a peer's statement; see CallLimitStatements::recordPeerStatement(). */
    bool recordPeerStatement(const CallLimitStatement &statement, Milliseconds now);
    /**
     * Records a limit that ends by itself, such as that of a server that is cold after its start.
     * It applies beside what the server states, and is replaced by the next one of the same
     * process.
     *
     * @param until when it ends; an instant that has passed ends it now.
     */
    void setTimedLimit(const BackendServerName &run, double callsPerSecond, Milliseconds until,
                       Milliseconds now);
    /** Removes statements and timed limits that are too old. */
    void removeExpired(Milliseconds now);
    /** Returns the statements of all server processes. */
    const CallLimitStatements &statements() const;
    /** Returns the limit of a server process in calls a second, or nothing if there is none. */
    std::optional<double> limit(const BackendServerName &run, Milliseconds now) const;
    /** Returns the timed limit of a server process and when it ends, or nothing. */
    std::optional<std::pair<double, Milliseconds>> timedLimit(const BackendServerName &run,
                                                              Milliseconds now) const;

    /** Returns the host that permits the calls to a server process. */
    HostName granter(const BackendServerName &run) const;
    /**
     * Decides on a call of any host; only the granter permits one to a server with a limit.
     *
     * @param isUrgent whether the call continues a stream, which may overdraw the limit slightly.
     */
    CallPermit grant(const BackendServerName &run, bool isUrgent, Milliseconds now);
    /**
     * Decides on a call of this host to a server with a timed limit whose granter does not answer,
     * such as one of an earlier build: each host permits an equal share of the limit.
     */
    CallPermit grantOwnShare(const BackendServerName &run, Milliseconds now);
    /** Records the granter's decision on a call of this host. */
    void recordPermit(const BackendServerName &run, const CallPermit &permit, Milliseconds now);
    /** Records that a granter did not answer. */
    void recordSilence(const HostName &granter, Milliseconds now);
    /**
     * Returns how long this host sends a server process no calls because of its limit, or nothing
     * if it may ask for a permit now or needs none.
     */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &run, Milliseconds now) const;

private:
    /** The permits that this host grants for a server process. */
    struct Grants
    {
        Milliseconds since{0};
        CallAllowance allowance;
        /** Whether the limit is new on all hosts, so that none had another granter before. */
        bool isNewLimit = false;
        /** Whether no call was asked for yet. */
        bool isUnused = true;
        /** Asks that were denied since the last grant. */
        std::uint32_t denials = 0;
    };

    void updateGrants(Milliseconds now);
    void updateGrant(const BackendServerName &run, Milliseconds now);
    void beginTimedGrant(const BackendServerName &run, Milliseconds now);
    Milliseconds contentionPause(const Grants &granted, double rate) const;

    CallLimitStatements limits;
    GrantingHosts hosts;
    std::map<BackendServerName, Grants> grants;
    /** The timed limits in calls a second, and when they end. */
    std::map<BackendServerName, std::pair<double, Milliseconds>> timedLimits;
    std::map<BackendServerName, CallAllowance> ownShares;
    HostName self;
    /** Since when this host knows others; one that has just started can't tell new limits. */
    std::optional<Milliseconds> othersKnownSince;
    std::map<BackendServerName, Milliseconds> pausedUntil;
    std::map<HostName, Milliseconds> silentUntil;
};

} // namespace sassafrasyard
