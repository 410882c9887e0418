#pragma once

#include "policy/limits/grantinghosts.h"
#include "policy/limits/sharedcalllimits.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sassafrasyard {

/** Asks for a place at a server process, or reports the places that a host holds there. */
struct PlaceRequest
{
    /** The process of the entry host that sends the request. */
    HostIncarnation host;
    /** Increases with each request of the host. */
    std::uint64_t sequence = 0;
    /** The server process. */
    BackendServerName run;
    /** Whether a place is asked for; otherwise the request is a report. */
    bool isAsk = false;
    /** How many calls the server processes at the same time. */
    std::uint32_t slots = 0;
    /** The calls of the host that were sent to the server and have not ended. */
    std::uint32_t outstanding = 0;
    /** The lowest sequence of an ask whose result the host did not know when it sent this. */
    std::uint64_t firstPending = 0;
    /** How many rejections a second the server bears. */
    double rejectionLimit = 0.0;
    /** The calls of the host that the server rejected since the host's last request. */
    std::uint32_t rejections = 0;
};

/**
 * Keeps the calls of all entry hosts at a brittle server within its slots, so that it need not
 * reject any.
 *
 * One host, the granter, gives out the places at a server process; see GrantingHosts. Each host
 * states in all its requests how many calls it has there, so the granter corrects what it missed.
 * A granter that sees only some of the hosts gives out the corresponding share. Uses no clock or
 * other input: the same calls give the same decisions.
 */
class SharedConcurrency
{
public:
    /** How often hosts report the places that they hold. */
    static constexpr Milliseconds reportInterval{1000};
    /** How long the places of a host count that sends no further request. */
    static constexpr Milliseconds reportRetention{5000};
    /** How long after a change of hosts a new granter gives no places; hosts report meanwhile. */
    static constexpr Milliseconds takeoverTime{2000};
    /** How long no places are given after too many rejections. */
    static constexpr Milliseconds rejectionPause{1000};
    /** How long it takes until a place counts again that was taken back after a rejection. */
    static constexpr Milliseconds restoreTime{2000};
    /** How many denied asks wait for the same place; more of them wait for later ones. */
    static constexpr std::uint32_t asksPerPlace = 4;
    /** The pause after a denied ask. */
    static constexpr Milliseconds minimumPause{20};
    static constexpr Milliseconds maximumPause{1000};

    /** Creates an object whose only host is this one. */
    SharedConcurrency(HostName self, HostIncarnation incarnation);

    /** Replaces the hosts. Hosts that leave as planned are left out. */
    void setHosts(std::span<const PermitHost> newHosts, Milliseconds now);
    /** Gives out no places any more once another host is live, because this host stops. */
    void leave();
    /** Returns the host that gives out the places at a server process. */
    HostName granter(const BackendServerName &run) const;

    /** Records that a call of this host is sent to a server process. */
    void recordSent(const BackendServerName &run);
    /** Records that a call of this host has ended. */
    void recordEnded(const BackendServerName &run);
    /**
     * Records that a brittle server process rejected a call of this host for want of room. The next
     * request states it, so it should be a report that is sent at once.
     */
    void recordRejection(const BackendServerName &run);
    /** Returns the server processes at which this host has calls. */
    std::vector<BackendServerName> usedRuns() const;
    /** Creates an ask of this host. Its result must be recorded with recordPermit(). */
    PlaceRequest makeAsk(const BackendServerName &run, std::uint32_t slots, double rejectionLimit);
    /** Creates a report of this host. */
    PlaceRequest makeReport(const BackendServerName &run, double rejectionLimit);
    /** Records the result of an ask; nothing if the granter did not answer. */
    void recordPermit(const PlaceRequest &ask, const std::optional<CallPermit> &permit,
                      Milliseconds now);
    /** Returns how long this host asks for no place at a server process, or nothing. */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &run, Milliseconds now) const;

    /** Decides on an ask or records a report of any host. */
    CallPermit decide(const PlaceRequest &request, Milliseconds now);
    /** Removes what is too old. */
    void removeExpired(Milliseconds now);

private:
    /** What this host has at a server process. */
    struct Use
    {
        std::uint32_t outstanding = 0;
        std::uint32_t rejections = 0;
        std::set<std::uint64_t> pending;
        Milliseconds pausedUntil{0};
    };

    /** What another host has at a server process, as far as the granter knows. */
    struct Holding
    {
        std::uint64_t sequence = 0;
        std::uint32_t outstanding = 0;
        /** The granted asks whose result the host did not know at its last request. */
        std::set<std::uint64_t> granted;
        Milliseconds reportedAt{0};
    };

    /** The places at a server process. */
    struct Places
    {
        std::map<HostIncarnation, Holding> holdings;
        std::deque<Milliseconds> rejections;
        std::uint32_t slots = 0;
        std::uint32_t withdrawn = 0;
        Milliseconds withdrawnAt{0};
        Milliseconds closedUntil{0};
        std::uint32_t denials = 0;
        /** Since when all places are taken and none was returned. */
        std::optional<Milliseconds> fullSince;
        /** The smoothed time until a place is returned while all are taken, in milliseconds. */
        double returnInterval = 50.0;
    };

    PlaceRequest makeRequest(const BackendServerName &run, double rejectionLimit);
    static void recordHolding(Places &places, const PlaceRequest &request, Milliseconds now);
    static void recordRejections(Places &places, const PlaceRequest &request, Milliseconds now);
    static std::uint32_t heldPlaces(const Places &places);
    std::uint32_t permittedPlaces(Places &places, Milliseconds now) const;
    static void recordReturn(Places &places, Milliseconds now);
    static CallPermit deny(Places &places);

    HostIncarnation incarnation;
    GrantingHosts hosts;
    Milliseconds hostsChangedAt{0};
    bool hasPeers = false;
    std::uint64_t sequence = 0;
    std::map<BackendServerName, Use> uses;
    std::map<BackendServerName, Places> places;
};

} // namespace sassafrasyard
