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

/** The entry by which a backend server registers itself in the store. */
struct ServerEntry
{
    /** Its name; a restarted server may keep it. */
    BackendServerName name;
    /** The name of its service. */
    std::string service;
    /** Its address, "IP:port". */
    std::string address;
    /** Its failure domain. */
    FailureDomainName failureDomain;
    /** The version of its software; streams continue only on the version that began them. */
    SoftwareVersion softwareVersion;
    /** How many requests it runs at a time. */
    std::uint32_t slots = 1;
    /** Whether it is leaving and gets no new work. */
    bool isLeaving = false;
    /** How long it stays cold from when the entry was written, in milliseconds; 0 if it is warm. */
    Milliseconds coldTime{0};
    /**
     * The start time of its process, in milliseconds since the Unix epoch; distinguishes processes
     * with the same name.
     */
    std::int64_t startedAt = 0;
    /** The store's revision of the entry. */
    std::uint64_t revision = 0;
};

/** Times of a ServerCatalogue. */
struct ServerCatalogueOptions
{
    /**
     * How long a server whose entry is missing after an outage is kept, in milliseconds; live
     * servers register again within this time.
     */
    Milliseconds reregistrationTime{2000};
    /**
     * The time without contact to the store after which entries of live servers may have expired,
     * in milliseconds.
     */
    Milliseconds entryLapseTime{3000};
    /**
     * How long a peer's report that a server is leaving counts without confirmation by the store,
     * in milliseconds; the store confirms it within this time.
     */
    Milliseconds peerReportLifetime{2000};
    /** How long a leaving server serves after the store has its entry, in milliseconds. */
    Milliseconds drainTime{2000};
};

/**
 * The registered backend servers.
 *
 * If an entry is removed while the store is in contact, its server has left. If an entry is missing
 * from the first list after an outage, it may only have expired, so its server is kept for
 * reregistrationTime. A store that was restored from a copy may lack entries as well, and show
 * servers as they were before they began to leave; what was known of those stays. All instants are
 * of a clock that counts suspension.
 */
class ServerCatalogue
{
public:
    /** Called when a server gets no new work from now on; it may still be running calls. */
    using LeavingHook = std::function<void(const BackendServerName &)>;
    /** Called after the set of usable servers or their properties have changed. */
    using ChangeHook = std::function<void()>;
    /**
     * Called when a server has restarted under the same name and lost its state, and when the store
     * did not confirm a peer's report that the server is leaving.
     */
    using RestartHook = std::function<void(const BackendServerName &)>;
    /** Called when a server may get new work again because its domain is no longer evacuated. */
    using ReturnHook = std::function<void(const BackendServerName &)>;

    /** Creates an empty catalogue. @param clock counts suspension. */
    explicit ServerCatalogue(ServerCatalogueOptions options = {}, Clock clock = Clock::steady());
    ServerCatalogue(const ServerCatalogue &) = delete;
    ServerCatalogue &operator=(const ServerCatalogue &) = delete;

    /** Sets how long a leaving server serves, in milliseconds; applies to all servers at once. */
    void setDrainTime(Milliseconds drainTime);

    /** Sets the hooks; each may be empty. */
    void setHooks(LeavingHook leaving, ChangeHook change, RestartHook restart);
    /** Sets the hook for servers of domains that are no longer evacuated; it may be empty. */
    void setReturnHook(ReturnHook hook);
    /**
     * Replaces the evacuated failure domains, whose servers count as leaving.
     *
     * @param returnLimits the domains; see Evacuations::returnLimits().
     */
    void setEvacuatedDomains(std::map<FailureDomainName, Milliseconds> returnLimits);

    /** Replaces the entries by a complete list as of the instant at which it was requested. */
    void applyList(std::span<const ServerEntry> entries, Milliseconds requestedAt,
                   Milliseconds now);
    /** Adds or updates an entry; an older revision than the known one is ignored. */
    void applyEntry(const ServerEntry &entry);
    /**
     * Removes an entry unless a newer revision is known.
     *
     * @param revision the store's revision of the removal.
     */
    void applyRemoval(const BackendServerName &name, std::uint64_t revision);
    /**
     * Records that the store was restored from a copy. Call it before applyList() with the first
     * list from the restored store.
     */
    void recordStoreRestored(Milliseconds now);
    /** Records that the store answered a read that was requested at an instant. */
    void recordStoreContact(Milliseconds requestedAt);
    /**
     * Records the report of a peer that servers are leaving.
     *
     * @param runs from the peer's leavingRuns().
     */
    void recordPeerReport(std::span<const BackendServerName> runs, Milliseconds now);
    /**
     * Records that a server announced its leaving; only a restart of the server revokes it.
     *
     * @param startedAt the start time of the announcing process; the call is ignored if it differs
     *     from the known one.
     */
    void recordLeavingAnnouncement(const BackendServerName &name, std::int64_t startedAt);
    /**
     * Removes servers that did not register again after an outage and drops unconfirmed reports.
     * Call it periodically.
     */
    void advance(Milliseconds now);

