#include "policy/quarantine/crashquarantine.h"

#include "policy/quarantine/requestdigest.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace sassafrasyard {

namespace {

/** Deaths of one server within this time belong to one incident. */
constexpr Milliseconds incidentWindow{5000};
/** How long a death counts: two within 10 min refuse a request for 10 min after the second. */
constexpr Milliseconds recordLifetime = 2 * CrashQuarantine::duration;
/** Expired records are kept for this time, so that a late copy from a peer can't renew them. */
constexpr Milliseconds retentionMargin{60'000};
constexpr std::size_t deathsPerDigest = 8;

std::uint64_t hashName(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    return hash;
}

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint32_t deathLimitOf(std::uint64_t requestDigest)
{
    return isSharedDigest(requestDigest) ? CrashQuarantine::sharedDeathLimit
                                         : CrashQuarantine::deathLimit;
}

/** Returns the time for which a request is refused after its last death. */
Milliseconds refusalTime(std::uint64_t requestDigest, std::size_t deaths)
{
    if (!isSharedDigest(requestDigest))
        return CrashQuarantine::duration;
    const std::size_t doublings = deaths - CrashQuarantine::sharedDeathLimit;
    return std::min(CrashQuarantine::duration, CrashQuarantine::sharedDuration * (1 << doublings));
}

} // namespace

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : options(options)
{
}

void CrashQuarantine::setRefusalHook(RefusalHook hook)
{
    this->refusalHook = std::move(hook);
}

void CrashQuarantine::recordDeath(std::uint64_t requestDigest, const BackendServerName &server,
                                  Milliseconds now)
{
    if (requestDigest == 0)
        return;
    const std::uint64_t serverDigest = hashName(server.toString());
    Incident &incident = this->incidents[serverDigest];
    if (incident.name == 0 || now - incident.at >= incidentWindow) {
        incident.name = this->nextIdentifier(serverDigest);
        incident.at = now;
    }
    this->digests[requestDigest].hasOwnDeath = true;
    this->add(requestDigest, incident.name, {serverDigest, incident.at}, now);
}

void CrashQuarantine::recordCrashFreeRun(std::uint64_t requestDigest, Milliseconds now)
{
    const auto known = this->digests.find(requestDigest);
    if (known == this->digests.end() || !isSharedDigest(requestDigest)
        || this->distinctDeaths(known->second, now).empty()) {
        return;
    }
    this->addCrashFreeRun(requestDigest, {this->nextIdentifier(requestDigest), now});
}

void CrashQuarantine::merge(std::span<const QuarantineRecord> records, Milliseconds now)
{
    const auto timeOf = [now](const QuarantineRecord &record) {
        return now + std::min(record.remaining, recordLifetime) - recordLifetime;
    };
    const auto isCurrent = [](const QuarantineRecord &record) {
        return record.requestDigest != 0 && !isPartDigest(record.requestDigest)
                && record.remaining > Milliseconds(0);
    };
    for (const QuarantineRecord &record : records) {
        if (isCurrent(record) && record.incident != 0)
            this->add(record.requestDigest, record.incident, {record.serverDigest, timeOf(record)},
                      now);
    }
    // Crash-free runs are merged last, because they apply only to deaths that are recorded.
    for (const QuarantineRecord &record : records) {
        if (isCurrent(record) && record.incident == 0 && record.crashFreeRun != 0)
            this->addCrashFreeRun(record.requestDigest, {record.crashFreeRun, timeOf(record)});
    }
}

std::optional<Milliseconds> CrashQuarantine::refusedFor(std::uint64_t requestDigest,
                                                        Milliseconds now) const
{
    const auto known = this->digests.find(requestDigest);
    if (known == this->digests.end())
        return std::nullopt;
    const std::vector<Milliseconds> deaths = this->distinctDeaths(known->second, now);
    const std::size_t limit = deathLimitOf(requestDigest);
    for (std::size_t index = deaths.size(); index >= limit; --index) {
        const Milliseconds last = deaths[index - 1];
        const Milliseconds end = last + refusalTime(requestDigest, index);
        if (last - deaths[index - limit] <= duration && now < end)
            return end - now;
    }
    return std::nullopt;
}

bool CrashQuarantine::isSuspect(std::uint64_t requestDigest, Milliseconds now) const
{
    const auto known = this->digests.find(requestDigest);
    return known != this->digests.end() && !this->distinctDeaths(known->second, now).empty();
}

std::vector<QuarantineRecord> CrashQuarantine::records(Milliseconds now) const
{
    std::vector<QuarantineRecord> refused;
    std::vector<QuarantineRecord> others;
    for (const auto &known : this->digests) {
        const std::uint64_t digest = known.first;
        const History &history = known.second;
        std::vector<QuarantineRecord> &result = this->refusedFor(digest, now) ? refused : others;
        const auto count = static_cast<std::uint32_t>(this->distinctDeaths(history, now).size());
        const auto add = [&](Milliseconds at, QuarantineRecord record) {
            record.requestDigest = digest;
            record.deaths = count;
            record.remaining = at + recordLifetime - now;
            if (record.remaining > Milliseconds(0))
                result.push_back(record);
        };
        for (const auto &[incident, death] : history.deaths)
            add(death.at, {.incident = incident, .serverDigest = death.serverDigest});
        if (history.crashFreeRun)
            add(history.crashFreeRun->at, {.crashFreeRun = history.crashFreeRun->name});
    }
    const auto isBefore = [](const QuarantineRecord &left, const QuarantineRecord &right) {
        return std::tuple(-left.remaining, left.requestDigest, left.incident, left.crashFreeRun)
                < std::tuple(-right.remaining, right.requestDigest, right.incident,
                             right.crashFreeRun);
    };
    std::sort(refused.begin(), refused.end(), isBefore);
    std::sort(others.begin(), others.end(), isBefore);
    refused.insert(refused.end(), others.begin(), others.end());
    if (refused.size() > this->options.reportLimit)
        refused.resize(this->options.reportLimit);
    return refused;
}

void CrashQuarantine::advance(Milliseconds now)
{
    for (auto &[digest, history] : this->digests) {
        std::erase_if(history.deaths, [&](const auto &item) {
            return now >= item.second.at + recordLifetime + retentionMargin;
        });
    }
    std::erase_if(this->digests, [](const auto &item) { return item.second.deaths.empty(); });
    std::erase_if(this->incidents,
                  [&](const auto &item) { return now - item.second.at >= incidentWindow; });
}

std::size_t CrashQuarantine::size() const
{
    return this->digests.size();
}

std::vector<Milliseconds> CrashQuarantine::distinctDeaths(const History &history,
                                                          Milliseconds now) const
{
    std::vector<Death> currentDeaths;
    for (const auto &[incident, death] : history.deaths) {
        const bool isRefuted = history.crashFreeRun && death.at <= history.crashFreeRun->at;
        if (now < death.at + recordLifetime && !isRefuted)
            currentDeaths.push_back(death);
    }
    std::sort(currentDeaths.begin(), currentDeaths.end(),
              [](const Death &left, const Death &right) {
                  return std::tie(left.serverDigest, left.at)
                          < std::tie(right.serverDigest, right.at);
              });
    std::vector<Milliseconds> distinct;
    const Death *firstOfIncident = nullptr;
    for (const Death &death : currentDeaths) {
        // Several hosts may record the same death under different incidents, at almost the same
        // time.
        if (firstOfIncident != nullptr && firstOfIncident->serverDigest == death.serverDigest
            && death.at - firstOfIncident->at < incidentWindow) {
            continue;
        }
        firstOfIncident = &death;
        distinct.push_back(death.at);
    }
    std::sort(distinct.begin(), distinct.end());
    return distinct;
}

void CrashQuarantine::add(std::uint64_t requestDigest, std::uint64_t incident, const Death &death,
                          Milliseconds now)
{
    const bool wasRefused = this->refusedFor(requestDigest, now).has_value();
    History &history = this->digests[requestDigest];
    Deaths &deaths = history.deaths;
    const auto [known, isNew] = deaths.emplace(incident, death);
    // Transmission delay makes a copy look newer than the original, so keep the earliest time.
    if (!isNew)
        known->second.at = std::min(known->second.at, death.at);
    if (deaths.size() > deathsPerDigest) {
        deaths.erase(std::min_element(deaths.begin(), deaths.end(),
                                      [](const auto &left, const auto &right) {
                                          return std::tie(left.second.at, left.first)
                                                  < std::tie(right.second.at, right.first);
                                      }));
    }
    if (this->refusalHook && !wasRefused && this->refusedFor(requestDigest, now)) {
        const auto count = static_cast<std::uint32_t>(this->distinctDeaths(history, now).size());
        this->refusalHook({requestDigest, count, history.hasOwnDeath});
    }
    if (this->digests.size() > this->options.digestLimit)
        this->evict();
}

void CrashQuarantine::addCrashFreeRun(std::uint64_t requestDigest, const Incident &run)
{
    const auto known = this->digests.find(requestDigest);
    if (known == this->digests.end())
        return;
    std::optional<Incident> &latest = known->second.crashFreeRun;
    // A copy looks newer than the original, as with deaths.
    if (latest && latest->name == run.name)
        latest->at = std::min(latest->at, run.at);
    else if (!latest || latest->at < run.at)
        latest = run;
}

/** Returns an identifier that is unique among hosts and process starts. */
std::uint64_t CrashQuarantine::nextIdentifier(std::uint64_t salt)
{
    return mix(mix(this->options.seed ^ salt) + ++this->identifierCount) | 1U;
}

void CrashQuarantine::evict()
{
    const auto latest = [](const Deaths &deaths) {
        Milliseconds at = Milliseconds::min();
        for (const auto &[incident, death] : deaths)
            at = std::max(at, death.at);
        return at;
    };
    // Evict requests below the death limit first: each can then cause at most as many further
    // deaths as were recorded for it.
    const auto rank = [&](const auto &item) {
        const Deaths &deaths = item.second.deaths;
        return std::tuple(deaths.size() >= deathLimitOf(item.first), latest(deaths), item.first);
    };
    this->digests.erase(std::min_element(
            this->digests.begin(), this->digests.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

} // namespace sassafrasyard
