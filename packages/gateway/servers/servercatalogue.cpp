#include "gateway/servers/servercatalogue.h"

#include <algorithm>
#include <set>

namespace sassafrasyard {

namespace {

/** Bounds what is remembered of servers that are long gone. */
constexpr std::size_t maximumAnnouncedRuns = 4096;

} // namespace

ServerCatalogue::ServerCatalogue(ServerCatalogueOptions options)
    : options(options)
{
}

void ServerCatalogue::setHooks(LeavingHook leaving, ChangeHook change, RestartHook restart)
{
    this->leavingHook = std::move(leaving);
    this->changeHook = std::move(change);
    this->restartHook = std::move(restart);
}

void ServerCatalogue::applyList(std::span<const ServerEntry> entries, Milliseconds askedAt,
                                Milliseconds now)
{
    const bool mayHaveLapsed =
            this->contactAt && askedAt - *this->contactAt >= this->options.lapseTime;
    std::set<BackendServerName> listed;
    for (const ServerEntry &entry : entries) {
        listed.insert(entry.name);
        this->applyEntry(entry);
    }
    std::vector<BackendServerName> missing;
    for (auto &[name, known] : this->servers) {
        if (listed.contains(name) || known.droppedAt)
            continue;
        if (mayHaveLapsed && !known.entry.isLeaving)
            known.droppedAt = now + this->options.returnTime;
        else
            missing.push_back(name);
    }
    for (const BackendServerName &name : missing)
        this->leave(name);
    this->recordContact(askedAt);
    this->notifyChange();
}

void ServerCatalogue::applyEntry(const ServerEntry &entry)
{
    const auto known = this->servers.find(entry.name);
    if (known == this->servers.end()) {
        Known &added = this->servers.emplace(entry.name, Known{entry, {}, {}, false}).first->second;
        added.hasAnnounced = this->announcedRuns.contains(runName(entry));
        added.entry.isLeaving = entry.isLeaving || added.hasAnnounced;
        this->notifyChange();
        return;
    }
    ServerEntry &before = known->second.entry;
    known->second.droppedAt.reset();
    if (entry.revision < before.revision)
        return;
    const bool hasRestarted = entry.startedAt != before.startedAt && entry.startedAt != 0;
    if (hasRestarted)
        known->second.hasAnnounced = this->announcedRuns.contains(runName(entry));
    const bool isLeaving = entry.isLeaving || known->second.hasAnnounced;
    // A peer told of the run that the entry was of before.
    const bool wasTold = known->second.toldUntil.has_value() && !hasRestarted;
    const bool startsLeaving = isLeaving && !before.isLeaving && !wasTold;
    if (hasRestarted || isLeaving)
        known->second.toldUntil.reset();
    const bool hasChanged = hasRestarted || isLeaving != before.isLeaving
            || entry.address != before.address || entry.service != before.service
            || entry.slots != before.slots;
    before = entry;
    before.isLeaving = isLeaving;
    if (hasRestarted && this->restartHook)
        this->restartHook(entry.name);
    if (startsLeaving && this->leavingHook)
        this->leavingHook(entry.name);
    if (hasChanged)
        this->notifyChange();
}

void ServerCatalogue::applyRemoval(const BackendServerName &name, std::uint64_t revision)
{
    const auto known = this->servers.find(name);
    if (known == this->servers.end() || known->second.entry.revision > revision)
        return;
    this->leave(name);
    this->notifyChange();
}

void ServerCatalogue::recordContact(Milliseconds askedAt)
{
    this->contactAt = std::max(askedAt, this->contactAt.value_or(askedAt));
}

void ServerCatalogue::recordTold(std::span<const BackendServerName> runs, Milliseconds now)
{
    if (runs.empty())
        return;
    const std::set<BackendServerName> told(runs.begin(), runs.end());
    bool hasChanged = false;
    for (auto &[name, known] : this->servers) {
        if (known.entry.isLeaving || !told.contains(runName(known.entry)))
            continue;
        const bool isNews = !known.toldUntil;
        known.toldUntil = now + this->options.toldTime;
        hasChanged = hasChanged || isNews;
        if (isNews && this->leavingHook)
            this->leavingHook(name);
    }
    if (hasChanged)
        this->notifyChange();
}

void ServerCatalogue::recordAnnounced(const BackendServerName &name, std::int64_t startedAt)
{
    const auto known = this->servers.find(name);
    if (known == this->servers.end() || known->second.entry.startedAt != startedAt
        || known->second.hasAnnounced) {
        return;
    }
    known->second.hasAnnounced = true;
    if (this->announcedRuns.size() >= maximumAnnouncedRuns)
        this->announcedRuns.erase(this->announcedRuns.begin());
    this->announcedRuns.insert(runName(known->second.entry));
    const bool isNews = this->isUsable(name);
    known->second.entry.isLeaving = true;
    known->second.toldUntil.reset();
    if (isNews && this->leavingHook)
        this->leavingHook(name);
    this->notifyChange();
}

void ServerCatalogue::advance(Milliseconds now)
{
    std::vector<BackendServerName> overdue;
    bool hasChanged = false;
    for (auto &[name, known] : this->servers) {
        if (known.toldUntil && now >= *known.toldUntil) {
            known.toldUntil.reset();
            hasChanged = true;
            if (this->restartHook)
                this->restartHook(name);
        }
        if (known.droppedAt && now >= *known.droppedAt)
            overdue.push_back(name);
    }
    for (const BackendServerName &name : overdue)
        this->leave(name);
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
        server.slots = known.entry.slots;
        server.memoryTokens = service->engine ? service->engine->memoryTokens : 0;
        server.isLeaving = known.entry.isLeaving || known.toldUntil.has_value();
        result.push_back(std::move(server));
    }
    return result;
}

const ServerEntry *ServerCatalogue::find(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known == this->servers.end() ? nullptr : &known->second.entry;
}

bool ServerCatalogue::isUsable(const BackendServerName &name) const
{
    const auto known = this->servers.find(name);
    return known != this->servers.end() && !known->second.entry.isLeaving
            && !known->second.toldUntil;
}

std::vector<BackendServerName> ServerCatalogue::usableServers(std::string_view service) const
{
    std::vector<BackendServerName> usable;
    for (const auto &[name, known] : this->servers) {
        if (known.entry.service == service && this->isUsable(name))
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

void ServerCatalogue::leave(const BackendServerName &name)
{
    const bool isNews = this->isUsable(name);
    this->servers.erase(name);
    if (isNews && this->leavingHook)
        this->leavingHook(name);
}

void ServerCatalogue::notifyChange() const
{
    if (this->changeHook)
        this->changeHook();
}

} // namespace sassafrasyard
