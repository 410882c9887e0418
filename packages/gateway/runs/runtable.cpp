#include "gateway/runs/runtable.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

RunLookup combineLookups(const RunLookup &first, const RunLookup &second)
{
    if (first.result == RunLookup::Result::Unknown || first == second)
        return second;
    if (second.result == RunLookup::Result::Unknown)
        return first;
    return {RunLookup::Result::Ambiguous, {}};
}

RunTable::RunTable(Clock clock, RunTableOptions options)
    : clock(std::move(clock))
    , options(options)
{
    assert(this->options.maximumRuns > 0);
}

void RunTable::raiseLifetime(Milliseconds lifetime)
{
    this->options.lifetime = std::max(this->options.lifetime, lifetime);
}

void RunTable::record(const RunKey &run, std::string_view service, const SoftwareVersion &version,
                      std::uint64_t source)
{
    this->removeExpired();
    const std::pair<std::string, SoftwareVersion> stated(service, version);
    bool isAmbiguous = false;
    if (const auto known = this->runs.find(run); known != this->runs.end()) {
        isAmbiguous = known->second.isAmbiguous
                || (known->second.source != source && known->second.version->first != stated);
        this->remove(known);
    }
    if (this->runs.size() >= this->options.maximumRuns)
        this->remove(this->runs.find(this->runsByAge.front()));
    const auto shared = this->versions.try_emplace(stated).first;
    ++shared->second;
    const auto position = this->runsByAge.insert(this->runsByAge.end(), run);
    this->runs.emplace(run, Run{shared, this->clock.now(), position, source, isAmbiguous});
}

RunLookup RunTable::find(const RunKey &run, std::string_view service)
{
    this->removeExpired();
    const auto known = this->runs.find(run);
    if (known == this->runs.end())
        return {};
    const auto &[knownService, version] = known->second.version->first;
    if (known->second.isAmbiguous || knownService != service)
        return {RunLookup::Result::Ambiguous, {}};
    return {RunLookup::Result::Known, version};
}

std::vector<RunStatement> RunTable::statements()
{
    this->removeExpired();
    std::vector<RunStatement> known;
    known.reserve(this->runs.size());
    for (const RunKey &key : this->runsByAge) {
        const Run &run = this->runs.at(key);
        const auto &[service, version] = run.version->first;
        if (!run.isAmbiguous)
            known.push_back({key, service, version});
    }
    return known;
}

std::size_t RunTable::size() const
{
    return this->runs.size();
}

std::size_t RunTable::versionCount() const
{
    return this->versions.size();
}

void RunTable::removeExpired()
{
    const Milliseconds now = this->clock.now();
    while (!this->runsByAge.empty()) {
        const auto oldest = this->runs.find(this->runsByAge.front());
        if (now - oldest->second.recordedAt < this->options.lifetime)
            return;
        this->remove(oldest);
    }
}

void RunTable::remove(std::map<RunKey, Run>::iterator run)
{
    const auto shared = run->second.version;
    if (--shared->second == 0)
        this->versions.erase(shared);
    this->runsByAge.erase(run->second.position);
    this->runs.erase(run);
}

} // namespace sassafrasyard
