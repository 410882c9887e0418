#include "gateway/relay/activecalls.h"

#include "observability/observability.h"

#include <string>

namespace sassafrasyard {

ActiveCalls::Listing::Listing(ActiveCalls &owner, const RoutedCall &call)
    : owner(owner)
    , call(call)
{
    this->owner.calls.insert(&this->call);
}

ActiveCalls::Listing::~Listing()
{
    this->owner.calls.erase(&this->call);
}

void ActiveCalls::logCutCalls(Milliseconds stopStartedAt, Milliseconds now) const
{
    for (const RoutedCall *call : this->calls) {
        logEvent(LogEvent::CallCutAtStop, "request", call->metadata.requestId, "route",
                 call->route->name, "received_after_stop_ms",
                 std::to_string((call->receivedAt - stopStartedAt).count()), "elapsed_ms",
                 std::to_string((now - call->receivedAt).count()), "left_ms",
                 std::to_string(call->timeLeft(now).count()), "sent_attempts",
                 std::to_string(call->sentAttempts));
    }
}

std::size_t ActiveCalls::size() const
{
    return this->calls.size();
}

} // namespace sassafrasyard
