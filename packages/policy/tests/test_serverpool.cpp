#include "policy/pool/serverpool.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

Milliseconds at(std::int64_t time)
{
    return Milliseconds(time);
}

BackendServer makeEngine(const std::string &name, std::uint32_t slots = 4,
                         std::uint32_t memory = 8000)
{
    BackendServer server;
    server.name = BackendServerName(name);
    server.failureDomain = FailureDomainName("d-" + name.substr(0, 1));
    server.models = {ModelName("plan")};
    server.slots = slots;
    server.memoryTokens = memory;
    return server;
}

WorkRequest makeRequest(const std::string &name, std::uint32_t prompt = 100,
                        std::uint32_t maximum = 0)
{
    WorkRequest request;
    request.name = RequestName(name);
    request.account = ClientAccountName("peach");
    request.model = ModelName("plan");
    request.promptTokens = prompt;
    request.maximumTokens = maximum;
    return request;
}

LoadReport makeReport(const std::string &name, std::uint32_t running, std::uint32_t memory)
{
    LoadReport report;
    report.server = BackendServerName(name);
    report.running = running;
    report.memoryUsedTokens = memory;
    return report;
}

ServerPoolOptions makeOptions(const std::string &domain = "d-a", std::uint64_t seed = 1)
{
    ServerPoolOptions options;
    options.host = HostName("entry-1");
    options.failureDomain = FailureDomainName(domain);
    options.placement = estimatedLoadPlacement(seed);
    options.seed = seed;
    return options;
}

/** Applies random events to a pool and keeps a reference list of its outstanding requests. */
class RandomEvents
{
public:
    explicit RandomEvents(std::uint64_t seed)
        : random(seed)
        , pool(makeOptions("d-a", seed))
    {
        this->setServers();
    }

    void step()
    {
        this->now += at(static_cast<std::int64_t>(this->random.below(800)));
        const std::string server(1, static_cast<char>('a' + this->random.below(6)));
        switch (this->random.below(13)) {
        case 0:
            return this->setServers();
        case 1:
            return this->pool.setLeaving(BackendServerName(server), this->random.below(2) == 0);
        case 2:
            return this->pool.setReachable(BackendServerName(server), this->random.below(3) > 0);
        case 3:
            return this->pool.recordLoadReport(
                    makeReport(server, static_cast<std::uint32_t>(this->random.below(6)),
                               static_cast<std::uint32_t>(this->random.below(9000))),
                    this->now);
        case 4:
            return this->recordPeer(server);
        case 5:
            return this->pool.advance(this->now);
        case 12:
            return this->pool.recordCacheEvent({BackendServerName(server), this->random.below(50),
                                                this->random.below(5), this->random.below(3) > 0},
                                               this->now);
        case 6:
        case 7:
        case 8:
            return this->place();
        default:
            return this->random.below(2) == 0 ? this->progress() : this->release();
        }
    }

    std::map<BackendServerName, std::uint32_t> expected() const
    {
        std::map<BackendServerName, std::uint32_t> counts;
        for (const auto &[name, server] : this->outstanding)
            ++counts[server];
        return counts;
    }

    std::map<BackendServerName, std::uint32_t> reported()
    {
        std::map<BackendServerName, std::uint32_t> counts;
        for (const PeerLoadEntry &entry : this->pool.peerLoadDigest(this->now).entries)
            counts[entry.server] = entry.running;
        return counts;
    }

    void releaseAll()
    {
        while (!this->outstanding.empty())
            this->release();
    }

    RandomSource random;
    ServerPool pool;
    Milliseconds now{0};
    std::vector<BackendServer> servers;
    std::vector<std::pair<std::string, BackendServerName>> outstanding;
    std::vector<std::string> log;

private:
    void setServers()
    {
        this->servers.clear();
        for (char name = 'a'; name < 'g'; ++name) {
            if (this->random.below(4) > 0)
                this->servers.push_back(makeEngine(std::string(1, name)));
        }
        this->pool.setBackendServers(this->servers, this->now);
    }

    void recordPeer(const std::string &server)
    {
        PeerLoadDigest digest{HostName("entry-2"), ++this->sequence, {}};
        digest.entries.push_back({BackendServerName(server),
                                  static_cast<std::uint32_t>(this->random.below(4)), 500});
        this->pool.recordPeerLoad(digest, this->now);
    }

