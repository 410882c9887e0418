#include "runhosts.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

const SoftwareVersion v1("1");
const SoftwareVersion v2("2");

MemberRecord randomMember(int number)
{
    MemberRecord record;
    record.host = HostName("host-" + std::to_string(number));
    record.incarnation = HostIncarnation("run-" + std::to_string(number));
    record.failureDomain = FailureDomainName("d" + std::to_string(*rc::gen::inRange(0, 4)));
    record.peerAddress = std::to_string(number);
    return record;
}

} // namespace

// Guards against streams of a lost host that can't be resumed, or are resumed on another version.
TEST_CASE("The version of a stream is found at other hosts, also after its host is gone", "[runs]")
{
    RunHosts hosts(6);
    for (int run = 0; run < 20; ++run)
        hosts.runs(0).record(keyOf(run), "service", run % 2 == 0 ? v1 : v2);
    hosts.runFor(Milliseconds(100));
    const auto isFoundEverywhere = [&hosts](std::size_t firstHost) {
        for (std::size_t host = firstHost; host < hosts.hosts.size(); ++host) {
            for (int run = 0; run < 20; ++run) {
                if (hosts.find(host, run) != (run % 2 == 0 ? v1 : v2))
                    return false;
            }
        }
        return true;
    };
    REQUIRE(isFoundEverywhere(0));
    REQUIRE_FALSE(hosts.find(1, 0, "another service"));
    REQUIRE_FALSE(hosts.find(1, 99));
    // Gone, and not yet known to be dead; then known to be.
    hosts.hosts[0]->isGone = true;
    REQUIRE(isFoundEverywhere(1));
    hosts.publishMembers();
    REQUIRE(isFoundEverywhere(1));
    hosts.addHost(6, 3);
    hosts.publishMembers();
    REQUIRE(isFoundEverywhere(1));
    // A whole failure domain is lost.
    hosts.hosts[3]->isGone = true;
    hosts.publishMembers();
    REQUIRE(isFoundEverywhere(4));
    // 20 streams took one update to each keeper.
    for (const auto &host : hosts.hosts)
        REQUIRE(host->updates <= 1);
}

// Guards against a host that takes up a stream of unknown origin, and against a host that refuses
// the streams which can only have begun at the version that serves.
TEST_CASE("Without hosts that know a stream, only the sole version counts", "[runs]")
{
    RunHosts hosts(3);
    REQUIRE_FALSE(hosts.find(0, 1));
    hosts.hosts[0]->soleVersion = v2;
    REQUIRE(hosts.find(0, 1) == v2);
    const std::size_t requests = hosts.hosts[1]->requests;
    hosts.runs(0).record(keyOf(1), "service", v1);
    REQUIRE(hosts.find(0, 1) == v1);
    REQUIRE(hosts.hosts[1]->requests == requests);
}

// Guards against a stream that continues at another service of its route, or of a route that now
// goes to another service, because that has a sole version.
TEST_CASE("The sole version of a service does not count for streams of another one", "[runs]")
{
    RunHosts hosts(4);
    hosts.runs(0).record(keyOf(1), "service", v1);
    hosts.runFor(Milliseconds(60));
    for (const auto &host : hosts.hosts)
        host->soleVersion = v2;
    for (std::size_t host = 0; host < 4; ++host) {
        REQUIRE_FALSE(hosts.find(host, 1, "other"));
        REQUIRE(hosts.find(host, 1) == v1);
    }
    std::optional<SoftwareVersion> stated = v2;
    net::co_spawn(
            hosts.context,
            [&]() -> net::awaitable<void> {
                stated = co_await hosts.runs(1).findStated(keyOf(2), "other");
            },
            net::detached);
    hosts.runFor(Milliseconds(300));
    REQUIRE_FALSE(stated);
}

// Guards against a stream that continues on another version because the host that takes it up has
// not heard yet of the servers that began it.
TEST_CASE("What another host recorded counts more than the sole version", "[runs]")
{
    RunHosts hosts(6);
    for (int run = 0; run < 20; ++run)
        hosts.runs(0).record(keyOf(run), "service", v1);
    hosts.runFor(Milliseconds(60));
    hosts.hosts[0]->isGone = true;
    hosts.hosts[1]->soleVersion = v2;
    for (int run = 0; run < 20; ++run)
        REQUIRE(hosts.find(1, run) == v1);
}

