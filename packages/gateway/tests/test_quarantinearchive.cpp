#include "gatewayfixture.h"
#include "inmemorystore.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

const std::uint64_t requestDigest = makeRequestDigest("account", "/path", "body");

Clock wallClockAt(Milliseconds time)
{
    return Clock::manual(std::make_shared<Milliseconds>(time));
}

std::vector<QuarantineRecord> makeTwoCrashes()
{
    CrashQuarantine quarantine;
    for (const char *server : {"a", "b"})
        quarantine.recordDeath(requestDigest, BackendServerName(server), Milliseconds(0));
    return quarantine.records(Milliseconds(0));
}

} // namespace

// Guards against a crashing request that is accepted again after all hosts have lost power at once.
TEST_CASE("Restarted hosts refuse the requests that were quarantined before", "[quarantinearchive]")
{
    constexpr Milliseconds wallTime{1'800'000'000'000};
    InMemoryStore store;
    {
        GatewayFixture before;
        QuarantineArchive archive(before.dispatchService(), before.context, store.calls(),
                                  wallClockAt(wallTime));
        before.dispatchService().post([](Dispatcher &dispatcher, Milliseconds now) {
            for (const char *server : {"a", "b"})
                dispatcher.recordDeath(requestDigest, {}, BackendServerName(server), now);
        });
        archive.save(requestDigest);
        before.runFor(Milliseconds(100));
    }
    REQUIRE(store.objects.size() == 1);
    store.isUnavailable = true;
    GatewayFixture after;
    QuarantineArchive archive(after.dispatchService(), after.context, store.calls(),
                              wallClockAt(wallTime + Milliseconds(5000)));
    archive.start();
    after.runFor(Milliseconds(100));
    REQUIRE(store.reads == 1);
    REQUIRE_FALSE(after.isQuarantined(requestDigest));
    store.isUnavailable = false;
    after.runFor(Milliseconds(2500));
    REQUIRE(after.isQuarantined(requestDigest));
}

// Guards against a crashing part of prompts that is accepted again after a loss of all hosts.
TEST_CASE("Restarted hosts refuse the parts of prompts that were quarantined before",
          "[quarantinearchive]")
{
    constexpr Milliseconds wallTime{1'800'000'000'000};
    const std::vector<std::uint64_t> parts{makePartDigest(1), makePartDigest(9)};
    InMemoryStore store;
    GatewayFixture before;
    QuarantineArchive archive(before.dispatchService(), before.context, store.calls(),
                              wallClockAt(wallTime));
    before.dispatchService().setQuarantineHook(
            [&archive](std::uint64_t digest) { archive.save(digest); });
    before.dispatchService().post([&parts](Dispatcher &dispatcher, Milliseconds now) {
        for (int death = 0; death < 3; ++death)
            dispatcher.recordDeath(0, parts, BackendServerName("engine-" + std::to_string(death)),
                                   now + Milliseconds(1000 * death));
    });
    before.runFor(Milliseconds(200));
    REQUIRE(store.objects.size() == 2);
    // A store that was restored from a copy has lost them.
    store.objects.clear();
    archive.saveAgain();
    before.runFor(Milliseconds(200));
    REQUIRE(store.objects.size() == 2);
    GatewayFixture after;
    QuarantineArchive restored(after.dispatchService(), after.context, store.calls(),
                               wallClockAt(wallTime + Milliseconds(5000)));
    restored.start();
    after.runFor(Milliseconds(200));
    REQUIRE(after.isQuarantined(parts));
    REQUIRE_FALSE(after.isQuarantined({makePartDigest(1), makePartDigest(2)}));
}

// Guards against unreadable objects of other writers that end the process, and against expired
// objects that are never removed.
TEST_CASE("Unreadable objects are skipped and expired ones removed", "[quarantinearchive]")
{
    constexpr Milliseconds wallTime{1'800'000'000'000};
    const std::vector<QuarantineRecord> records = makeTwoCrashes();
    const std::string value = QuarantineArchive::encode(records, wallTime);
    Error reason;
    const RegisteredObject object{digestText(requestDigest), 1, value};
    const auto decoded = QuarantineArchive::decode(object, wallTime, reason);
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 2);
    REQUIRE(decoded->at(0).incident == records[0].incident);
    REQUIRE(decoded->at(0).serverDigest == records[0].serverDigest);
    REQUIRE(decoded->at(0).remaining == records[0].remaining);
    for (const char *text : {"", "null", "[]", "{}", "{\"runs\":1}", "{\"runs\":[{}]}",
                             "{\"runs\":[{\"incident\":\"g\",\"server\":\"1\"}]}"}) {
        CAPTURE(text);
        REQUIRE_FALSE(QuarantineArchive::decode({digestText(1), 1, text}, wallTime, reason));
        REQUIRE(reason.code == ErrorCode::InvalidRequest);
    }
    REQUIRE_FALSE(QuarantineArchive::decode({"no digest", 1, value}, wallTime, reason));
    InMemoryStore store;
    store.objects = {{digestText(requestDigest), value}, {"spoilt", "{}"}};
    GatewayFixture late;
    QuarantineArchive archive(late.dispatchService(), late.context, store.calls(),
                              wallClockAt(wallTime + Milliseconds(3'600'000)));
    archive.start();
    late.runFor(Milliseconds(100));
    REQUIRE_FALSE(store.objects.contains(digestText(requestDigest)));
    REQUIRE(store.objects.contains("spoilt"));
}

// Guards against requests that are refused because the time of an entry overflows.
TEST_CASE("A quarantine entry with a time out of range is rejected", "[odd]")
{
    const auto decode = [](const std::string &time) {
        const std::string run = R"({"incident":"1","server":"2","sound_run":"3","expires_at_ms":)";
        Error reason;
        return QuarantineArchive::decode({"0f", 3, R"({"runs":[)" + run + time + "}]}"},
                                         Milliseconds(1'700'000'000'000), reason);
    };
    REQUIRE(decode("1700000060000"));
    for (const char *time : {"1e300", "-1e300", "-9223372036854775808", "9223372036854775808",
                             "18446744073709551615", "1.5", "\"x\"", "null"}) {
        INFO(time);
        REQUIRE_FALSE(decode(time));
    }
}