    void place()
    {
        const std::string name = "r" + std::to_string(++this->placed);
        WorkRequest request =
                makeRequest(name, static_cast<std::uint32_t>(this->random.below(3000)));
        request.prefixDigest = this->random.below(5);
        const auto placement = this->pool.place(request, this->now);
        this->log.push_back(placement ? name + placement->server.toString()
                                            + std::to_string(placement->reservedTokens)
                                      : name);
        if (placement)
            this->outstanding.emplace_back(name, placement->server);
    }

    void progress()
    {
        if (this->outstanding.empty())
            return;
        const auto &[name, server] =
                this->outstanding[this->random.below(this->outstanding.size())];
        this->pool.recordProgress(RequestName(name),
                                  static_cast<std::uint32_t>(this->random.below(20000)), this->now);
    }

    void release()
    {
        this->pool.release(RequestName("unknown"), WorkOutcome::Failed, this->now);
        if (this->outstanding.empty())
            return;
        const auto index =
                static_cast<std::ptrdiff_t>(this->random.below(this->outstanding.size()));
        const auto entry = this->outstanding.begin() + index;
        const auto outcome = static_cast<WorkOutcome>(this->random.below(5));
        this->pool.release(RequestName(entry->first), outcome, this->now);
        this->pool.release(RequestName(entry->first), outcome, this->now);
        this->outstanding.erase(entry);
    }

    std::uint64_t sequence = 0;
    std::uint64_t placed = 0;
};

} // namespace

// Guards against reservations that remain after their request ended, in any order of events.
TEST_CASE("Reservations are freed with their requests", "[pool]")
{
    rc::prop("no reservation remains", [](std::uint64_t seed) {
        RandomEvents run(seed);
        for (int step = 0; step < 150; ++step) {
            run.step();
            RC_ASSERT(run.reported() == run.expected());
            RC_ASSERT(run.pool.placedCount() == run.outstanding.size());
        }
        run.releaseAll();
        RC_ASSERT(run.reported().empty());
        run.now += at(60000); // reports, digests and ejections have expired
        run.pool.advance(run.now);
        for (const BackendServer &server : run.servers) {
            run.pool.setLeaving(server.name, false);
            run.pool.setReachable(server.name, true);
        }
        run.pool.advance(run.now + at(1000));
        RC_ASSERT(run.pool.memoryShortages(run.now).empty());
        const PoolCapacity capacity = run.pool.capacity(ModelName("plan"), {}, run.now + at(1000));
        RC_ASSERT(capacity.totalSlots == 4 * run.servers.size());
        RC_ASSERT(capacity.freeSlots == capacity.totalSlots);
    });
}

// Guards against decisions that depend on anything else than the events and the seed.
TEST_CASE("The same events and seed give the same placements", "[pool]")
{
    rc::prop("deterministic", [](std::uint64_t seed) {
        RandomEvents first(seed);
        RandomEvents second(seed);
        for (int step = 0; step < 200; ++step) {
            first.step();
            second.step();
        }
        RC_ASSERT(first.log == second.log);
    });
}

// Guards against running out of engine memory because a request outgrew its reservation.
TEST_CASE("A growing request extends its reservation and blocks new requests on its server",
          "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a", 16, 8000)}, at(0));
    const auto first = pool.place(makeRequest("1"), at(0));
    REQUIRE(first);
    REQUIRE(first->reservedTokens < 4000);
    REQUIRE(pool.place(makeRequest("2", 100, 400), at(0)));
    pool.recordProgress(RequestName("1"), 5000, at(1000));
    REQUIRE_FALSE(pool.place(makeRequest("3", 1000), at(1000)));
    REQUIRE(pool.memoryShortages(at(1000)).size() == 1);
    REQUIRE(pool.capacity(ModelName("plan"), {}, at(1000)).freeSlots == 0.0);
    pool.release(RequestName("1"), WorkOutcome::Cancelled, at(1100));
    REQUIRE(pool.memoryShortages(at(1100)).empty());
    REQUIRE(pool.place(makeRequest("3", 1000), at(1100)));
}