// Guards against a stream of a new version that continues on the old one at a host that was cut off
// or stood still while servers of the new version joined.
TEST_CASE("A host that is out of step does not go by its old list of servers", "[runs]")
{
    RunHosts hosts(6);
    const auto joinVersions = [&hosts](std::size_t host) {
        hosts.hosts[host]->soleVersion = std::nullopt;
    };
    for (std::size_t host = 0; host < hosts.hosts.size(); ++host)
        hosts.hosts[host]->soleVersion = v1;
    hosts.hosts[1]->isCutOff = true;
    hosts.hosts[1]->onServersRead = [&] {
        joinVersions(1);
    };
    joinVersions(0);
    for (int run = 0; run < 5; ++run)
        hosts.runs(0).record(keyOf(run), "service", v2);
    hosts.runFor(Milliseconds(60));
    for (int run = 0; run < 5; ++run)
        REQUIRE_FALSE(hosts.find(1, run));

    SECTION("in touch again, it asks the other hosts")
    {
        hosts.hosts[1]->isCutOff = false;
        for (int run = 0; run < 5; ++run)
            REQUIRE(hosts.find(1, run) == v2);
    }
    SECTION("in touch with the store only, it learns that there are two versions")
    {
        hosts.hosts[1]->isCutOff = false;
        for (std::size_t host = 0; host < hosts.hosts.size(); ++host)
            hosts.hosts[host]->isSilent = host != 1;
        for (int run = 0; run < 5; ++run)
            REQUIRE_FALSE(hosts.find(1, run));
    }
}

// Guards against streams that are lost although the list of a host in touch proves their version.
TEST_CASE("The sole version of a list that is newer than the call counts", "[runs]")
{
    RunHosts hosts(3);
    hosts.hosts[1]->soleVersion = v1;
    for (std::size_t host = 0; host < hosts.hosts.size(); ++host)
        hosts.hosts[host]->isSilent = host != 1;
    for (int run = 0; run < 5; ++run)
        REQUIRE(hosts.find(1, run) == v1);
    REQUIRE(hosts.hosts[1]->servers->waitingCount() == 0);
}

// Guards against a caller who has used one identifier for streams of two versions.
TEST_CASE("A stream for which hosts state different versions is not attributed", "[runs]")
{
    RunHosts hosts(5);
    hosts.runs(0).record(keyOf(1), "service", v1);
    hosts.runFor(Milliseconds(60));
    hosts.runs(1).record(keyOf(1), "service", v2);
    hosts.runFor(Milliseconds(60));
    for (std::size_t host = 2; host < 5; ++host)
        REQUIRE_FALSE(hosts.find(host, 1));
    // A host that starts the same stream anew before its first event replaces its own statement.
    hosts.runs(0).record(keyOf(2), "service", v1);
    hosts.runFor(Milliseconds(60));
    hosts.runs(0).record(keyOf(2), "service", v2);
    hosts.runFor(Milliseconds(60));
    for (std::size_t host = 0; host < 5; ++host)
        REQUIRE(hosts.find(host, 2) == v2);
}

// Guards against a call that waits long for hosts that hang.
TEST_CASE("A keeper that does not answer costs at most the time limit", "[runs]")
{
    RunHosts hosts(6);
    hosts.runs(0).record(keyOf(1), "service", v1);
    hosts.runFor(Milliseconds(60));
    std::size_t told = 0;
    for (const auto &host : hosts.hosts) {
        told += host->updates;
        host->isSilent = host->updates > 0 && told < runKeeperCount;
    }
    REQUIRE(told == runKeeperCount);
    hosts.hosts[0]->isGone = true;
    std::size_t asking = 1;
    while (hosts.hosts[asking]->updates > 0)
        ++asking;
    Milliseconds start = Clock::steady().now();
    REQUIRE(hosts.find(asking, 1) == v1);
    REQUIRE(Clock::steady().now() - start < RunVersionExchange::askTimeout);
    for (const auto &host : hosts.hosts)
        host->isSilent = true;
    start = Clock::steady().now();
    REQUIRE_FALSE(hosts.find(asking, 1));
    REQUIRE(Clock::steady().now() - start < 2 * RunVersionExchange::askTimeout);
}

// Guards against one connection per question when the callers of a lost host all return at once.
TEST_CASE("Questions that come while one is asked share the next request", "[runs]")
{
    RunHosts hosts(4);
    for (int run = 0; run < 60; ++run)
        hosts.runs(0).record(keyOf(run), "service", v1);
    hosts.runFor(Milliseconds(60));
    hosts.hosts[0]->isGone = true;
    int found = 0;
    hosts.runs(1).setHooks({});
    for (int run = 0; run < 60; ++run) {
        net::co_spawn(
                hosts.context,
                [&hosts, &found, run]() -> net::awaitable<void> {
                    const auto lookup =
                            co_await hosts.hosts[1]->exchange->ask(keyOf(run), "service");
                    found += lookup.version == v1 ? 1 : 0;
                },
                net::detached);
    }
    hosts.runFor(Milliseconds(300));
    REQUIRE(found == 60);
    for (const auto &host : hosts.hosts)
        REQUIRE(host->requests <= 2);
}

