#include "gateway/relay/callplacement.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <string>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/**
 * How many servers are tried that leave or pause between their choice and the sending of the call.
 */
constexpr int maximumPlacements = 3;
/** An evacuation lasts for seconds; meanwhile servers may be added elsewhere. */
constexpr Milliseconds evacuatedRetryAfter{1000};
/** Retries are spread over this fraction of the pause after its end. */
constexpr std::int64_t jitterDivisor = 4;

/** Returns the time until a server accepts calls of this host, or nothing if it does now. */
std::optional<Milliseconds> remainingPause(const GatewayDependencies &dependencies,
                                           const BackendServerName &server)
{
    const auto requested = dependencies.reachability.pauseLeft(server);
    const ServerEntry *entry = dependencies.servers.find(server);
    if (entry == nullptr)
        return requested;
    return std::max(requested, dependencies.limiter.pauseLeft(ServerCatalogue::runName(*entry)));
}

/** Returns the time until a server of the service accepts calls, or nothing if one does now. */
std::optional<Milliseconds> remainingServicePause(const GatewayDependencies &dependencies,
                                                  const RoutedCall &call,
                                                  const std::optional<SoftwareVersion> &version)
{
    if (!dependencies.reachability.hasPauses() && !dependencies.limiter.hasLimits())
        return std::nullopt;
    std::optional<Milliseconds> shortest;
    for (const BackendServerName &server :
         dependencies.servers.usableServers(call.service->name, version)) {
        const auto left = remainingPause(dependencies, server);
        if (!left)
            return std::nullopt;
        shortest = std::min(*left, shortest.value_or(*left));
    }
    return shortest;
}

/** Adds a jitter to a pause that depends on the request identifier. */
Milliseconds addJitter(Milliseconds pause, const RoutedCall &call)
{
    const std::uint64_t range = static_cast<std::uint64_t>(pause.count() / jitterDivisor) + 1;
    const std::uint64_t extra = stableHash(call.metadata.requestId) % range;
    return pause + Milliseconds(static_cast<std::int64_t>(extra));
}

/** Returns whether a server that was chosen for a request may still get it. */
bool isSuitable(const GatewayDependencies &dependencies, const WorkRequest &work,
                const BackendServerName &server)
{
    const bool isUsable = work.softwareVersion
            ? dependencies.servers.canContinue(server, *work.softwareVersion)
            : dependencies.servers.isUsable(server);
    return isUsable && !remainingPause(dependencies, server);
}

/** Returns whether a request is bound to a software version of which no server is usable. */
bool isVersionGone(const GatewayDependencies &dependencies, const RoutedCall &call,
                   const WorkRequest &work)
{
    return work.softwareVersion
            && dependencies.servers.usableServers(call.service->name, work.softwareVersion).empty();
}

Error overloadedError(std::string detail)
{
    return {ErrorCode::Overloaded, RunState::NotRun, std::move(detail), refusedRetryAfter};
}

/** Waits for a server; meanwhile the call is listed as waiting, so that it can be refused. */
net::awaitable<std::optional<Grant>> acquireListed(GatewayDependencies &dependencies,
                                                   RoutedCall &call, const WorkRequest &work,
                                                   Error &refusal)
{
    call.waitingAs = work.name;
    auto grant = co_await dependencies.dispatch.acquire(work, refusal);
    call.waitingAs.reset();
    co_return grant;
}

} // namespace

bool isBeyondStop(const GatewayDependencies &dependencies, const RoutedCall &call)
{
    // A response that has begun can no longer be replaced by a refusal.
    return !call.hasResponseStarted && !dependencies.serving.endsBeforeStop(call.deadlineAt);
}

Error stoppingError()
{
    return {ErrorCode::HostDraining, RunState::NotRun,
            "this host is stopping and could not finish the call", stoppingRetryAfter};
}

net::awaitable<std::optional<Grant>> placeCall(GatewayDependencies &dependencies, RoutedCall &call,
                                               WorkRequest work, Error &refusal)
{
    const std::string name = work.name.toString();
    for (int placement = 0; placement < maximumPlacements; ++placement) {
        if (isBeyondStop(dependencies, call)) {
            refusal = stoppingError();
            co_return std::nullopt;
        }
        if (dependencies.servers.isServiceEvacuated(call.service->name)) {
            refusal = {ErrorCode::NoBackendServer, RunState::NotRun,
                       "all backend servers of the service are in evacuated failure domains",
                       addJitter(evacuatedRetryAfter, call)};
            co_return std::nullopt;
        }
        if (isVersionGone(dependencies, call, work)) {
            refusal = {ErrorCode::NoBackendServer,
                       RunState::NotRun,
                       "no backend server of the stream's software version is usable",
                       {}};
            co_return std::nullopt;
        }
        if (const auto pause = remainingServicePause(dependencies, call, work.softwareVersion)) {
            refusal = overloadedError("no backend server of the service takes calls at present");
            refusal.retryAfter = addJitter(*pause, call);
            co_return std::nullopt;
        }
        if (placement > 0)
            work.name = RequestName(name + "/again-" + std::to_string(placement));
        auto grant = co_await acquireListed(dependencies, call, work, refusal);
        if (!grant)
            co_return std::nullopt;
        if (isBeyondStop(dependencies, call)) {
            dependencies.dispatch.reportFinished(grant->assignment.request, WorkOutcome::Cancelled);
            refusal = stoppingError();
            co_return std::nullopt;
        }
        const bool isPastDeadline = call.timeLeft(dependencies.clock.now()) <= Milliseconds(0);
        const BackendServerName &server = grant->server.name;
        if (!isPastDeadline && !call.isCallerGone && isSuitable(dependencies, work, server))
            co_return grant;
        dependencies.dispatch.reportFinished(grant->assignment.request, WorkOutcome::Cancelled);
        refusal = overloadedError(isPastDeadline
                                          ? "no backend server became available before the deadline"
                                          : "the backend server is leaving or paused");
        if (isPastDeadline || call.isCallerGone)
            co_return std::nullopt;
        work.avoided.push_back(server);
    }
    co_return std::nullopt;
}

} // namespace sassafrasyard
