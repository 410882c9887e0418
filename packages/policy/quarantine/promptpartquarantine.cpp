#include "policy/quarantine/promptpartquarantine.h"

#include "policy/placement/stablehash.h"
#include "policy/quarantine/requestdigest.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasyard {

namespace {

/** Deaths of one server process within this time are the same death. */
constexpr Milliseconds incidentWindow{5000};
/** How long a death counts; longer than it can be the reason of a refusal. */
constexpr Milliseconds recordLifetime = 2 * PromptPartQuarantine::duration;
constexpr std::size_t deathsPerPart = 32;
/** The number of deaths of a part that peers are told of; enough for them to blame it. */
constexpr std::size_t reportedDeathsPerPart = 16;
/** A prompt has a few parts; more than these are not looked at. */
constexpr std::size_t maximumParts = 64;

std::span<const std::uint64_t> firstParts(std::span<const std::uint64_t> parts)
{
    return parts.first(std::min(parts.size(), maximumParts));
}

/** Returns the share of a host, from 0 to 1, which is the same at each call. */
double hostShare(std::uint64_t seed)
{
    constexpr double range = 1.0 / 4294967296.0;
    return static_cast<double>(mixBits(seed) >> 32U) * range;
}

} // namespace

PromptPartQuarantine::PromptPartQuarantine(PromptPartQuarantineOptions options)
    : options(options)
    , goodRuns(options.goodPartLimit)
{
}

void PromptPartQuarantine::setRefusalHook(CrashQuarantine::RefusalHook hook)
{
    this->refusalHook = std::move(hook);
}

void PromptPartQuarantine::recordDeath(std::span<const std::uint64_t> deathParts,
                                       const BackendServerName &run, Milliseconds now)
{
    const Death death{stableHash(run.toString()), now};
    for (const std::uint64_t part : firstParts(deathParts)) {
        this->addDeath(part, death);
        if (const auto known = this->parts.find(part); known != this->parts.end())
            known->second.hasOwnDeath = true;
    }
    this->updateBlames(now);
}

void PromptPartQuarantine::recordGoodRun(std::span<const std::uint64_t> goodParts, Milliseconds now)
{
    bool hasChanged = false;
    for (const std::uint64_t part : firstParts(goodParts)) {
        const bool isNews = this->parts.contains(part);
        const std::uint64_t name =
                combineHashes(this->options.seed ^ part, static_cast<std::uint64_t>(now.count()));
        this->goodRuns.record(
                {part, name | 1U, now, isNews ? now + GoodPrompts::sharingTime : Milliseconds(0)});
        hasChanged = this->removeClearedDeaths(part, now) || hasChanged;
    }
    if (hasChanged)
        this->updateBlames(now);
}

void PromptPartQuarantine::merge(std::span<const QuarantineRecord> records, Milliseconds now)
{
    bool hasChanged = false;
    for (const QuarantineRecord &record : records) {
        if (!isPartDigest(record.requestDigest) || record.remaining <= Milliseconds(0))
            continue;
        const std::uint64_t part = record.requestDigest;
        const Milliseconds at = now + std::min(record.remaining, recordLifetime) - recordLifetime;
        if (record.incident != 0) {
            hasChanged = this->addDeath(part, {record.serverDigest, at}) || hasChanged;
        } else if (record.crashFreeRun != 0) {
            const Milliseconds goodAt = this->goodRuns.record(
                    {part, record.crashFreeRun, at, at + GoodPrompts::sharingTime});
            hasChanged = this->removeClearedDeaths(part, goodAt) || hasChanged;
        }
    }
    if (hasChanged)
        this->updateBlames(now);
}

std::optional<Milliseconds> PromptPartQuarantine::refusedFor(
        std::span<const std::uint64_t> requestParts, Milliseconds now) const
{
    const auto hasPart = [requestParts](std::uint64_t part) {
        return std::find(requestParts.begin(), requestParts.end(), part) != requestParts.end();
    };
    for (const Blame &blame : this->blames) {
        if (now < blame.until && std::all_of(blame.parts.begin(), blame.parts.end(), hasPart))
            return blame.until - now;
    }
    return std::nullopt;
}

bool PromptPartQuarantine::isOnTrial(std::span<const std::uint64_t> requestParts,
                                     Milliseconds now) const
{
    return std::any_of(requestParts.begin(), requestParts.end(), [&](std::uint64_t part) {
        return std::any_of(this->blames.begin(), this->blames.end(), [&](const Blame &blame) {
            return blame.until <= now && blame.parts == std::vector{part};
        });
    });
}