// Guards against reusing a cached refusal after an event that freed capacity.
TEST_CASE("A refused request is placed as soon as capacity is free, also at the same instant",
          "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a", 2)}, at(0));
    REQUIRE(pool.place(makeRequest("1", 3000, 4500), at(0)));
    REQUIRE_FALSE(pool.place(makeRequest("2", 7000, 900), at(0)));
    REQUIRE_FALSE(pool.place(makeRequest("2", 7500, 900), at(0)));
    REQUIRE(pool.place(makeRequest("3", 10, 10), at(0))); // a smaller one still fits
    REQUIRE_FALSE(pool.place(makeRequest("2", 7000, 900), at(0)));
    pool.release(RequestName("1"), WorkOutcome::Failed, at(0));
    pool.release(RequestName("3"), WorkOutcome::Failed, at(0));
    REQUIRE(pool.place(makeRequest("2", 7000, 900), at(0)));
}

// Guards against taking a caller's limit or a cancellation for a request's natural length.
TEST_CASE("Truncated requests do not shorten the length estimate", "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a", 16, 1000000)}, at(0));
    const std::uint32_t before = pool.place(makeRequest("first"), at(0))->reservedTokens;
    for (int count = 0; count < 200; ++count) {
        const std::string name = std::to_string(count);
        REQUIRE(pool.place(makeRequest(name, 100, count % 2 == 0 ? 60 : 0), at(0)));
        pool.recordProgress(RequestName(name), 60, at(10));
        pool.release(RequestName(name),
                     count % 2 == 0 ? WorkOutcome::Completed : WorkOutcome::Cancelled, at(20));
    }
    REQUIRE(pool.place(makeRequest("last"), at(30))->reservedTokens >= before);
}

// Guards against a request that exceeds every engine's memory waiting forever while one is idle.
TEST_CASE("An idle engine takes a request larger than its memory", "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a")}, at(0));
    const auto placement = pool.place(makeRequest("1", 50000), at(0));
    REQUIRE(placement);
    REQUIRE(placement->reservedTokens == 8000);
}

// Guards against placing requests on a server that other hosts have filled.
TEST_CASE("A server full of other hosts' requests gets none until its report expires", "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a"), makeEngine("b")}, at(0));
    pool.recordLoadReport(makeReport("a", 4, 0), at(0));
    pool.recordLoadReport(makeReport("b", 0, 7990), at(0));
    REQUIRE(pool.capacity(ModelName("plan"), {}, at(100)).freeSlots <= 4.0);
    const auto placement = pool.place(makeRequest("1", 10, 200), at(100));
    REQUIRE(placement);
    REQUIRE(placement->server == BackendServerName("b")); // b has no running requests
    REQUIRE_FALSE(pool.place(makeRequest("2", 10, 200), at(100)));
    REQUIRE(pool.place(makeRequest("2", 10, 200), at(11000)));
}

// Guards against all hosts choosing the one server that was last reported idle.
TEST_CASE("Hosts with the same outdated load data spread their requests", "[pool]")
{
    std::map<BackendServerName, int> chosen;
    std::vector<BackendServer> servers;
    for (int index = 0; index < 24; ++index)
        servers.push_back(makeEngine("s" + std::to_string(index), 16, 1000000));
    for (std::uint64_t host = 0; host < 330; ++host) {
        ServerPool pool(makeOptions("elsewhere", host));
        pool.setBackendServers(servers, at(0));
        for (std::size_t index = 1; index < servers.size(); ++index)
            pool.recordLoadReport(makeReport(servers[index].name.toString(), 8, 0), at(0));
        pool.recordLoadReport(makeReport("s0", 0, 0), at(0));
        ++chosen[pool.place(makeRequest("1"), at(100))->server];
    }
    REQUIRE(chosen[BackendServerName("s0")] < 330 / 4);
    REQUIRE(chosen[BackendServerName("s0")] > 330 / 24);
}

