#include "policy/quarantine/crashquarantine.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace sassafrasyard {

namespace {

/** Losses of one server within this time are one incident. */
constexpr Milliseconds incidentWindow{5000};
/** A death counts for this long: two of them within 10 min refuse for 10 min after the second. */
constexpr Milliseconds recordLifetime = 2 * CrashQuarantine::duration;
/** Records are kept this much longer, so that a late copy from a peer can't renew them. */
constexpr Milliseconds graceTime{60'000};
constexpr std::size_t deathsPerDigest = 8;

std::uint64_t hashText(std::string_view text)
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
    const std::uint64_t serverDigest = hashText(server.toString());
    Incident &incident = this->incidents[serverDigest];
    if (incident.name == 0 || now - incident.at >= incidentWindow) {
        incident.name = mix(mix(this->options.seed ^ serverDigest) + ++this->incidentCount) | 1U;
        incident.at = now;
    }
    this->add(requestDigest, incident.name, {serverDigest, incident.at}, now);
}

void CrashQuarantine::merge(std::span<const QuarantineRecord> records, Milliseconds now)
{
    for (const QuarantineRecord &record : records) {
        if (record.requestDigest == 0 || record.incident == 0
            || record.remaining <= Milliseconds(0)) {
            continue;
        }
        const Milliseconds remaining = std::min(record.remaining, recordLifetime);
        this->add(record.requestDigest, record.incident,
                  {record.serverDigest, now + remaining - recordLifetime}, now);
    }
}

std::optional<Milliseconds> CrashQuarantine::refusedFor(std::uint64_t requestDigest,
                                                        Milliseconds now) const
{
    const auto known = this->digests.find(requestDigest);
    if (known == this->digests.end())
        return std::nullopt;
    const std::vector<Milliseconds> deaths = this->separateDeaths(known->second, now);
    for (std::size_t index = deaths.size(); index >= deathLimit; --index) {
        const Milliseconds last = deaths[index - 1];
        if (last - deaths[index - deathLimit] <= duration && now < last + duration)
            return last + duration - now;
    }
    return std::nullopt;
}

bool CrashQuarantine::isSuspect(std::uint64_t requestDigest, Milliseconds now) const
{
    const auto known = this->digests.find(requestDigest);
    return known != this->digests.end() && !this->separateDeaths(known->second, now).empty();
}

std::vector<QuarantineRecord> CrashQuarantine::records(Milliseconds now) const
{
    std::vector<QuarantineRecord> result;
    for (const auto &[digest, deaths] : this->digests) {
        const auto count = static_cast<std::uint32_t>(this->separateDeaths(deaths, now).size());
        for (const auto &[incident, death] : deaths) {
            const Milliseconds remaining = death.at + recordLifetime - now;
            if (remaining > Milliseconds(0))
                result.push_back({digest, count, remaining, incident, death.serverDigest});
        }
    }
    const auto rank = [](const QuarantineRecord &record) {
        return std::tuple(record.deaths < deathLimit, -record.remaining, record.requestDigest,
                          record.incident);
    };
    std::sort(result.begin(), result.end(),
              [&](const QuarantineRecord &left, const QuarantineRecord &right) {
                  return rank(left) < rank(right);
              });
    if (result.size() > this->options.reportLimit)
        result.resize(this->options.reportLimit);
    return result;
}

void CrashQuarantine::advance(Milliseconds now)
{
    for (auto &[digest, deaths] : this->digests) {
        std::erase_if(deaths, [&](const auto &item) {
            return now >= item.second.at + recordLifetime + graceTime;
        });
    }
    std::erase_if(this->digests, [](const auto &item) { return item.second.empty(); });
    std::erase_if(this->incidents,
                  [&](const auto &item) { return now - item.second.at >= incidentWindow; });
}

std::size_t CrashQuarantine::size() const
{
    return this->digests.size();
}

std::vector<Milliseconds> CrashQuarantine::separateDeaths(const Deaths &deaths,
                                                          Milliseconds now) const
{
    std::vector<Death> counted;
    for (const auto &[incident, death] : deaths) {
        if (now < death.at + recordLifetime)
            counted.push_back(death);
    }
    std::sort(counted.begin(), counted.end(), [](const Death &left, const Death &right) {
        return std::tie(left.serverDigest, left.at) < std::tie(right.serverDigest, right.at);
    });
    std::vector<Milliseconds> separate;
    const Death *first = nullptr;
    for (const Death &death : counted) {
        // Several hosts may name the same death; they see it at almost the same time.
        if (first != nullptr && first->serverDigest == death.serverDigest
            && death.at - first->at < incidentWindow) {
            continue;
        }
        first = &death;
        separate.push_back(death.at);
    }
    std::sort(separate.begin(), separate.end());
    return separate;
}

void CrashQuarantine::add(std::uint64_t requestDigest, std::uint64_t incident, const Death &death,
                          Milliseconds now)
{
    const bool wasRefused = this->refusedFor(requestDigest, now).has_value();
    Deaths &deaths = this->digests[requestDigest];
    const auto [known, isNew] = deaths.emplace(incident, death);
    // Transit makes a copy look younger than the original, so the earliest time is the true one.
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
        const std::size_t count = this->separateDeaths(deaths, now).size();
        this->refusalHook(requestDigest, static_cast<std::uint32_t>(count));
    }
    if (this->digests.size() > this->options.digestLimit)
        this->evict();
}

void CrashQuarantine::evict()
{
    const auto latest = [](const Deaths &deaths) {
        Milliseconds at = Milliseconds::min();
        for (const auto &[incident, death] : deaths)
            at = std::max(at, death.at);
        return at;
    };
    // Requests with a single death go first: forgetting one costs at most one more death.
    const auto rank = [&](const auto &item) {
        return std::tuple(item.second.size() >= deathLimit, latest(item.second), item.first);
    };
    this->digests.erase(std::min_element(
            this->digests.begin(), this->digests.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

} // namespace sassafrasyard