std::vector<QuarantineRecord> PromptPartQuarantine::records(Milliseconds now) const
{
    struct Entry
    {
        bool isBlamed = false;
        /** The number of later deaths of the part. */
        std::size_t laterDeaths = 0;
        QuarantineRecord record;
    };
    std::vector<Entry> entries;
    for (const auto &[digest, part] : this->parts) {
        const bool isPartBlamed = this->isBlamed(digest);
        Deaths latest = part.deaths;
        std::sort(latest.begin(), latest.end(),
                  [](const Death &left, const Death &right) { return left.at > right.at; });
        latest.resize(std::min(latest.size(), reportedDeathsPerPart));
        std::size_t laterDeaths = 0;
        for (const Death &death : latest) {
            QuarantineRecord record;
            record.requestDigest = digest;
            record.deaths = static_cast<std::uint32_t>(part.deaths.size());
            record.remaining = death.at + recordLifetime - now;
            record.incident = mixBits(death.serverDigest) | 1U;
            record.serverDigest = death.serverDigest;
            if (record.remaining > Milliseconds(0))
                entries.push_back({isPartBlamed, laterDeaths++, record});
        }
    }
    for (const GoodRun &run : this->goodRuns.shared(now)) {
        QuarantineRecord record;
        record.requestDigest = run.part;
        record.remaining = run.at + recordLifetime - now;
        record.crashFreeRun = run.name;
        entries.push_back({false, 0, record});
    }
    // Of each blamed part some deaths are sent, so that none of several displaces the others.
    std::sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        const auto rank = [](const Entry &entry) {
            return std::tuple(!entry.isBlamed, entry.isBlamed ? entry.laterDeaths : 0,
                              -entry.record.remaining, entry.record.requestDigest,
                              entry.record.serverDigest);
        };
        return rank(left) < rank(right);
    });
    entries.resize(std::min(entries.size(), this->options.reportLimit));
    std::vector<QuarantineRecord> result;
    for (const Entry &entry : entries)
        result.push_back(entry.record);
    return result;
}

void PromptPartQuarantine::advance(Milliseconds now)
{
    bool hasChanged = false;
    for (auto &[digest, part] : this->parts) {
        const std::size_t expired = std::erase_if(part.deaths, [now](const Death &death) {
            return now >= death.at + recordLifetime;
        });
        hasChanged = hasChanged || expired > 0;
    }
    std::erase_if(this->parts, [](const auto &item) { return item.second.deaths.empty(); });
    if (hasChanged)
        this->updateBlames(now);
}

std::size_t PromptPartQuarantine::size() const
{
    return this->parts.size();
}

bool PromptPartQuarantine::isSameDeath(const Death &left, const Death &right)
{
    const Milliseconds distance = left.at > right.at ? left.at - right.at : right.at - left.at;
    return left.serverDigest == right.serverDigest && distance < incidentWindow;
}

bool PromptPartQuarantine::haveSameDeaths(const Deaths &left, const Deaths &right)
{
    return left.size() == right.size()
            && std::all_of(left.begin(), left.end(), [&right](const Death &death) {
                   return std::any_of(right.begin(), right.end(), [&death](const Death &other) {
                       return isSameDeath(death, other);
                   });
               });
}

void PromptPartQuarantine::removeDeaths(Deaths &deaths, const Deaths &explained)
{
    std::erase_if(deaths, [&explained](const Death &death) {
        return std::any_of(explained.begin(), explained.end(),
                           [&death](const Death &other) { return isSameDeath(death, other); });
    });
}

/** Counts deaths, those within deathSpacing once. */
std::size_t PromptPartQuarantine::countSpaced(const Deaths &deaths)
{
    std::vector<Milliseconds> times;
    for (const Death &death : deaths)
        times.push_back(death.at);
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<Milliseconds> counted;
    for (const Milliseconds at : times) {
        if (counted && at - *counted < deathSpacing)
            continue;
        counted = at;
        ++count;
    }
    return count;
}

bool PromptPartQuarantine::isBlamable(const Candidate &candidate) const
{
    const std::size_t spaced = countSpaced(candidate.deaths);
    if (candidate.wasGood)
        return spaced >= goodPartDeathLimit;
    const bool isCrowded = candidate.allDeaths >= crowdedDeathLimit
            && candidate.deaths.size() >= deathLimit && spaced > 1;
    return spaced >= deathLimit || (isCrowded && !this->goodRuns.isEmpty());
}

/** Returns the candidate that most likely crashes servers; the digest decides between equal ones.
 */
std::vector<PromptPartQuarantine::Candidate>::const_iterator PromptPartQuarantine::likeliest(
        const std::vector<Candidate> &candidates) const
{
    const auto rank = [this](const Candidate &candidate) {
        return std::tuple(this->isBlamable(candidate), !candidate.wasGood, candidate.deaths.size(),
                          candidate.part);
    };
    return std::max_element(candidates.begin(), candidates.end(),
                            [&rank](const Candidate &left, const Candidate &right) {
                                return rank(left) < rank(right);
                            });
}