// Guards against prefix affinity to a full engine and against preferring the own failure domain
// when its servers are much more loaded.
TEST_CASE("Affinity and the own failure domain are preferred only while load and memory allow",
          "[pool]")
{
    const auto place = [](std::uint32_t running, std::uint32_t memory, const std::string &domain) {
        std::map<BackendServerName, int> chosen;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            ServerPool pool(makeOptions(domain, seed));
            pool.setBackendServers(
                    std::vector{makeEngine("a", 16, 100000), makeEngine("b", 16, 100000)}, at(0));
            pool.recordCacheEvent({BackendServerName("a"), 1, 77, true}, at(0));
            pool.recordLoadReport(makeReport("a", running, memory), at(0));
            pool.recordLoadReport(makeReport("b", 2, 10000), at(0));
            WorkRequest request = makeRequest("1");
            request.prefixDigest = domain == "d-a" ? 0 : 77;
            ++chosen[pool.place(request, at(0))->server];
        }
        return chosen[BackendServerName("a")];
    };
    REQUIRE(place(4, 10000, "elsewhere") == 50); // has the prefix cached
    REQUIRE(place(4, 90000, "elsewhere") == 0);  // no memory left for a cache
    REQUIRE(place(3, 10000, "d-a") == 50);       // same domain
    REQUIRE(place(10, 10000, "d-a") == 0);       // same domain but much more loaded
}

// Guards against refusing all requests when only ejected servers are left.
TEST_CASE("A slow server gets requests only when no other server is usable", "[pool]")
{
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeEngine("a"), makeEngine("b"), makeEngine("c")}, at(0));
    for (std::int64_t time = 0; time <= 1000; time += 250) {
        for (const std::string name : {"a", "b", "c"}) {
            LoadReport report = makeReport(name, 1, 0);
            report.tokenIntervalMilliseconds = name == "b" ? 200.0 : 30.0;
            pool.recordLoadReport(report, at(time));
        }
        pool.advance(at(time));
    }
    REQUIRE(pool.slowServers().size() == 1);
    REQUIRE(pool.slowServers().front().server == BackendServerName("b"));
    for (int count = 0; count < 6; ++count)
        REQUIRE(pool.place(makeRequest(std::to_string(count)), at(1000))->server
                != BackendServerName("b"));
    REQUIRE_FALSE(pool.place(makeRequest("9"), at(1000)));
    pool.setReachable(BackendServerName("a"), false);
    pool.setLeaving(BackendServerName("c"), true);
    REQUIRE(pool.place(makeRequest("9"), at(1000))->server == BackendServerName("b"));
}

// Guards against ejecting an engine for the interval it reports while idle or with a full batch.
TEST_CASE("Neither an idle nor a fully loaded engine is taken for slow", "[pool]")
{
    for (const std::uint32_t running : {0U, 4U}) {
        ServerPool pool(makeOptions());
        pool.setBackendServers(std::vector{makeEngine("a"), makeEngine("b"), makeEngine("c")},
                               at(0));
        for (std::int64_t time = 0; time <= 3000; time += 250) {
            for (const std::string name : {"a", "b", "c"}) {
                LoadReport report = makeReport(name, name == "b" ? running : 1, 0);
                report.tokenIntervalMilliseconds =
                        name != "b" ? 15.0 : (running == 0 ? 200.0 : 31.0);
                pool.recordLoadReport(report, at(time));
            }
            pool.advance(at(time));
        }
        REQUIRE(pool.slowServers().empty());
    }
}

// Guards against a new server that inherits the measurements of the one that had its index before.
TEST_CASE("A server with a reused index starts without measurements", "[pool]")
{
    ServerPool pool(makeOptions());
    const std::vector others{makeEngine("b"), makeEngine("c"), makeEngine("d")};
    std::vector<BackendServer> servers = others;
    servers.insert(servers.begin(), makeEngine("a"));
    pool.setBackendServers(servers, at(0));
    REQUIRE(pool.place(makeRequest("1"), at(0))->server
            == BackendServerName("a")); // the only one in this domain
    pool.setBackendServers(others, at(100));
    for (std::uint32_t tokens = 1; tokens < 40; ++tokens)
        pool.recordProgress(RequestName("1"), tokens, at(100 + 500 * tokens));
    pool.release(RequestName("1"), WorkOutcome::Completed, at(20000));
    servers.front() = makeEngine("e");
    pool.setBackendServers(servers, at(20000));
    for (std::int64_t time = 20000; time <= 22000; time += 250) {
        for (const std::string name : {"b", "c", "d"}) {
            LoadReport report = makeReport(name, 1, 0);
            report.tokenIntervalMilliseconds = 30.0;
            pool.recordLoadReport(report, at(time));
        }
        pool.advance(at(time));
    }
    REQUIRE(pool.slowServers().empty());
}