    /**
     * Returns the servers for the policy, with the properties of their services; servers of unknown
     * services are left out.
     */
    std::vector<BackendServer> backendServers(const ServingConfiguration &configuration) const;
    /** Returns the evacuated domains; see setEvacuatedDomains(). */
    const std::map<FailureDomainName, Milliseconds> &evacuatedDomains() const;
    /** Returns the entry of a server, which may be leaving or missing since an outage, or null. */
    const ServerEntry *find(const BackendServerName &name) const;
    /**
     * Returns whether a server is registered, not leaving according to the store, a peer or itself,
     * and not in an evacuated domain.
     */
    bool isUsable(const BackendServerName &name) const;
    /**
     * Returns until when a server is cold, or nothing if it is warm or not registered. It counts
     * from when this host learned of the entry, and is later than the truth by its age.
     */
    std::optional<Milliseconds> coldUntil(const BackendServerName &name) const;
    /** Returns whether a server is registered and in an evacuated domain. */
    bool isEvacuated(const BackendServerName &name) const;
    /**
     * Returns whether a service has no usable server, and would have one if no failure domain were
     * evacuated.
     */
    bool isServiceEvacuated(std::string_view service) const;
    /**
     * Returns until when a run that was stopped on a leaving server may be sent to it again.
     *
     * Nothing if the server is usable, not registered, or was leaving when it was registered. No
     * later than the limit of an evacuation of its domain.
     */
    std::optional<Milliseconds> returnableUntil(const BackendServerName &name) const;
    /**
     * Returns whether a stream that a software version began may continue on a server: it is
     * usable, and of that version according to its current entry.
     */
    bool canContinue(const BackendServerName &name, const SoftwareVersion &version) const;
    /**
     * Returns the servers of a service that are registered and not leaving.
     *
     * @param version the software version of the servers, or nothing for any.
     */
    std::vector<BackendServerName> usableServers(
            std::string_view service, const std::optional<SoftwareVersion> &version = {}) const;
    /**
     * Returns the server processes that are leaving according to the store or themselves, to be
     * sent to peers.
     *
     * Each name includes the start time, so that a restarted server is not affected. Reports of
     * peers are left out, so that a wrong report does not circulate.
     */
    std::vector<BackendServerName> leavingRuns() const;
    /** Returns a name for the server process that an entry describes; a restart changes it. */
    static BackendServerName runName(const ServerEntry &entry);
    /** Returns all entries. */
    std::vector<ServerEntry> entries() const;

private:
    struct KnownServer
    {
        ServerEntry entry;
        /** When the server is removed; set while its entry is missing after an outage. */
        std::optional<Milliseconds> removalDueAt;
        /** The end of the validity of a peer's report that the server is leaving. */
        std::optional<Milliseconds> peerReportedUntil;
        /** Whether the server process announced its leaving; overrides its entry. */
        bool hasAnnouncedLeaving = false;
        /** When the server was first known to leave; nothing if that was before its entry. */
        std::optional<Milliseconds> leavingSince = std::nullopt;
        /** When the server is warm; nothing if it was never cold. */
        std::optional<Milliseconds> coldUntil = std::nullopt;

        /** Returns whether the server itself leaves; its domain may be evacuated besides. */
        bool isLeaving() const { return this->entry.isLeaving || this->peerReportedUntil; }
    };

    bool isEvacuated(const KnownServer &known) const;
    bool isExcluded(const KnownServer &known) const;
    void recordLeavingTime(KnownServer &known, bool wasLeaving) const;
    bool recordColdTime(KnownServer &known, bool hasRestarted) const;
    void keepLeaving(KnownServer &known);
    bool isRevived(const ServerEntry &entry) const;
    void removeServer(const BackendServerName &name);
    void removeOldDepartures(Milliseconds now);
    void notifyChange() const;

    ServerCatalogueOptions options;
    Clock clock;
    LeavingHook leavingHook;
    ChangeHook changeHook;
    RestartHook restartHook;
    ReturnHook returnHook;
    std::map<BackendServerName, KnownServer> servers;
    /** The evacuated domains, with the instants until which stopped runs may return there. */
    std::map<FailureDomainName, Milliseconds> evacuated;
    std::optional<Milliseconds> lastContactAt;
    /** Processes that announced their leaving; kept while their entries are missing and return. */
    std::set<BackendServerName> announcedLeavingRuns;
    /** When server processes were removed, for as long as a copy of the store may contain them. */
    std::map<BackendServerName, Milliseconds> departures;
    /** Until when entries of departed processes may come from a copy; nothing without a restore. */
    std::optional<Milliseconds> copiedUntil;
    bool mayListLackEntries = false;
};

} // namespace sassafrasyard
