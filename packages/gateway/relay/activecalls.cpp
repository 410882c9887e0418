#include "gateway/relay/activecalls.h"

#include "observability/observability.h"

#include <algorithm>
#include <string>

namespace sassafrasyard {

ActiveCalls::Listing::Listing(ActiveCalls &owner, RoutedCall &call)
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

std::vector<RequestName> ActiveCalls::waitingBeyondStop(const ServingState &serving) const
{
    std::vector<RequestName> names;
    for (const RoutedCall *call : this->calls) {
        if (call->waitingAs && !serving.endsBeforeStop(call->deadlineAt))
            names.push_back(*call->waitingAs);
    }
    return names;
}

std::vector<RequestName> ActiveCalls::waitingForService(std::string_view service) const
{
    std::vector<RequestName> names;
    for (const RoutedCall *call : this->calls) {
        if (call->waitingAs && call->service->name == service)
            names.push_back(*call->waitingAs);
    }
    return names;
}

std::vector<RequestName> ActiveCalls::waiting() const
{
    std::vector<RequestName> names;
    for (const RoutedCall *call : this->calls) {
        if (call->waitingAs)
            names.push_back(*call->waitingAs);
    }
    return names;
}

void ActiveCalls::endExchanges(Milliseconds now)
{
    for (RoutedCall *call : this->calls) {
        call->deadlineAt = std::min(call->deadlineAt, now);
        call->isEndedByStop = true;
        call->cancelAll();
    }
}

std::size_t ActiveCalls::size() const
{
    return this->calls.size();
}

} // namespace sassafrasyard
