#include "gateway/relay/callplacement.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <string>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Servers that were chosen and left or paused before the call was sent; more is no coincidence. */
constexpr int maximumPlacements = 3;
/** Callers that wait for the same server come back within this part of the pause after its end. */
constexpr std::int64_t jitterDivisor = 4;

/** Returns the time until a server of the service takes work, if all asked for a pause. */
std::optional<Milliseconds> remainingServicePause(const GatewayDependencies &dependencies,
                                                  const RoutedCall &call)
{
    if (!dependencies.reachability.hasPauses())
        return std::nullopt;
    std::optional<Milliseconds> shortest;
    for (const BackendServerName &server : dependencies.servers.usableServers(call.service->name)) {
        const auto left = dependencies.reachability.pauseLeft(server);
        if (!left)
            return std::nullopt;
        shortest = std::min(*left, shortest.value_or(*left));
    }
    return shortest;
}

/** Lengthens a pause by a part that differs between calls. */
Milliseconds addJitter(Milliseconds pause, const RoutedCall &call)
{
    const std::uint64_t range = static_cast<std::uint64_t>(pause.count() / jitterDivisor) + 1;
    const std::uint64_t extra = stableHash(call.metadata.requestId) % range;
    return pause + Milliseconds(static_cast<std::int64_t>(extra));
}

Error overloadedError(std::string detail)
{
    return {ErrorCode::Overloaded, RunState::NotRun, std::move(detail), refusedRetryAfter};
}

} // namespace

net::awaitable<std::optional<Grant>> placeCall(GatewayDependencies &dependencies,
                                               const RoutedCall &call, WorkRequest work,
                                               Error &refusal)
{
    const std::string name = work.name.toString();
    for (int placement = 0; placement < maximumPlacements; ++placement) {
        if (const auto pause = remainingServicePause(dependencies, call)) {
            refusal = overloadedError("all backend servers of the service asked for a pause");
            refusal.retryAfter = addJitter(*pause, call);
            co_return std::nullopt;
        }
        if (placement > 0)
            work.name = RequestName(name + "/again-" + std::to_string(placement));
        auto grant = co_await dependencies.dispatch.acquire(work, refusal);
        if (!grant)
            co_return std::nullopt;
        const bool isPastDeadline = call.timeLeft(dependencies.clock.now()) <= Milliseconds(0);
        const BackendServerName &server = grant->server.name;
        if (!isPastDeadline && !call.isCallerGone && dependencies.servers.isUsable(server)
            && !dependencies.reachability.pauseLeft(server)) {
            co_return grant;
        }
        dependencies.dispatch.reportFinished(grant->assignment.request, WorkOutcome::Cancelled);
        refusal = overloadedError(isPastDeadline ? "no backend server was free in time"
                                                 : "the backend server began to leave");
        if (isPastDeadline || call.isCallerGone)
            co_return std::nullopt;
        work.avoided.push_back(server);
    }
    co_return std::nullopt;
}

} // namespace sassafrasyard
