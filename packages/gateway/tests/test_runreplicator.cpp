#include "runhosts.h"

#include <catch2/catch.hpp>

#include <cstddef>

using namespace sassafrasyard;

namespace {

constexpr int streamCount = 40;

const SoftwareVersion version("1");

/** Begins streams at a host and waits until their keepers know them. */
void beginStreams(RunHosts &hosts, std::size_t host)
{
    for (int run = 0; run < streamCount; ++run)
        hosts.runs(host).record(keyOf(run), "service", version);
    hosts.runFor(Milliseconds(100));
}

/** Returns how many of the streams a host finds. */
int foundAt(RunHosts &hosts, std::size_t host)
{
    int found = 0;
    for (int run = 0; run < streamCount; ++run)
        found += hosts.find(host, run) == version ? 1 : 0;
    return found;
}

} // namespace

// Guards against streams that no host knows after all others were restarted in turn, while the host
// that serves them goes on and is stopped last.
TEST_CASE("A rolling restart of the hosts keeps the versions of streams", "[runs]")
{
    for (const std::size_t count : {std::size_t(3), std::size_t(6)}) {
        CAPTURE(count);
        RunHosts hosts(count, 3, true);
        const std::size_t last = count - 1;
        beginStreams(hosts, last);
        for (std::size_t host = 0; host < last; ++host) {
            hosts.stop(host);
            hosts.restart(host);
            hosts.runFor(Milliseconds(300));
        }
        hosts.stop(last);
        for (std::size_t host = 0; host < last; ++host)
            REQUIRE(foundAt(hosts, host) == streamCount);
    }
}

// Guards against streams that are known to their keepers only and are lost when these are restarted
// after the host that served them.
TEST_CASE("Keepers tell streams of a lost host to each other", "[runs]")
{
    RunHosts hosts(4, 3, true);
    beginStreams(hosts, 3);
    hosts.hosts[3]->isGone = true;
    hosts.publishMembers();
    hosts.runFor(Milliseconds(200));
    for (std::size_t host = 0; host < 3; ++host) {
        hosts.hosts[host]->isGone = true;
        hosts.publishMembers();
        hosts.runFor(Milliseconds(200));
        hosts.restart(host);
        hosts.runFor(Milliseconds(300));
    }
    for (std::size_t host = 0; host < 3; ++host)
        REQUIRE(foundAt(hosts, host) == streamCount);
}

// Guards against streams that a host does not get because it did not answer yet after its start.
TEST_CASE("An update that a host does not confirm is sent again", "[runs]")
{
    RunHosts hosts(2, 2, true);
    hosts.hosts[0]->isSilent = true;
    hosts.runs(1).record(keyOf(0), "service", version);
    // Longer than an update waits for its confirmation.
    hosts.runFor(Milliseconds(600));
    hosts.hosts[0]->isSilent = false;
    hosts.runFor(Milliseconds(900));
    hosts.hosts[1]->isGone = true;
    REQUIRE(hosts.find(0, 0) == version);
}

// Guards against updates that are sent again and again without a change of the members.
TEST_CASE("Streams are told once while the members stay", "[runs]")
{
    RunHosts hosts(4, 3, true);
    beginStreams(hosts, 3);
    const std::size_t updates = hosts.hosts[0]->updates;
    hosts.publishMembers();
    hosts.runFor(Milliseconds(300));
    REQUIRE(hosts.hosts[0]->updates == updates);
}
