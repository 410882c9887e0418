#pragma once

#include "core/core.h"
#include "gateway/relay/routedcall.h"
#include "gateway/state/servingstate.h"

#include <cstddef>
#include <set>
#include <vector>

namespace sassafrasyard {

/** The routed calls in progress. All calls must come from the thread of the gateway. */
class ActiveCalls
{
public:
    /** Lists a call during the lifetime of the object. */
    class Listing
    {
    public:
        /** Lists a call; both parameters must outlive the object. */
        Listing(ActiveCalls &owner, RoutedCall &call);
        ~Listing();
        Listing(const Listing &) = delete;
        Listing &operator=(const Listing &) = delete;

    private:
        ActiveCalls &owner;
        RoutedCall &call;
    };

    ActiveCalls() = default;
    ActiveCalls(const ActiveCalls &) = delete;
    ActiveCalls &operator=(const ActiveCalls &) = delete;

    /**
     * Logs each call in progress, because the process exits before it ends.
     *
     * @param stopStartedAt when the planned stop started, on the clock of RoutedCall::receivedAt.
     */
    void logCutCalls(Milliseconds stopStartedAt, Milliseconds now) const;
    /**
     * Returns the names of the waiting calls that a planned stop would cut off.
     *
     * @param serving states when the stop ends the calls.
     */
    std::vector<RequestName> waitingBeyondStop(const ServingState &serving) const;
    /** Returns the names of the waiting calls of a service. */
    std::vector<RequestName> waitingForService(std::string_view service) const;
    /** Returns the names of all waiting calls. */
    std::vector<RequestName> waiting() const;
    /** Ends the exchange of each call with its server, as if the call had reached its deadline. */
    void endExchanges(Milliseconds now);
    /** Returns the number of calls in progress. */
    std::size_t size() const;

private:
    std::set<RoutedCall *> calls;
};

} // namespace sassafrasyard
