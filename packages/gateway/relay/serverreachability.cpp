#include "gateway/relay/serverreachability.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** A crashed server is back after some seconds, so the first pauses are short. */
constexpr Milliseconds firstPause{500};
constexpr Milliseconds longestPause{4000};
/** Doubling stops here, at the longest pause. */
constexpr std::uint32_t largestCount = 4;

} // namespace

ServerReachability::ServerReachability(DispatchService &dispatch, Clock clock)
    : dispatch(dispatch)
    , clock(std::move(clock))
{
}

void ServerReachability::recordFailure(const BackendServerName &server)
{
    Failure &failure = this->failures[server];
    failure.count = std::min(failure.count + 1, largestCount);
    const Milliseconds pause = std::min(firstPause * (1U << (failure.count - 1)), longestPause);
    failure.until = this->clock.now() + pause;
    if (failure.isAvoided)
        return;
    failure.isAvoided = true;
    logEvent(LogEvent::BackendServerLost, "backend_server", server.toString(), "pause_ms",
             std::to_string(pause.count()));
    this->setReachable(server, false);
}

void ServerReachability::recordSuccess(const BackendServerName &server)
{
    const auto known = this->failures.find(server);
    if (known == this->failures.end())
        return;
    if (known->second.isAvoided)
        this->setReachable(server, true);
    this->failures.erase(known);
}

void ServerReachability::advance()
{
    const Milliseconds now = this->clock.now();
    for (auto &[server, failure] : this->failures) {
        if (!failure.isAvoided || now < failure.until)
            continue;
        failure.isAvoided = false;
        this->setReachable(server, true);
    }
    std::erase_if(this->failures, [&](const auto &entry) {
        return !entry.second.isAvoided && now >= entry.second.until + longestPause;
    });
}

void ServerReachability::setReachable(const BackendServerName &server, bool isReachable)
{
    this->dispatch.post([server, isReachable](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setReachable(server, isReachable);
    });
}

} // namespace sassafrasyard
