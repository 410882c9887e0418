#pragma once

#include "core/core.h"
#include "gateway/state/servingconfiguration.h"
#include "policy/policy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** A backend server as it registers itself. */
struct ServerEntry
{
    /** Its name; a server that starts again may keep it. */
    BackendServerName name;
    /** The service it belongs to. */
    std::string service;
    /** Its address, "IP:port". */
    std::string address;
    /** The failure domain it stands in. */
    FailureDomainName failureDomain;
    /** How many requests it runs at a time. */
    std::uint32_t slots = 1;
    /** Whether it is leaving and gets no new work. */
    bool isLeaving = false;
    /** When it started, in milliseconds since the Unix epoch; tells runs of one name apart. */
    std::int64_t startedAt = 0;
    /** The store's revision of the entry. */
    std::uint64_t revision = 0;
};

/** Times of a ServerCatalogue. */
struct ServerCatalogueOptions
{
    /** After an outage, servers that live are registered again within this time. */
    Milliseconds reregistrationTime{2000};
    /** Without contact for so long, entries of living servers may have lapsed in the store. */
    Milliseconds entryLapseTime{3000};
    /**
     * How long a peer's word that a server leaves counts without the store's, in milliseconds; the
     * store tells it within this time.
     */
    Milliseconds peerReportLifetime{2000};
};

/**
 * The registered backend servers.
 *
 * An entry that goes while the store is in contact means that its server left. An entry that is
 * missing from the first list after an outage may only have lapsed, so its server is kept for
 * reregistrationTime. All instants are of a clock that counts suspension.
 */
class ServerCatalogue
{
public:
    /** Called with a server that gets no new work from now on but may still run some. */
    using LeavingHook = std::function<void(const BackendServerName &)>;
    /** Called after the set of usable servers or their properties have changed. */
    using ChangeHook = std::function<void()>;
    /**
     * Called with a server that runs anew under its name and holds nothing of before, and with one
     * whose leaving a peer told and the store did not confirm.
     */
    using RestartHook = std::function<void(const BackendServerName &)>;

    /** Creates an empty catalogue. */
    explicit ServerCatalogue(ServerCatalogueOptions options = {});
    ServerCatalogue(const ServerCatalogue &) = delete;
    ServerCatalogue &operator=(const ServerCatalogue &) = delete;

    /** Sets the hooks; each may be empty. */
    void setHooks(LeavingHook leaving, ChangeHook change, RestartHook restart);

    /** Takes in the whole list as of the instant at which it was asked. */
    void applyList(std::span<const ServerEntry> entries, Milliseconds askedAt, Milliseconds now);
    /** Takes in a new or changed entry. */
    void applyEntry(const ServerEntry &entry);
    /** Takes in that an entry was removed. @param revision the store's revision of the removal. */
    void applyRemoval(const BackendServerName &name, std::uint64_t revision);
    /** Records that the store answered a read that was asked at an instant. */
    void recordStoreContact(Milliseconds askedAt);
    /** Takes in peers' word that servers leave. @param runs as of a peer's leavingRuns(). */
    void recordPeerReport(std::span<const BackendServerName> runs, Milliseconds now);
    /**
     * Takes in a server's own word that it leaves, which only a new run of it takes back.
     *
     * @param startedAt the start of the run that said so; a word of another run changes nothing.
     */
    void recordLeavingAnnouncement(const BackendServerName &name, std::int64_t startedAt);
    /** Lets time pass: drops servers that did not return after an outage, and unconfirmed words. */
    void advance(Milliseconds now);

    /** Returns the servers for the policy, with the properties of their services. */
    std::vector<BackendServer> backendServers(const ServingConfiguration &configuration) const;
    /** Returns a server that is registered or was until recently, or null. */
    const ServerEntry *find(const BackendServerName &name) const;
    /** Returns whether a server is registered and not leaving. */
    bool isUsable(const BackendServerName &name) const;
    /** Returns the servers of a service that are registered and not leaving. */
    std::vector<BackendServerName> usableServers(std::string_view service) const;
    /**
     * Returns the runs of servers that leave by the store's word or their own, for peers.
     *
     * A run's name tells it from a later one of the same server. What peers told is left out, so
     * that a wrong word does not go round.
     */
    std::vector<BackendServerName> leavingRuns() const;
    /** Returns all entries. */
    std::vector<ServerEntry> entries() const;

private:
    struct KnownServer
    {
        ServerEntry entry;
        /** Set while the entry is missing after an outage. */
        std::optional<Milliseconds> removalDueAt;
        /** Until when a peer's word that it leaves counts. */
        std::optional<Milliseconds> peerReportedUntil;
        /** Whether the run said itself that it leaves, whatever its entry says. */
        bool hasAnnouncedLeaving = false;
    };

    static BackendServerName runName(const ServerEntry &entry);
    void removeServer(const BackendServerName &name);
    void notifyChange() const;

    ServerCatalogueOptions options;
    LeavingHook leavingHook;
    ChangeHook changeHook;
    RestartHook restartHook;
    std::map<BackendServerName, KnownServer> servers;
    std::optional<Milliseconds> lastContactAt;
    /** Runs that said that they leave; their entries may go and come back meanwhile. */
    std::set<BackendServerName> announcedLeavingRuns;
};

} // namespace sassafrasyard
