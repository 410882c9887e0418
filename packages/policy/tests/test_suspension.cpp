#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

// Guards against starving long requests while short ones keep arriving.
TEST_CASE("Suspensions stay within their maximum share and duration", "[policy]")
{
    rc::prop("for any demand", [] {
        SuspensionPolicy policy;
        const Milliseconds step{10};
        const int streams = *rc::gen::inRange(1, 12);
        for (int index = 0; index < streams; ++index)
            policy.add(RequestName(std::to_string(index)), 1, Priority::Normal,
                       Milliseconds(index * 37));
        std::map<RequestName, Milliseconds> suspendedSince;
        const auto checkEnded = [&](const RequestName &name, Milliseconds now) {
            const Milliseconds length = now - suspendedSince.at(name);
            suspendedSince.erase(name);
            // A suspension that should end between two steps ends up to one step late.
            RC_ASSERT(length < Milliseconds(2000) + step);
            const Milliseconds placedAt(std::stoi(name.toString()) * 37);
            RC_ASSERT(static_cast<double>(policy.totalSuspended(name).count())
                      < 0.2 * static_cast<double>((now - placedAt).count())
                              + static_cast<double>(step.count()));
        };
        const auto accept = [](const RequestName &) {
            return true;
        };
        for (Milliseconds now{0}; now < Milliseconds(30'000); now += step) {
            for (const RequestName &name : policy.resumeDue(now))
                checkEnded(name, now);
            if (const auto chosen = policy.findSuspendable(1, Priority::High, accept, now)) {
                policy.suspend(*chosen, now);
                suspendedSince[*chosen] = now;
            }
            RC_ASSERT(suspendedSince.size()
                      <= std::max<std::size_t>(1, static_cast<std::size_t>(streams) / 8));
        }
    });
}
