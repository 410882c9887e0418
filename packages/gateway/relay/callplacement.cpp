#include "gateway/relay/callplacement.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <string>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** Servers that were chosen and left or paused before the call was sent; more is no coincidence. */
constexpr int maximumChoices = 3;
/** Callers that wait for the same server come back within this part of the pause after its end. */
constexpr std::int64_t spreadDivisor = 4;

/** Returns the time until a server of the service takes work, if all asked for a pause. */
std::optional<Milliseconds> servicePause(const GatewayServices &services, const RoutedCall &call)
{
    if (!services.reachability.hasPauses())
        return std::nullopt;
    std::optional<Milliseconds> shortest;
    for (const BackendServerName &server : services.servers.usableServers(call.service->name)) {
        const auto left = services.reachability.pauseLeft(server);
        if (!left)
            return std::nullopt;
        shortest = std::min(*left, shortest.value_or(*left));
    }
    return shortest;
}

/** Lengthens a pause by a part that differs between calls. */
Milliseconds spread(Milliseconds pause, const RoutedCall &call)
{
    const std::uint64_t range = static_cast<std::uint64_t>(pause.count() / spreadDivisor) + 1;
    const std::uint64_t extra = stableHash(call.metadata.requestId) % range;
    return pause + Milliseconds(static_cast<std::int64_t>(extra));
}

Error refusedBeforeSending(std::string detail)
{
    return {ErrorCode::Overloaded, RunState::NotRun, std::move(detail), refusedRetryAfter};
}

} // namespace

net::awaitable<std::optional<Grant>> placeCall(GatewayServices &services, const RoutedCall &call,
                                               WorkRequest work, Error &refusal)
{
    const std::string name = work.name.toString();
    for (int choice = 0; choice < maximumChoices; ++choice) {
        if (const auto pause = servicePause(services, call)) {
            refusal = refusedBeforeSending("all backend servers of the service asked for a pause");
            refusal.retryAfter = spread(*pause, call);
            co_return std::nullopt;
        }
        if (choice > 0)
            work.name = RequestName(name + "/again-" + std::to_string(choice));
        auto grant = co_await services.dispatch.acquire(work, refusal);
        if (!grant)
            co_return std::nullopt;
        const bool isLate = call.timeLeft(services.clock.now()) <= Milliseconds(0);
        const BackendServerName &server = grant->server.name;
        if (!isLate && !call.isCallerGone && services.servers.isUsable(server)
            && !services.reachability.pauseLeft(server)) {
            co_return grant;
        }
        services.dispatch.reportFinished(grant->assignment.request, WorkOutcome::Cancelled);
        refusal = refusedBeforeSending(isLate ? "no backend server was free in time"
                                              : "the backend server began to leave");
        if (isLate || call.isCallerGone)
            co_return std::nullopt;
        work.avoided.push_back(server);
    }
    co_return std::nullopt;
}

} // namespace sassafrasyard
