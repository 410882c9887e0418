#include "entry/entry.h"
#include "entry/peers/peerrotation.h"
#include "policy/placement/stablehash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

/** The send interval and the peers per interval of LoadExchange. */
constexpr Milliseconds updateInterval{250};
constexpr std::size_t peersPerUpdate = 4;
constexpr std::size_t hostCount = 330;
constexpr std::uint64_t crashingRequest = 7;

std::vector<std::string> hostNames()
{
    std::vector<std::string> names;
    for (std::size_t host = 0; host < hostCount; ++host)
        names.push_back("host-" + std::to_string(host));
    return names;
}

/** Returns the time until all hosts refuse a request; at first, one host knows its two crashes. */
Milliseconds timeUntilAllRefuse()
{
    const std::vector<std::string> names = hostNames();
    std::map<std::string, CrashQuarantine> hosts;
    std::map<std::string, PeerRotation> rotations;
    for (const std::string &name : names) {
        const std::uint64_t seed = stableHash(name);
        hosts.emplace(name, CrashQuarantineOptions{seed, 4096, 64});
        rotations.emplace(name, PeerRotation(seed));
    }
    for (const char *server : {"a", "b"})
        hosts.at(names[0]).recordDeath(crashingRequest, BackendServerName(server), Milliseconds(0));
    Milliseconds now{0};
    const auto refuses = [&now](const auto &host) {
        return host.second.refusedFor(crashingRequest, now).has_value();
    };
    while (!std::all_of(hosts.begin(), hosts.end(), refuses)) {
        now += updateInterval;
        // Records received in one round are sent in the next one.
        std::map<std::string, std::vector<QuarantineRecord>> sent;
        for (const std::string &name : names)
            sent[name] = hosts.at(name).records(now);
        for (const std::string &name : names) {
            for (const std::string &peer : rotations.at(name).take(names, peersPerUpdate))
                hosts.at(peer).merge(sent[name], now);
        }
    }
    return now;
}

} // namespace

// Guards against a peer that is skipped or selected twice within a round.
TEST_CASE("Each peer is selected once per round", "[peers]")
{
    const std::vector<std::string> names = hostNames();
    PeerRotation rotation(12345);
    std::map<std::string, int> chosen;
    for (std::size_t round = 0; round < hostCount; ++round) {
        for (const std::string &peer : rotation.take(names, peersPerUpdate))
            ++chosen[peer];
    }
    REQUIRE(chosen.size() == hostCount);
    for (const auto &[name, count] : chosen)
        REQUIRE(count == static_cast<int>(peersPerUpdate));
    REQUIRE(rotation.take({}, peersPerUpdate).empty());
    REQUIRE(rotation.take(std::span(names).first(2), peersPerUpdate).size() == 2);
}

// Guards against quarantine records that spread so slowly that a crashing request takes down many
// more backend servers first.
TEST_CASE("All hosts refuse a crashing request within three seconds", "[peers]")
{
    REQUIRE(timeUntilAllRefuse() <= Milliseconds(3000));
}