/** Adds a death unless it is known or a later run was good. @return whether it was added. */
bool PromptPartQuarantine::addDeath(std::uint64_t part, const Death &death)
{
    const auto goodAt = this->goodRuns.lastAt(part);
    if (goodAt && death.at <= *goodAt)
        return false;
    Deaths &deaths = this->parts[part].deaths;
    const auto known = std::find_if(deaths.begin(), deaths.end(), [&death](const Death &other) {
        return isSameDeath(death, other);
    });
    if (known != deaths.end()) {
        // A copy that was sent looks newer than the original.
        known->at = std::min(known->at, death.at);
        return false;
    }
    deaths.push_back(death);
    if (deaths.size() > deathsPerPart) {
        deaths.erase(std::min_element(
                deaths.begin(), deaths.end(),
                [](const Death &left, const Death &right) { return left.at < right.at; }));
    }
    if (this->parts.size() > this->options.partLimit)
        this->evict();
    return true;
}

/** Removes the deaths before a good run. @return whether there were any. */
bool PromptPartQuarantine::removeClearedDeaths(std::uint64_t part, Milliseconds goodAt)
{
    const auto known = this->parts.find(part);
    if (known == this->parts.end())
        return false;
    Deaths &deaths = known->second.deaths;
    const std::size_t cleared =
            std::erase_if(deaths, [goodAt](const Death &death) { return death.at <= goodAt; });
    if (deaths.empty())
        this->parts.erase(known);
    return cleared > 0;
}

/** Returns the parts with enough deaths to be blamed. */
std::vector<PromptPartQuarantine::Candidate> PromptPartQuarantine::candidates(
        Milliseconds now) const
{
    std::vector<Candidate> result;
    for (const auto &[digest, part] : this->parts) {
        if (part.deaths.size() < deathLimit)
            continue;
        const auto goodAt = this->goodRuns.lastAt(digest);
        const bool wasGood = goodAt && now - *goodAt < duration;
        result.push_back({digest, wasGood, part.deaths, part.deaths.size()});
    }
    return result;
}

/** Blames a candidate and those with the same deaths, which no longer count for the others. */
PromptPartQuarantine::Blame PromptPartQuarantine::takeBlame(std::vector<Candidate> &candidates,
                                                            const Candidate &first) const
{
    Blame blame;
    blame.deaths = first.deaths.size();
    blame.until = this->refusalEnd(first);
    for (const Candidate &candidate : candidates) {
        if (candidate.wasGood == first.wasGood && haveSameDeaths(candidate.deaths, first.deaths))
            blame.parts.push_back(candidate.part);
    }
    std::sort(blame.parts.begin(), blame.parts.end());
    for (Candidate &candidate : candidates)
        removeDeaths(candidate.deaths, first.deaths);
    return blame;
}

Milliseconds PromptPartQuarantine::refusalEnd(const Candidate &candidate) const
{
    Milliseconds last = candidate.deaths.front().at;
    for (const Death &death : candidate.deaths)
        last = std::max(last, death.at);
    if (candidate.wasGood) {
        const std::size_t doublings = countSpaced(candidate.deaths) - goodPartDeathLimit;
        return last + std::min(duration, goodPartDuration * (1 << doublings));
    }
    const double share = hostShare(this->options.seed ^ candidate.part);
    const auto added = static_cast<std::int64_t>(static_cast<double>(duration.count()) * share);
    return last + duration + Milliseconds(added);
}

void PromptPartQuarantine::updateBlames(Milliseconds now)
{
    const std::vector<Blame> before = std::exchange(this->blames, {});
    std::vector<Candidate> rest = this->candidates(now);
    while (!rest.empty()) {
        const Candidate first = *this->likeliest(rest);
        if (!this->isBlamable(first))
            break;
        this->blames.push_back(this->takeBlame(rest, first));
    }
    this->notify(before);
}

/** Calls the hook for the parts that were not blamed before. */
void PromptPartQuarantine::notify(const std::vector<Blame> &before) const
{
    if (!this->refusalHook)
        return;
    for (const Blame &blame : this->blames) {
        const bool isKnown = std::any_of(before.begin(), before.end(), [&](const Blame &other) {
            return other.parts == blame.parts;
        });
        if (isKnown)
            continue;
        for (const std::uint64_t part : blame.parts) {
            this->refusalHook({part, static_cast<std::uint32_t>(blame.deaths),
                               this->parts.at(part).hasOwnDeath});
        }
    }
}

bool PromptPartQuarantine::isBlamed(std::uint64_t part) const
{
    return std::any_of(this->blames.begin(), this->blames.end(), [part](const Blame &blame) {
        return std::find(blame.parts.begin(), blame.parts.end(), part) != blame.parts.end();
    });
}

/** Removes the part with the fewest deaths; of several the one with the oldest. */
void PromptPartQuarantine::evict()
{
    const auto rank = [](const auto &item) {
        Milliseconds latest = Milliseconds::min();
        for (const Death &death : item.second.deaths)
            latest = std::max(latest, death.at);
        return std::tuple(item.second.deaths.size(), latest, item.first);
    };
    this->parts.erase(std::min_element(
            this->parts.begin(), this->parts.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

} // namespace sassafrasyard
