#include "gateway/relay/serverreachability.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** A crashed server usually restarts within seconds, so the first pauses are short. */
constexpr Milliseconds initialPause{500};
constexpr Milliseconds maximumPause{4000};
/** The failure count at which doubling reaches the maximum pause. */
constexpr std::uint32_t maximumFailureCount = 4;

} // namespace

ServerReachability::ServerReachability(DispatchService &dispatch, Clock clock)
    : dispatch(dispatch)
    , clock(std::move(clock))
{
}

void ServerReachability::recordFailure(const BackendServerName &server)
{
    const auto [known, isFirst] = this->failures.try_emplace(server);
    Failure &failure = known->second;
    if (isFirst)
        failure.since = this->clock.now();
    failure.count = std::min(failure.count + 1, maximumFailureCount);
    const Milliseconds pause = std::min(initialPause * (1U << (failure.count - 1)), maximumPause);
    failure.until = this->clock.now() + pause;
    if (failure.isAvoided)
        return;
    failure.isAvoided = true;
    logEvent(LogEvent::BackendServerLost, "backend_server", server.toString(), "pause_ms",
             std::to_string(pause.count()));
    this->publish(server);
}

void ServerReachability::recordSuccess(const BackendServerName &server)
{
    const auto known = this->failures.find(server);
    if (known == this->failures.end())
        return;
    const bool wasAvoided = known->second.isAvoided;
    this->failures.erase(known);
    if (wasAvoided)
        this->publish(server);
}

void ServerReachability::endAvoidance(const BackendServerName &server, Milliseconds since)
{
    const auto known = this->failures.find(server);
    if (known != this->failures.end() && known->second.since >= since)
        this->recordSuccess(server);
}

void ServerReachability::recordPause(const BackendServerName &server, Milliseconds time)
{
    const Milliseconds until = this->clock.now() + time;
    Milliseconds &known = this->pauses[server];
    if (until <= known)
        return;
    known = until;
    logEvent(LogEvent::BackendServerPaused, "backend_server", server.toString(), "pause_ms",
             std::to_string(time.count()));
    this->publish(server);
}

std::optional<Milliseconds> ServerReachability::pauseLeft(const BackendServerName &server) const
{
    const auto known = this->pauses.find(server);
    const Milliseconds now = this->clock.now();
    if (known == this->pauses.end() || now >= known->second)
        return std::nullopt;
    return known->second - now;
}

bool ServerReachability::hasPauses() const
{
    return !this->pauses.empty();
}

void ServerReachability::forget(const BackendServerName &server)
{
    this->failures.erase(server);
    this->pauses.erase(server);
    this->publish(server);
}

void ServerReachability::advance()
{
    const Milliseconds now = this->clock.now();
    for (auto &[server, failure] : this->failures) {
        if (!failure.isAvoided || now < failure.until)
            continue;
        failure.isAvoided = false;
        this->publish(server);
    }
    for (auto pause = this->pauses.begin(); pause != this->pauses.end();) {
        const BackendServerName server = pause->first;
        const bool isOver = now >= pause->second;
        pause = isOver ? this->pauses.erase(pause) : std::next(pause);
        if (isOver)
            this->publish(server);
    }
    std::erase_if(this->failures, [&](const auto &entry) {
        return !entry.second.isAvoided && now >= entry.second.until + maximumPause;
    });
}

/** Reports to the dispatcher whether a server may get work. */
void ServerReachability::publish(const BackendServerName &server)
{
    const auto failure = this->failures.find(server);
    const bool isAvoided = failure != this->failures.end() && failure->second.isAvoided;
    const bool isReachable = !isAvoided && !this->pauseLeft(server);
    this->dispatch.post([server, isReachable](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setReachable(server, isReachable);
    });
}

} // namespace sassafrasyard
