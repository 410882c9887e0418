#include "gateway/servers/servercatalogue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafrasyard {

namespace {

/** Limits the memory used for servers that have left. */
constexpr std::size_t maximumAnnouncedLeavingRuns = 4096;
/** A copy from which the store is restored is some seconds old. */
constexpr Milliseconds departureRetention{60'000};
/**
 * The fraction of the drain time for which a run may return. The store's watches report the leaving
 * up to a quarter of the drain time late, and the request takes time to reach the server.
 */
constexpr double returnShareOfDrain = 0.7;

} // namespace

ServerCatalogue::ServerCatalogue(ServerCatalogueOptions options, Clock clock)
    : options(options)
    , clock(std::move(clock))
{
}

void ServerCatalogue::setDrainTime(Milliseconds drainTime)
{
    this->options.drainTime = drainTime;
}

void ServerCatalogue::setHooks(LeavingHook leaving, ChangeHook change, RestartHook restart)
{
    this->leavingHook = std::move(leaving);
    this->changeHook = std::move(change);
    this->restartHook = std::move(restart);
}

void ServerCatalogue::setReturnHook(ReturnHook hook)
{
    this->returnHook = std::move(hook);
}

void ServerCatalogue::setEvacuatedDomains(std::map<FailureDomainName, Milliseconds> returnLimits)
{
    std::vector<BackendServerName> excluded;
    std::vector<BackendServerName> returned;
    const auto before = std::exchange(this->evacuated, std::move(returnLimits));
    for (auto &[name, known] : this->servers) {
        const bool wasEvacuated = before.contains(known.entry.failureDomain);
        if (wasEvacuated == this->isEvacuated(known))
            continue;
        this->recordLeavingTime(known, wasEvacuated || known.isLeaving());
        if (!known.isLeaving())
            (wasEvacuated ? returned : excluded).push_back(name);
    }
    for (const BackendServerName &name : excluded) {
        if (this->leavingHook)
            this->leavingHook(name);
    }
    for (const BackendServerName &name : returned) {
        if (this->returnHook)
            this->returnHook(name);
    }
    this->notifyChange();
}

void ServerCatalogue::applyList(std::span<const ServerEntry> entries, Milliseconds requestedAt,
                                Milliseconds now)
{
    const bool isAfterOutage = this->lastContactAt
            && requestedAt - *this->lastContactAt >= this->options.entryLapseTime;
    const bool mayHaveLapsed = std::exchange(this->mayListLackEntries, false) || isAfterOutage;
    std::set<BackendServerName> listed;
    for (const ServerEntry &entry : entries) {
        listed.insert(entry.name);
        this->applyEntry(entry);
    }
    std::vector<BackendServerName> missing;
    for (auto &[name, known] : this->servers) {
        if (listed.contains(name) || known.removalDueAt)
            continue;
        if (mayHaveLapsed && !known.entry.isLeaving)
            known.removalDueAt = now + this->options.reregistrationTime;
        else
            missing.push_back(name);
    }
    for (const BackendServerName &name : missing)
        this->removeServer(name);
    this->recordStoreContact(requestedAt);
    this->notifyChange();
}

void ServerCatalogue::applyEntry(const ServerEntry &entry)
{
    const auto known = this->servers.find(entry.name);
    if (known == this->servers.end()) {
        KnownServer &added =
                this->servers.emplace(entry.name, KnownServer{entry, {}, {}, false}).first->second;
        added.hasAnnouncedLeaving = this->announcedLeavingRuns.contains(runName(entry));
        added.entry.isLeaving = entry.isLeaving || added.hasAnnouncedLeaving;
        this->recordColdTime(added, true);
        // If its server is alive after all, the entry outlasts this time.
        if (this->isRevived(entry))
            added.peerReportedUntil = this->copiedUntil;
        this->notifyChange();
        return;
    }
    ServerEntry &before = known->second.entry;
    known->second.removalDueAt.reset();
    if (entry.revision < before.revision)
        return;
    const bool hasRestarted = entry.startedAt != before.startedAt && entry.startedAt != 0;
    if (hasRestarted)
        known->second.hasAnnouncedLeaving = this->announcedLeavingRuns.contains(runName(entry));
    const bool isLeaving = entry.isLeaving || known->second.hasAnnouncedLeaving;
    // The report of a peer refers to the process that the previous entry described.
    const bool wasPeerReported = known->second.peerReportedUntil.has_value() && !hasRestarted;
    const bool wasExcluded = wasPeerReported || this->isEvacuated(known->second);
    const bool startsLeaving = isLeaving && !before.isLeaving && !wasExcluded;
    const bool wasLeaving = this->isExcluded(known->second) && !hasRestarted;
    if (hasRestarted || isLeaving)
        known->second.peerReportedUntil.reset();
    const bool hasChanged = hasRestarted || isLeaving != before.isLeaving
            || entry.address != before.address || entry.service != before.service
            || entry.slots != before.slots || entry.softwareVersion != before.softwareVersion
            || entry.failureDomain != before.failureDomain;
    before = entry;
    before.isLeaving = isLeaving;
    this->recordLeavingTime(known->second, wasLeaving);
    const bool hasColdChanged = this->recordColdTime(known->second, hasRestarted);
    if (hasRestarted && this->restartHook)
        this->restartHook(entry.name);
    if (startsLeaving && this->leavingHook)
        this->leavingHook(entry.name);
    if (hasChanged || hasColdChanged)
        this->notifyChange();
}

void ServerCatalogue::applyRemoval(const BackendServerName &name, std::uint64_t revision)
{
    const auto known = this->servers.find(name);
    if (known == this->servers.end() || known->second.entry.revision > revision)
        return;
    this->removeServer(name);
    this->notifyChange();
}

void ServerCatalogue::recordStoreRestored(Milliseconds now)
{
    this->mayListLackEntries = true;
    // Entries of servers that are gone expire, as do those of servers that are silent.
    this->copiedUntil = now + this->options.reregistrationTime + this->options.entryLapseTime;
    for (auto &[name, known] : this->servers) {
        if (known.entry.isLeaving)
            this->keepLeaving(known);
    }
}

void ServerCatalogue::recordStoreContact(Milliseconds requestedAt)
{
    this->lastContactAt = std::max(requestedAt, this->lastContactAt.value_or(requestedAt));
}

void ServerCatalogue::recordPeerReport(std::span<const BackendServerName> runs, Milliseconds now)
{
    if (runs.empty())
        return;
    const std::set<BackendServerName> reported(runs.begin(), runs.end());
    bool hasChanged = false;
    for (auto &[name, known] : this->servers) {
        if (known.entry.isLeaving || !reported.contains(runName(known.entry)))
            continue;
        const bool isNewReport = !known.peerReportedUntil;
        const bool wasExcluded = this->isExcluded(known);
        known.peerReportedUntil = now + this->options.peerReportLifetime;
        this->recordLeavingTime(known, wasExcluded);
        hasChanged = hasChanged || isNewReport;
        if (!wasExcluded && this->leavingHook)
            this->leavingHook(name);
    }
    if (hasChanged)
        this->notifyChange();
}

void ServerCatalogue::recordLeavingAnnouncement(const BackendServerName &name,
                                                std::int64_t startedAt)
{
    const auto known = this->servers.find(name);
    if (known == this->servers.end() || known->second.entry.startedAt != startedAt
        || known->second.hasAnnouncedLeaving) {
        return;
    }
    this->keepLeaving(known->second);
    const bool wasUsable = this->isUsable(name);
    known->second.entry.isLeaving = true;
    known->second.peerReportedUntil.reset();
    this->recordLeavingTime(known->second, !wasUsable);
    if (wasUsable && this->leavingHook)
        this->leavingHook(name);
    this->notifyChange();
}

void ServerCatalogue::advance(Milliseconds now)
{
    this->removeOldDepartures(now);
    std::vector<BackendServerName> overdue;
    bool hasChanged = false;
    for (auto &[name, known] : this->servers) {
        if (known.peerReportedUntil && now >= *known.peerReportedUntil) {
            known.peerReportedUntil.reset();
            this->recordLeavingTime(known, true);
            hasChanged = true;
            if (this->restartHook)
                this->restartHook(name);
        }
        if (known.removalDueAt && now >= *known.removalDueAt)
            overdue.push_back(name);
    }
    for (const BackendServerName &name : overdue)
        this->removeServer(name);
    if (hasChanged || !overdue.empty())
        this->notifyChange();
}

std::vector<BackendServer> ServerCatalogue::backendServers(
        const ServingConfiguration &configuration) const
{
    std::vector<BackendServer> result;
    for (const auto &[name, known] : this->servers) {
        const Service *service = configuration.findService(known.entry.service);
        if (service == nullptr)
            continue;
        BackendServer server;
        server.name = name;
        server.kind = service->engine ? BackendServerKind::Engine : BackendServerKind::Service;
        server.address = known.entry.address;
        server.failureDomain = known.entry.failureDomain;
        server.models = {ModelName(known.entry.service)};
        server.softwareVersion = known.entry.softwareVersion;
        server.slots = known.entry.slots;
        server.memoryTokens = service->engine ? service->engine->memoryTokens : 0;
        server.isLeaving = this->isExcluded(known);
        result.push_back(std::move(server));
    }
    return result;
}

const std::map<FailureDomainName, Milliseconds> &ServerCatalogue::evacuatedDomains() const
{
    return this->evacuated;
}

const ServerEntry *ServerCatalogue::find(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known == this->servers.end() ? nullptr : &known->second.entry;
}

bool ServerCatalogue::isUsable(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known != this->servers.end() && !this->isExcluded(known->second);
}

std::optional<Milliseconds> ServerCatalogue::coldUntil(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known == this->servers.end() ? std::nullopt : known->second.coldUntil;
}

bool ServerCatalogue::isEvacuated(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known != this->servers.end() && this->isEvacuated(known->second);
}

bool ServerCatalogue::isServiceEvacuated(std::string_view service) const
{
    bool hasEvacuated = false;
    for (const auto &[name, known] : this->servers) {
        if (known.entry.service != service || known.isLeaving())
            continue;
        if (!this->isEvacuated(known))
            return false;
        hasEvacuated = true;
    }
    return hasEvacuated;
}

std::optional<Milliseconds> ServerCatalogue::returnableUntil(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    if (known == this->servers.end() || !known->second.leavingSince)
        return std::nullopt;
    const auto drainTime = static_cast<double>(this->options.drainTime.count());
    const Milliseconds drainLimit = *known->second.leavingSince
            + Milliseconds(static_cast<std::int64_t>(drainTime * returnShareOfDrain));
    const auto evacuation = this->evacuated.find(known->second.entry.failureDomain);
    return evacuation == this->evacuated.end() ? drainLimit
                                               : std::min(drainLimit, evacuation->second);
}

bool ServerCatalogue::canContinue(const BackendServerName &name,
                                  const SoftwareVersion &version) const
{
    const ServerEntry *entry = this->find(name);
    return entry != nullptr && entry->softwareVersion == version && this->isUsable(name);
}

std::vector<BackendServerName> ServerCatalogue::usableServers(
        std::string_view service, const std::optional<SoftwareVersion> &version) const
{
    std::vector<BackendServerName> usable;
    for (const auto &[name, known] : this->servers) {
        const bool isVersionSuitable = !version || known.entry.softwareVersion == *version;
        if (known.entry.service == service && isVersionSuitable && this->isUsable(name))
            usable.push_back(name);
    }
    return usable;
}

std::vector<BackendServerName> ServerCatalogue::leavingRuns() const
{
    std::vector<BackendServerName> runs;
    for (const auto &[name, known] : this->servers) {
        if (known.entry.isLeaving)
            runs.push_back(runName(known.entry));
    }
    return runs;
}

std::vector<ServerEntry> ServerCatalogue::entries() const
{
    std::vector<ServerEntry> all;
    for (const auto &[name, known] : this->servers)
        all.push_back(known.entry);
    return all;
}

BackendServerName ServerCatalogue::runName(const ServerEntry &entry)
{
    return BackendServerName(entry.name.toString() + "/" + std::to_string(entry.startedAt));
}

bool ServerCatalogue::isEvacuated(const KnownServer &known) const
{
    return this->evacuated.contains(known.entry.failureDomain);
}

/** Returns whether a server gets no new work, because it leaves or its domain is evacuated. */
bool ServerCatalogue::isExcluded(const KnownServer &known) const
{
    return known.isLeaving() || this->isEvacuated(known);
}

/** Keeps when a server began to leave. @param wasLeaving whether its process left before. */
void ServerCatalogue::recordLeavingTime(KnownServer &known, bool wasLeaving) const
{
    if (!this->isExcluded(known))
        known.leavingSince.reset();
    else if (!wasLeaving)
        known.leavingSince = this->clock.now();
}

/** Keeps until when a server is cold. @return whether that has changed noticeably. */
bool ServerCatalogue::recordColdTime(KnownServer &known, bool hasRestarted) const
{
    const auto before = known.coldUntil;
    if (known.entry.coldTime > Milliseconds(0)) {
        const Milliseconds until = this->clock.now() + known.entry.coldTime;
        // A copy of the store may hold an older entry of the same process.
        const bool mayBeOld = this->copiedUntil && !hasRestarted && before;
        known.coldUntil = mayBeOld ? std::max(until, *before) : until;
    } else if (!this->copiedUntil || hasRestarted) {
        known.coldUntil.reset();
    }
    if (!known.coldUntil || !before)
        return known.coldUntil != before;
    // Each entry states the time that is left, so the end moves by the delays of the reads.
    constexpr Milliseconds tolerance{250};
    return std::max(*known.coldUntil, *before) - std::min(*known.coldUntil, *before) > tolerance;
}

/** Lets a server process stay leaving, whatever its entry says. */
void ServerCatalogue::keepLeaving(KnownServer &known)
{
    known.hasAnnouncedLeaving = true;
    if (this->announcedLeavingRuns.size() >= maximumAnnouncedLeavingRuns)
        this->announcedLeavingRuns.erase(this->announcedLeavingRuns.begin());
    this->announcedLeavingRuns.insert(runName(known.entry));
}

/** Returns whether an entry may come from a copy of the store that is older than its removal. */
bool ServerCatalogue::isRevived(const ServerEntry &entry) const
{
    return this->copiedUntil && this->departures.contains(runName(entry));
}

void ServerCatalogue::removeOldDepartures(Milliseconds now)
{
    std::erase_if(this->departures, [now](const auto &departure) {
        return now - departure.second >= departureRetention;
    });
    if (this->copiedUntil && now >= *this->copiedUntil)
        this->copiedUntil.reset();
}

void ServerCatalogue::removeServer(const BackendServerName &name)
{
    const bool wasUsable = this->isUsable(name);
    if (const auto known = this->servers.find(name); known != this->servers.end()) {
        this->departures[runName(known->second.entry)] =
                this->lastContactAt.value_or(Milliseconds(0));
    }
    this->servers.erase(name);
    if (wasUsable && this->leavingHook)
        this->leavingHook(name);
}

void ServerCatalogue::notifyChange() const
{
    if (this->changeHook)
        this->changeHook();
}

} // namespace sassafrasyard
