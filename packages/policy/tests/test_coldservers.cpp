#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr double coldRate = 20.0;
/** What a cold server bears in one second, from all hosts together. */
constexpr double permittedFactor = 1.5;
constexpr double permittedSlack = 5.0;
constexpr std::size_t permittedCalls =
        static_cast<std::size_t>(coldRate * permittedFactor + permittedSlack);
const BackendServerName coldRun("cold/1");

HostName hostName(std::size_t index)
{
    return HostName("host-" + std::to_string(index));
}

/** Hosts that all want to send as much as possible to a cold server, in virtual time. */
class ColdFleet
{
public:
    explicit ColdFleet(std::size_t hostCount)
    {
        for (std::size_t index = 0; index < hostCount; ++index) {
            this->hosts.push_back(std::make_unique<SharedCallLimits>(hostName(index), index + 1));
            this->groups.push_back(0);
        }
        this->isLive.assign(hostCount, true);
        this->updateViews();
    }

    void updateViews()
    {
        for (std::size_t viewer = 0; viewer < this->hosts.size(); ++viewer) {
            std::vector<PermitHost> view;
            for (std::size_t index = 0; index < this->hosts.size(); ++index) {
                const bool isSeen =
                        this->isLive[index] && this->groups[index] == this->groups[viewer];
                view.push_back({hostName(index), isSeen});
            }
            this->hosts[viewer]->setHosts(view, this->now);
        }
    }

    void setCold(Milliseconds time)
    {
        for (const auto &host : this->hosts)
            host->setTimedLimit(coldRun, coldRate, this->now + time, this->now);
    }

    /** Lets all hosts ask for calls each 10 ms. @param areGrantersSilent whether none answers. */
    void run(Milliseconds time, bool areGrantersSilent = false)
    {
        const Milliseconds end = this->now + time;
        for (; this->now < end; this->now += Milliseconds(10)) {
            for (std::size_t index = 0; index < this->hosts.size(); ++index) {
                if (this->isLive[index])
                    this->ask(index, areGrantersSilent);
            }
        }
    }

    /** Returns the most calls in any second. */
    std::size_t largestCount() const
    {
        std::size_t largest = 0;
        for (auto first = this->calls.begin(); first != this->calls.end(); ++first) {
            const auto end =
                    std::lower_bound(first, this->calls.end(), *first + Milliseconds(1000));
            largest = std::max(largest, static_cast<std::size_t>(end - first));
        }
        return largest;
    }

    std::size_t granter() const
    {
        const HostName name = this->hosts[0]->granter(coldRun);
        std::size_t index = 0;
        while (hostName(index) != name)
            ++index;
        return index;
    }

    std::vector<std::unique_ptr<SharedCallLimits>> hosts;
    std::vector<bool> isLive;
    std::vector<int> groups;
    std::vector<Milliseconds> calls;
    Milliseconds now{0};

private:
    void ask(std::size_t index, bool areGrantersSilent)
    {
        SharedCallLimits &host = *this->hosts[index];
        if (host.pauseLeft(coldRun, this->now))
            return;
        CallPermit permit;
        const HostName granter = host.granter(coldRun);
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (hostName(other) == granter && this->isLive[other] && !areGrantersSilent)
                permit = this->hosts[other]->grant(coldRun, false, this->now);
        }
        if (areGrantersSilent)
            permit = host.grantOwnShare(coldRun, this->now);
        host.recordPermit(coldRun, permit, this->now);
        if (permit.isGranted)
            this->calls.push_back(this->now);
    }
};

} // namespace

