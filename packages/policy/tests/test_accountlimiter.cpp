#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <memory>

using namespace sassafrasyard;

namespace {

const ClientAccountName account{"north"};

AccountLimits makeLimits(std::uint32_t running, double rate)
{
    AccountLimits limits;
    limits.account = account;
    limits.maximumRunning = running;
    limits.requestsPerSecond = rate;
    return limits;
}

/** The limiters of several hosts that report to each other. */
struct Fleet
{
    Fleet(std::size_t hosts, const AccountLimits &limits)
        : running(hosts, 0)
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            this->limiters.push_back(std::make_unique<AccountLimiter>());
            this->limiters.back()->setLiveHostCount(hosts);
            this->limiters.back()->setLimits(std::span(&limits, 1));
        }
    }

    void report(std::size_t from, Milliseconds now)
    {
        PeerLoadDigest digest;
        digest.host = HostName(std::to_string(from));
        digest.sequence = static_cast<std::uint64_t>(now.count());
        digest.hasAccounts = true;
        digest.accounts = this->limiters[from]->ownUse(now);
        for (std::size_t to = 0; to < this->limiters.size(); ++to) {
            if (to != from)
                this->limiters[to]->recordPeerUse(digest, now);
        }
    }

    std::vector<std::unique_ptr<AccountLimiter>> limiters;
    std::vector<std::uint32_t> running;
};

} // namespace

// Guards against more overshoot of running requests than docs/admission.md states.
TEST_CASE("Running requests stay within twice the limit for any order of reports", "[policy]")
{
    rc::prop("random demand, reports lost or late", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 9);
        const std::uint32_t limit = *rc::gen::inRange(8U, 100U);
        Fleet fleet(hosts, makeLimits(limit, 0.0));
        for (int step = 0; step < 300; ++step) {
            const Milliseconds now(1000 + step * 250);
            const auto busy = *rc::gen::inRange<std::size_t>(0, hosts);
            const bool ends = *rc::gen::inRange(0, 3) == 0;
            for (int index = 0; index < 40; ++index) {
                if (ends && fleet.running[busy] > 0) {
                    fleet.limiters[busy]->release(account);
                    --fleet.running[busy];
                } else if (!ends && !fleet.limiters[busy]->tryAdmit(account, false, now)) {
                    ++fleet.running[busy];
                }
            }
            if (*rc::gen::arbitrary<bool>())
                fleet.report(*rc::gen::inRange<std::size_t>(0, hosts), now);
            std::uint32_t total = 0;
            for (const std::uint32_t running : fleet.running)
                total += running;
            RC_ASSERT(total <= 2 * limit);
        }
    });
}

// Guards against limiting an account to one host's share while the other hosts are idle.
TEST_CASE("A busy host borrows what idle peers report as unused", "[policy]")
{
    Fleet fleet(4, makeLimits(100, 0.0));
    for (int step = 0; step < 120; ++step) {
        const Milliseconds now(1000 + step * 500);
        while (!fleet.limiters[0]->tryAdmit(account, false, now))
            ++fleet.running[0];
        for (std::size_t host = 0; host < 4; ++host)
            fleet.report(host, now);
        REQUIRE(fleet.running[0] <= 100);
        if (step == 0)
            REQUIRE(fleet.running[0] == 25);
    }
    REQUIRE(fleet.running[0] >= 90);
}

// Guards against borrowing from peers that don't report.
TEST_CASE("Without reports a host stays within its share", "[policy]")
{
    AccountLimiter limiter;
    const AccountLimits limits = makeLimits(40, 0.0);
    limiter.setLimits(std::span(&limits, 1));
    limiter.setLiveHostCount(4);
    int admitted = 0;
    for (int step = 0; step < 1000; ++step)
        admitted += limiter.tryAdmit(account, false, Milliseconds(step * 100)) ? 0 : 1;
    REQUIRE(admitted == 10);
}

// Guards against a token bucket that admits more than the rate and one burst.
TEST_CASE("The rate limit admits the rate plus one burst and returns a valid retry delay",
          "[policy]")
{
    rc::prop("over any time", [] {
        AccountLimiter limiter;
        const double rate = *rc::gen::inRange(1, 50);
        const AccountLimits limits = makeLimits(0, rate);
        limiter.setLimits(std::span(&limits, 1));
        Milliseconds now(1);
        int admitted = 0;
        for (int step = 0; step < 300; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 40));
            const auto after = limiter.tryAdmit(account, false, now);
            admitted += after ? 0 : 1;
            RC_ASSERT(admitted <= rate * static_cast<double>(now.count()) / 1000.0 + rate + 1.0);
            if (!after)
                continue;
            RC_ASSERT(*after > Milliseconds(0));
            now += *after;
            RC_ASSERT(!limiter.tryAdmit(account, false, now));
            ++admitted;
        }
    });
}

// Guards against more overshoot of the rate than docs/admission.md states.
TEST_CASE("Starts stay within twice the rate and one burst for any order of reports", "[policy]")
{
    rc::prop("over any 10 s", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 9);
        const double rate = *rc::gen::inRange(8, 100);
        Fleet fleet(hosts, makeLimits(0, rate));
        std::vector<int> starts;
        std::size_t busy = 0;
        for (int step = 0; step < 240; ++step) {
            const Milliseconds now(1000 + step * 250);
            if (*rc::gen::inRange(0, 10) == 0)
                busy = *rc::gen::inRange<std::size_t>(0, hosts + 1);
            starts.push_back(0);
            for (std::size_t host = 0; host < hosts; ++host) {
                while ((busy == host || busy == hosts)
                       && !fleet.limiters[host]->tryAdmit(account, false, now)) {
                    fleet.limiters[host]->release(account);
                    ++starts.back();
                }
            }
            if (*rc::gen::arbitrary<bool>())
                fleet.report(*rc::gen::inRange<std::size_t>(0, hosts), now);
            const std::size_t first = starts.size() > 40 ? starts.size() - 40 : 0;
            int total = 0;
            for (std::size_t index = first; index < starts.size(); ++index)
                total += starts[index];
            RC_ASSERT(total <= 2.0 * rate * 10.0 + 2.0 * rate + static_cast<double>(hosts));
        }
    });
}

// Guards against borrowing at each configuration change, of which there are 12,000 a day.
TEST_CASE("Setting the same limits again does not borrow more", "[policy]")
{
    const AccountLimits limits = makeLimits(100, 0.0);
    Fleet fleet(4, limits);
    const Milliseconds now(1000);
    for (std::size_t host = 1; host < 4; ++host)
        fleet.report(host, now);
    for (int change = 0; change < 20; ++change) {
        fleet.limiters[0]->setLimits(std::span(&limits, 1));
        while (!fleet.limiters[0]->tryAdmit(account, false, now))
            ++fleet.running[0];
    }
    REQUIRE(fleet.running[0] == 25);
}