// Guards against a stream that continues on a server of another software version, and against a
// request that a full version keeps from the servers of the others.
TEST_CASE("Requests that are bound to a software version get only its servers", "[order]")
{
    rc::prop("versions", [] {
        const std::vector<std::string> versions{"v1", "v2", "v3"};
        const auto count = *rc::gen::inRange<std::size_t>(1, 7);
        std::vector<BackendServer> servers;
        std::map<std::string, std::uint32_t> freeSlots;
        std::map<BackendServerName, std::string> versionOf;
        for (std::size_t number = 0; number < count; ++number) {
            BackendServer server = makeEngine("a" + std::to_string(number), 2, 1'000'000);
            const std::string version = *rc::gen::elementOf(versions);
            server.softwareVersion = SoftwareVersion(version);
            freeSlots[version] += server.slots;
            versionOf[server.name] = version;
            servers.push_back(server);
        }
        ServerPool pool(makeOptions());
        pool.setBackendServers(servers, at(0));
        for (int number = 0; number < 20; ++number) {
            WorkRequest request = makeRequest(std::to_string(number));
            const bool isBound = *rc::gen::arbitrary<bool>();
            const std::string version = *rc::gen::elementOf(versions);
            if (isBound)
                request.softwareVersion = SoftwareVersion(version);
            std::uint32_t expectedFree = 0;
            for (const auto &[name, slots] : freeSlots)
                expectedFree += !isBound || name == version ? slots : 0;
            const PoolCapacity capacity =
                    pool.capacity(request.model, request.softwareVersion, at(0));
            RC_ASSERT(capacity.freeSlots == static_cast<double>(expectedFree));
            // All at one time, so that a cached refusal of one kind of request would show.
            const auto placement = pool.place(request, at(0));
            RC_ASSERT(placement.has_value() == (expectedFree > 0));
            if (!placement)
                continue;
            const std::string chosen = versionOf.at(placement->server);
            RC_ASSERT((!isBound || chosen == version));
            --freeSlots[chosen];
        }
    });
}

// Guards against new calls on servers of whose work this host knows only a part, which may be full,
// and against calls that have no other server and wait until they are refused.
TEST_CASE("A server that is not tracked runs only what too few tracked ones may run", "[pool]")
{
    const auto makeServer = [](const std::string &name, const std::string &version,
                               bool isTracked) {
        BackendServer server = makeEngine(name);
        server.softwareVersion = SoftwareVersion(version);
        server.isTracked = isTracked;
        return server;
    };
    ServerPool pool(makeOptions());
    pool.setBackendServers(std::vector{makeServer("a", "v1", true), makeServer("b", "v1", true),
                                       makeServer("c", "v1", false), makeServer("d", "v2", false)},
                           at(0));
    REQUIRE(pool.capacity(ModelName("plan"), std::nullopt, at(0)).totalSlots == 8);
    REQUIRE(pool.capacity(ModelName("plan"), SoftwareVersion("v1"), at(0)).totalSlots == 8);
    REQUIRE(pool.capacity(ModelName("plan"), SoftwareVersion("v2"), at(0)).totalSlots == 4);
    for (int index = 0; index < 8; ++index) {
        const auto placement = pool.place(makeRequest("new-" + std::to_string(index)), at(0));
        REQUIRE(placement);
        REQUIRE(placement->server < BackendServerName("c"));
    }
    REQUIRE_FALSE(pool.place(makeRequest("surplus"), at(0)));
    WorkRequest rare = makeRequest("rare");
    rare.softwareVersion = SoftwareVersion("v2");
    REQUIRE(pool.place(rare, at(0))->server == BackendServerName("d"));
    WorkRequest again = makeRequest("again");
    again.softwareVersion = SoftwareVersion("v1");
    REQUIRE_FALSE(pool.place(again, at(0)));
    again.avoided = {BackendServerName("a")};
    REQUIRE(pool.place(again, at(0))->server == BackendServerName("c"));
}