// Guards against memory that grows with what peers send, and against a peer that displaces the
// streams of this host.
TEST_CASE("A flood of streams from peers stays within the limits", "[runs]")
{
    RunHosts hosts(2);
    hosts.runs(0).record(keyOf(0), "service", v1);
    for (std::uint64_t number = 0; number < 50; ++number) {
        RunVersionUpdate update{number, "peer", {}};
        for (std::uint64_t run = 0; run < maximumRunsPerMessage; ++run)
            update.runs.push_back({number, run, "service", std::to_string(number * 1000 + run)});
        REQUIRE(hosts.runs(0).recordUpdate(update));
    }
    REQUIRE(hosts.runs(0).size() == 65);
    REQUIRE(hosts.runs(0).versionCount() <= 65);
    REQUIRE(hosts.runs(0).findRecorded(keyOf(0), "service") == v1);
    // What waits for a peer that hangs is limited too.
    hosts.hosts[1]->isSilent = true;
    for (int run = 0; run < 5000; ++run)
        hosts.runs(0).record(keyOf(run), "service", v1);
    REQUIRE(hosts.hosts[0]->exchange->waitingRunCount() <= RunVersionExchange::maximumWaitingRuns);
}

// Guards against texts and lists of any size from a peer.
TEST_CASE("Malformed statements of peers are ignored as a whole", "[runs]")
{
    RunVersions runs(Clock::steady());
    const RunVersionMessage valid{1, 2, "service", "1"};
    const std::vector<std::vector<RunVersionMessage>> malformed{
            {valid, {1, 3, "service", ""}},
            {valid, {1, 3, "service", std::string(65, 'v')}},
            {valid, {1, 3, "", "1"}},
            {valid, {1, 3, std::string(257, 's'), "1"}},
            std::vector<RunVersionMessage>(maximumRunsPerMessage + 1, valid)};
    for (const auto &list : malformed)
        REQUIRE_FALSE(runs.recordUpdate({1, "peer", list}));
    REQUIRE(runs.size() == 0);
    const auto reply = runs.recordUpdate({7, "peer", {valid}});
    REQUIRE(reply);
    REQUIRE(reply->sequence == 7);
    RunVersionRequest request{8, {{1, 2, "service"}, {1, 2, "other"}, {9, 9, "service"}}};
    const RunVersionReply answers = runs.answer(request);
    REQUIRE(answers.sequence == 8);
    REQUIRE(answers.answers
            == std::vector<RunVersionAnswer>{
                    {RunVersionResult::Known, "1"}, {RunVersionResult::Ambiguous, ""}, {}});
    request.runs.resize(10 * maximumRunsPerMessage);
    REQUIRE(runs.answer(request).answers.size() == maximumRunsPerMessage);
}

// Guards against keepers that are lost together, and against hosts that ask others than the keepers
// after a host has died and another one has joined.
TEST_CASE("The hosts that are asked include keepers, which are in different domains", "[runs]")
{
    rc::prop("across a death and a new host", [] {
        std::vector<MemberRecord> members;
        const int count = *rc::gen::inRange(2, 12);
        for (int number = 0; number < count; ++number)
            members.push_back(randomMember(number));
        const RunKey run = keyOf(*rc::gen::inRange(0, 1000));
        const auto keepers = selectRunKeepers(members, members[0].incarnation, run);
        std::set<FailureDomainName> domains;
        std::set<FailureDomainName> keeperDomains;
        for (std::size_t index = 1; index < members.size(); ++index) {
            domains.insert(members[index].failureDomain);
            if (std::find(keepers.begin(), keepers.end(), members[index].peerAddress)
                != keepers.end())
                keeperDomains.insert(members[index].failureDomain);
        }
        RC_ASSERT(keepers.size() == std::min(runKeeperCount, members.size() - 1));
        RC_ASSERT(keeperDomains.size() == std::min(keepers.size(), domains.size()));
        members[0].state = MemberState::Dead;
        const auto lost = static_cast<std::size_t>(*rc::gen::inRange(0, count));
        if (*rc::gen::arbitrary<bool>())
            members[lost].state = MemberState::Dead;
        members.push_back(randomMember(count));
        const auto asked = selectRunKeepersToAsk(members, members.back().incarnation, run);
        RC_ASSERT(asked.size() <= 2 * (runKeeperCount + 2));
        std::size_t liveKeepers = 0;
        std::size_t askedKeepers = 0;
        for (const MemberRecord &member : members) {
            if (member.state == MemberState::Dead
                || std::find(keepers.begin(), keepers.end(), member.peerAddress) == keepers.end())
                continue;
            ++liveKeepers;
            askedKeepers += std::count(asked.begin(), asked.end(), member.peerAddress);
        }
        RC_ASSERT(askedKeepers > 0 || liveKeepers == 0);
    });
}