// Load: the servers of a failure domain return cold and all hosts prefer them because they are
// idle. Guards against more calls than a cold server bears, and against one that gets none.
TEST_CASE("A cold server gets the calls that it bears from all hosts together", "[coldservers]")
{
    ColdFleet fleet(40);
    fleet.setCold(Milliseconds(10'000));
    fleet.run(Milliseconds(8000));
    REQUIRE(fleet.largestCount() <= permittedCalls);
    REQUIRE(fleet.calls.size() >= 60);
}

// Guards against calls beyond the limit while the granter dies and another one takes over.
TEST_CASE("The limit of a cold server holds while its granter dies", "[coldservers]")
{
    ColdFleet fleet(40);
    fleet.setCold(Milliseconds(10'000));
    fleet.run(Milliseconds(3000));
    fleet.isLive[fleet.granter()] = false;
    fleet.updateViews();
    fleet.run(Milliseconds(4000));
    REQUIRE(fleet.largestCount() <= permittedCalls);
}

// Guards against calls beyond the limit because a host that has just started takes over a server
// that is cold already and knows no earlier granter.
TEST_CASE("The limit of a cold server holds while a host starts", "[coldservers]")
{
    ColdFleet fleet(40);
    const std::size_t started = fleet.granter();
    fleet.isLive[started] = false;
    fleet.updateViews();
    fleet.run(Milliseconds(3000));
    // Until now the server was warm and had no limit.
    fleet.calls.clear();
    fleet.setCold(Milliseconds(10'000));
    fleet.run(Milliseconds(2000));
    fleet.isLive[started] = true;
    fleet.hosts[started] = std::make_unique<SharedCallLimits>(hostName(started), 99);
    fleet.updateViews();
    fleet.hosts[started]->setTimedLimit(coldRun, coldRate, fleet.now + Milliseconds(8000),
                                        fleet.now);
    fleet.run(Milliseconds(4000));
    REQUIRE(fleet.largestCount() <= permittedCalls);
}

// Guards against calls beyond the limit while groups of hosts can't see each other, each of which
// has a granter of its own.
TEST_CASE("The limit of a cold server holds while the hosts are split", "[coldservers]")
{
    ColdFleet fleet(40);
    fleet.setCold(Milliseconds(10'000));
    fleet.run(Milliseconds(2000));
    for (std::size_t index = 0; index < fleet.groups.size(); ++index)
        fleet.groups[index] = static_cast<int>(index % 3);
    fleet.updateViews();
    fleet.run(Milliseconds(5000));
    REQUIRE(fleet.largestCount() <= permittedCalls);
}

// Guards against a cold server that gets as much as a warm one because its granter is of a build
// that does not know such requests, and against one that gets nothing then.
TEST_CASE("Without an answer each host keeps to its share of what a cold server bears",
          "[coldservers]")
{
    ColdFleet fleet(63);
    fleet.setCold(Milliseconds(20'000));
    fleet.run(Milliseconds(12'000), true);
    REQUIRE(fleet.largestCount() <= permittedCalls);
    REQUIRE(fleet.calls.size() >= 40);
}

// Guards against a limit that outlasts the cold time, and against a change for servers without one.
TEST_CASE("A timed limit ends by itself", "[coldservers]")
{
    SharedCallLimits limits(HostName("h"), 1);
    REQUIRE_FALSE(limits.limit(coldRun, Milliseconds(0)));
    limits.setTimedLimit(coldRun, 5.0, Milliseconds(100), Milliseconds(0));
    REQUIRE(limits.limit(coldRun, Milliseconds(99)) == 5.0);
    REQUIRE_FALSE(limits.limit(coldRun, Milliseconds(100)));
    REQUIRE(limits.grant(coldRun, false, Milliseconds(100)).isGranted);
    REQUIRE_FALSE(limits.pauseLeft(coldRun, Milliseconds(100)));
    limits.setTimedLimit(coldRun, 5.0, Milliseconds(200), Milliseconds(150));
    limits.setTimedLimit(coldRun, 5.0, Milliseconds(150), Milliseconds(150));
    REQUIRE_FALSE(limits.limit(coldRun, Milliseconds(160)));
}

// Guards against a cold server's limit that replaces a lower one that the server states, or the
// other way round.
TEST_CASE("The lower of a stated and a timed limit holds", "[coldservers]")
{
    SharedCallLimits limits(HostName("h"), 1);
    limits.recordResponse(coldRun, 3.0, Milliseconds(0), Milliseconds(0));
    limits.setTimedLimit(coldRun, 5.0, Milliseconds(1000), Milliseconds(0));
    REQUIRE(limits.limit(coldRun, Milliseconds(10)) == 3.0);
    limits.setTimedLimit(coldRun, 2.0, Milliseconds(1000), Milliseconds(10));
    REQUIRE(limits.limit(coldRun, Milliseconds(10)) == 2.0);
    REQUIRE(limits.limit(coldRun, Milliseconds(1000)) == 3.0);
}
