#include "gateway/runs/runversions.h"

#include <cassert>

namespace sassafrasyard {

namespace net = boost::asio;

RunVersions::RunVersions(Clock clock, RunVersionsOptions options)
    : clock(std::move(clock))
    , options(options)
{
    assert(this->options.maximumRuns > 0);
}

void RunVersions::record(const RunKey &run, std::string_view service,
                         const SoftwareVersion &version)
{
    if (const auto known = this->runs.find(run); known != this->runs.end())
        this->remove(known);
    this->removeExpired();
    if (this->runs.size() >= this->options.maximumRuns)
        this->remove(this->runs.find(this->runsByAge.front()));
    const auto shared = this->versions.try_emplace({std::string(service), version}).first;
    ++shared->second;
    const auto position = this->runsByAge.insert(this->runsByAge.end(), run);
    this->runs.emplace(run, Run{shared, this->clock.now(), position});
}

net::awaitable<std::optional<SoftwareVersion>> RunVersions::find(RunKey run, std::string service)
{
    co_return this->findRecorded(run, service);
}

std::optional<SoftwareVersion> RunVersions::findRecorded(const RunKey &run,
                                                         std::string_view service)
{
    this->removeExpired();
    const auto known = this->runs.find(run);
    if (known == this->runs.end() || known->second.version->first.first != service)
        return std::nullopt;
    return known->second.version->first.second;
}

std::size_t RunVersions::size() const
{
    return this->runs.size();
}

std::size_t RunVersions::versionCount() const
{
    return this->versions.size();
}

void RunVersions::removeExpired()
{
    const Milliseconds now = this->clock.now();
    while (!this->runsByAge.empty()) {
        const auto oldest = this->runs.find(this->runsByAge.front());
        if (now - oldest->second.recordedAt < this->options.lifetime)
            return;
        this->remove(oldest);
    }
}

void RunVersions::remove(std::map<RunKey, Run>::iterator run)
{
    const auto shared = run->second.version;
    if (--shared->second == 0)
        this->versions.erase(shared);
    this->runsByAge.erase(run->second.position);
    this->runs.erase(run);
}

} // namespace sassafrasyard
