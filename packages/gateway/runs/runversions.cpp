#include "gateway/runs/runversions.h"

#include "gateway/runs/runversionexchange.h"
#include "policy/placement/stablehash.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** The source of all runs in the table of this host's own runs. */
constexpr std::uint64_t ownSource = 0;

bool isValid(const RunVersionMessage &run)
{
    return !run.service.empty() && run.service.size() <= maximumRunServiceBytes
            && !run.version.empty() && run.version.size() <= maximumRunVersionBytes;
}

RunVersionAnswer toAnswer(const RunLookup &lookup)
{
    switch (lookup.result) {
    case RunLookup::Result::Known:
        return {RunVersionResult::Known, lookup.version.toString()};
    case RunLookup::Result::Ambiguous:
        return {RunVersionResult::Ambiguous, ""};
    case RunLookup::Result::Unknown:
        break;
    }
    return {};
}

std::optional<SoftwareVersion> knownVersion(const RunLookup &lookup)
{
    if (lookup.result != RunLookup::Result::Known)
        return std::nullopt;
    return lookup.version;
}

} // namespace

RunVersions::RunVersions(Clock clock, RunVersionsOptions options)
    : clock(std::move(clock))
    , ownRuns(this->clock, options)
    , peerRuns(this->clock, options)
{
}

void RunVersions::setHooks(RunVersionsHooks newHooks)
{
    this->hooks = std::move(newHooks);
}

void RunVersions::raiseLifetime(Milliseconds lifetime)
{
    this->ownRuns.raiseLifetime(lifetime);
    this->peerRuns.raiseLifetime(lifetime);
}

void RunVersions::record(const RunKey &run, std::string_view service,
                         const SoftwareVersion &version)
{
    this->ownRuns.record(run, service, version, ownSource);
    if (this->hooks.tell)
        this->hooks.tell(run, std::string(service), version);
}

net::awaitable<std::optional<SoftwareVersion>> RunVersions::find(RunKey run, std::string service,
                                                                 Milliseconds endAt)
{
    const Milliseconds calledAt = this->clock.now();
    const RunLookup known = co_await this->search(run, service);
    if (known.result != RunLookup::Result::Unknown)
        co_return knownVersion(known);
    // Several versions don't become one in the time that a call can wait.
    const bool hasSoleVersion = this->hooks.soleVersion && this->hooks.soleVersion(service);
    if (!hasSoleVersion || !this->hooks.awaitServers)
        co_return std::nullopt;
    const bool isListNewer = co_await this->hooks.awaitServers(calledAt, endAt);
    // An update may have arrived meanwhile.
    const RunLookup recorded = this->lookUp(run, service);
    if (recorded.result != RunLookup::Result::Unknown)
        co_return knownVersion(recorded);
    if (!isListNewer)
        co_return std::nullopt;
    co_return this->hooks.soleVersion(service);
}

net::awaitable<std::optional<SoftwareVersion>> RunVersions::findStated(RunKey run,
                                                                       std::string service)
{
    const RunLookup known = co_await this->search(run, std::move(service));
    co_return knownVersion(known);
}

std::optional<RunVersionUpdateReply> RunVersions::recordUpdate(const RunVersionUpdate &update)
{
    if (update.runs.size() > maximumRunsPerMessage
        || !std::all_of(update.runs.begin(), update.runs.end(), isValid))
        return std::nullopt;
    const std::uint64_t source = stableHash(update.sender);
    for (const RunVersionMessage &run : update.runs)
        this->peerRuns.record({run.keyHigh, run.keyLow}, run.service, SoftwareVersion(run.version),
                              source);
    return RunVersionUpdateReply{update.sequence};
}

RunVersionReply RunVersions::answer(const RunVersionRequest &request)
{
    RunVersionReply reply;
    reply.sequence = request.sequence;
    const std::size_t count = std::min(request.runs.size(), maximumRunsPerMessage);
    for (std::size_t index = 0; index < count; ++index) {
        const RunKeyMessage &run = request.runs[index];
        reply.answers.push_back(toAnswer(this->lookUp({run.keyHigh, run.keyLow}, run.service)));
    }
    return reply;
}

std::optional<SoftwareVersion> RunVersions::findRecorded(const RunKey &run,
                                                         std::string_view service)
{
    return knownVersion(this->lookUp(run, service));
}

std::vector<RunStatement> RunVersions::statements()
{
    std::vector<RunStatement> all = this->ownRuns.statements();
    for (RunStatement &statement : this->peerRuns.statements())
        all.push_back(std::move(statement));
    return all;
}

std::size_t RunVersions::size() const
{
    return this->ownRuns.size() + this->peerRuns.size();
}

std::size_t RunVersions::versionCount() const
{
    return this->ownRuns.versionCount() + this->peerRuns.versionCount();
}

/** Returns what this host or, if it knows nothing of a run, its peers recorded. */
net::awaitable<RunLookup> RunVersions::search(RunKey run, std::string service)
{
    const RunLookup recorded = this->lookUp(run, service);
    if (recorded.result != RunLookup::Result::Unknown || !this->hooks.ask)
        co_return recorded;
    const RunLookup asked = co_await this->hooks.ask(run, service);
    // An update may have arrived meanwhile.
    co_return combineLookups(this->lookUp(run, service), asked);
}

/** Returns what this host recorded and was told of a run. */
RunLookup RunVersions::lookUp(const RunKey &run, std::string_view service)
{
    return combineLookups(this->ownRuns.find(run, service), this->peerRuns.find(run, service));
}

} // namespace sassafrasyard
