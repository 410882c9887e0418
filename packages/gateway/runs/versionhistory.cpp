#include "gateway/runs/versionhistory.h"

#include "gateway/store/storeposition.h"
#include "policy/placement/stablehash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

using Json = nlohmann::json;

namespace {

/** A store outage usually lasts a few seconds; all hosts share the rate limit of the store. */
constexpr Milliseconds readRetryInterval{1000};
/** The longest software version, in bytes. */
constexpr std::size_t maximumVersionBytes = 64;
/** The longest list of versions that is read. */
constexpr std::size_t maximumListedVersions = 256;

void logUnavailable(const std::string &detail)
{
    logEvent(LogEvent::VersionHistoryUnavailable, "detail", detail);
}

} // namespace

VersionsByService presentVersions(std::span<const ServerEntry> entries)
{
    VersionsByService present;
    for (const ServerEntry &entry : entries)
        present[entry.service].insert(entry.softwareVersion);
    return present;
}

VersionHistory::VersionHistory(EntryState &entry, net::io_context &context,
                               ObjectArchiveCalls calls, Clock clock,
                               ServiceVersionsOptions options)
    : entry(entry)
    , context(context)
    , calls(std::move(calls))
    , clock(std::move(clock))
    , versions(options)
{
}

void VersionHistory::start()
{
    this->readAgain();
}

void VersionHistory::readAgain()
{
    this->versions.forgetHistory();
    this->isHistoryRead = false;
    this->needsRead = true;
    if (std::exchange(this->isReading, true))
        return;
    net::co_spawn(
            this->context, [this] { return this->read(); }, net::detached);
}

void VersionHistory::raiseRetention(Milliseconds retention)
{
    this->versions.raiseRetention(retention);
}

void VersionHistory::setPresent(const VersionsByService &present)
{
    this->versions.setPresent(present, this->clock.now());
    this->arePresentKnown = true;
    this->storeChanges();
}

std::optional<SoftwareVersion> VersionHistory::soleVersion(std::string_view service) const
{
    return this->versions.soleVersion(service, this->clock.now());
}

void VersionHistory::advance()
{
    this->versions.advance(this->clock.now());
    this->storeChanges();
}

std::string VersionHistory::encode(const std::set<SoftwareVersion> &versions)
{
    Json value;
    value["versions"] = Json::array();
    for (const SoftwareVersion &version : versions)
        value["versions"].push_back(version.toString());
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::set<SoftwareVersion>> VersionHistory::decode(const RegisteredObject &object,
                                                                Error &reason)
{
    try {
        const Json value = Json::parse(object.value);
        const Json &list = value.at("versions");
        if (!list.is_array() || list.empty() || list.size() > maximumListedVersions)
            throw std::invalid_argument("versions is not a list of versions");
        std::set<SoftwareVersion> versions;
        for (const Json &item : list) {
            const auto text = item.get<std::string>();
            if (text.empty() || text.size() > maximumVersionBytes)
                throw std::invalid_argument("a version is empty or longer than 64 bytes");
            versions.insert(SoftwareVersion(text));
        }
        return versions;
    } catch (const std::exception &fault) {
        reason = {ErrorCode::InvalidRequest, RunState::NotRun, fault.what(), {}};
        return std::nullopt;
    }
}

net::awaitable<void> VersionHistory::read()
{
    net::steady_timer timer(this->context);
    boost::system::error_code code;
    while (this->needsRead && !code) {
        this->needsRead = false;
        Error reason;
        const auto objects = co_await this->calls.readAll(reason);
        // What was read before the store was restored is not the history that is stored now.
        if (this->needsRead)
            continue;
        if (objects) {
            this->applyObjects(*objects);
            continue;
        }
        logUnavailable(reason.detail);
        this->needsRead = true;
        timer.expires_after(readRetryInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
    this->isReading = false;
}

void VersionHistory::applyObjects(const std::vector<RegisteredObject> &objects)
{
    this->stored.clear();
    std::set<std::string> unreadable;
    for (const RegisteredObject &object : objects) {
        Error reason;
        const auto decoded = VersionHistory::decode(object, reason);
        if (decoded) {
            this->stored.emplace(object.name, *decoded);
            continue;
        }
        unreadable.insert(object.name);
        logEvent(LogEvent::ObjectUnreadable, "object", object.name, "revision",
                 storeposition::text(object.revision), "detail", reason.detail);
    }
    this->versions.applyHistory(this->stored, unreadable, this->clock.now());
    this->isHistoryRead = true;
    this->storeChanges();
}

/** Starts to store the changes of the services for which this host is responsible. */
void VersionHistory::storeChanges()
{
    if (this->isWriting || !this->isHistoryRead || !this->arePresentKnown
        || this->changedServices().empty())
        return;
    this->isWriting = true;
    net::co_spawn(
            this->context, [this] { return this->writeChanges(); }, net::detached);
}

net::awaitable<void> VersionHistory::writeChanges()
{
    // Each service is tried once, so that one that can't be stored does not hold up the others;
    // advance() tries again.
    const std::set<std::string> changed = this->changedServices();
    for (const std::string &service : changed) {
        if (this->isHistoryRead)
            co_await this->writeService(service);
    }
    this->isWriting = false;
}

/** Stores the versions of a service. @return whether they are stored. */
net::awaitable<bool> VersionHistory::writeService(std::string service)
{
    const VersionsByService history = this->versions.history(this->clock.now());
    const auto known = history.find(service);
    Error reason;
    bool isWritten = false;
    if (known == history.end()) {
        isWritten = co_await this->calls.remove(service, reason);
    } else {
        std::string value = VersionHistory::encode(known->second);
        isWritten = co_await this->calls.write(service, std::move(value), reason);
    }
    if (!isWritten)
        logUnavailable(reason.detail);
    else if (known == history.end())
        this->stored.erase(service);
    else
        this->stored[service] = known->second;
    co_return isWritten;
}

/** Returns the services whose stored versions this host has to replace. */
std::set<std::string> VersionHistory::changedServices() const
{
    const VersionsByService history = this->versions.history(this->clock.now());
    std::set<std::string> changed;
    for (const auto &[service, recent] : history) {
        const auto known = this->stored.find(service);
        if (known == this->stored.end() || known->second != recent)
            changed.insert(service);
    }
    for (const auto &[service, recent] : this->stored) {
        if (!history.contains(service))
            changed.insert(service);
    }
    std::erase_if(changed, [this](const std::string &service) { return !this->isWriter(service); });
    return changed;
}

bool VersionHistory::isWriter(const std::string &service) const
{
    const std::uint64_t serviceHash = stableHash(service);
    const auto rank = [serviceHash](const HostName &host) {
        return std::pair(combineHashes(serviceHash, stableHash(host.toString())), host);
    };
    const auto own = rank(this->entry.settings.host);
    const auto members = this->entry.members();
    for (const MemberRecord &member : *members) {
        if (member.state == MemberState::Alive && rank(member.host) < own)
            return false;
    }
    return true;
}

} // namespace sassafrasyard
