#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

MemberRecord makeMember(int number, MemberState state = MemberState::Alive,
                        std::uint32_t version = 0)
{
    MemberRecord record;
    record.host = HostName("host" + std::to_string(number));
    record.incarnation = HostIncarnation("run" + std::to_string(number));
    record.peerAddress = "127.0.0.1:" + std::to_string(9000 + number);
    record.state = state;
    record.version = version;
    return record;
}

} // namespace

// Guards against a paused host that remains declared dead after it resumes.
TEST_CASE("A member refutes a wrong update about itself with a higher version", "[membership]")
{
    MemberTable table(makeMember(1), {});
    table.applyUpdates(std::vector{makeMember(1, MemberState::Dead, 4)}, Milliseconds(0));
    REQUIRE(table.self().version == 5);
    REQUIRE(table.self().state == MemberState::Alive);
    MemberTable other(makeMember(2), {});
    other.applyUpdates(std::vector{makeMember(1, MemberState::Dead, 4)}, Milliseconds(0));
    other.applyUpdates(std::vector{table.self()}, Milliseconds(1));
    REQUIRE(other.find(HostIncarnation("run1"))->state == MemberState::Alive);
}

// Guards against gossip messages filled with records that every host reads from the registry.
TEST_CASE("Registered records are not passed on, but later updates of them are", "[membership]")
{
    MemberTable table(makeMember(1), {});
    while (!table.takeUpdates(8).empty()) { }
    const std::uint64_t before = table.changeCount();
    table.applyRegisteredRecords(std::vector{makeMember(2), makeMember(3)}, Milliseconds(0));
    REQUIRE(table.changeCount() > before);
    REQUIRE(table.members().size() == 3);
    // A larger table increases the retransmissions of this host's own record; registered records
    // are never sent.
    for (const MemberRecord &sent : table.takeUpdates(8))
        REQUIRE(sent == table.self());
    table.applyUpdates(std::vector{makeMember(2, MemberState::Suspect)}, Milliseconds(1));
    REQUIRE(table.takeUpdates(1) == std::vector{makeMember(2, MemberState::Suspect)});
    // An outdated registration does not override a Dead record.
    table.applyUpdates(std::vector{makeMember(3, MemberState::Dead)}, Milliseconds(1));
    table.applyRegisteredRecords(std::vector{makeMember(3)}, Milliseconds(2));
    REQUIRE(table.find(HostIncarnation("run3"))->state == MemberState::Dead);
}

// Guards against copying the whole table for each message although nothing changed.
TEST_CASE("An update that is already known does not count as a change", "[membership]")
{
    MemberTable table(makeMember(1), {});
    table.applyUpdates(std::vector{makeMember(2)}, Milliseconds(0));
    const std::uint64_t before = table.changeCount();
    table.applyUpdates(std::vector{makeMember(2)}, Milliseconds(1));
    table.setServing(table.self().isServing);
    table.advance(Milliseconds(1));
    REQUIRE(table.changeCount() == before);
    table.setServing(!table.self().isServing);
    REQUIRE(table.changeCount() > before);
}

// Guards against a suspect that is never declared dead or is declared dead too early.
TEST_CASE("A suspect is dead after the suspicion timeout", "[membership]")
{
    MemberTable table(makeMember(1), {});
    table.applyUpdates(std::vector{makeMember(2)}, Milliseconds(0));
    table.recordProbeFailure(HostIncarnation("run2"), Milliseconds(100));
    table.advance(Milliseconds(3099));
    REQUIRE(table.find(HostIncarnation("run2"))->state == MemberState::Suspect);
    table.advance(Milliseconds(3100));
    REQUIRE(table.find(HostIncarnation("run2"))->state == MemberState::Dead);
}

// Guards against two live entries for one host after a restart at the same address.
TEST_CASE("A new incarnation at the same address replaces the earlier one", "[membership]")
{
    MemberTable table(makeMember(1), {});
    table.applyUpdates(std::vector{makeMember(2)}, Milliseconds(0));
    MemberRecord restarted = makeMember(3);
    restarted.peerAddress = makeMember(2).peerAddress;
    table.applyUpdates(std::vector{restarted}, Milliseconds(1));
    REQUIRE(table.find(HostIncarnation("run2"))->state == MemberState::Dead);
    REQUIRE(table.liveCount() == 2);
}

// Guards against tables that stay different because updates arrived in different orders.
TEST_CASE("Tables converge whatever the order of updates", "[membership]")
{
    rc::prop("equal sets of updates give equal tables", [] {
        std::vector<MemberRecord> updates;
        const int count = *rc::gen::inRange(1, 30);
        for (int index = 0; index < count; ++index) {
            updates.push_back(makeMember(*rc::gen::inRange(1, 6),
                                         static_cast<MemberState>(*rc::gen::inRange(0, 4)),
                                         *rc::gen::inRange<std::uint32_t>(0, 4)));
        }
        MemberTable first(makeMember(100), {});
        MemberTable second(makeMember(100), {});
        first.applyUpdates(updates, Milliseconds(0));
        RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
        for (std::size_t index = updates.size(); index > 1; --index)
            std::swap(updates[index - 1], updates[random.below(index)]);
        second.applyUpdates(updates, Milliseconds(0));
        RC_ASSERT(first.members() == second.members());
    });
}

// Guards against updates that are sent without end, too rarely, or beyond the limit of a message.
TEST_CASE("Updates are sent a bounded number of times", "[membership]")
{
    MemberTable table(makeMember(1), {});
    for (int number = 2; number < 20; ++number)
        table.applyUpdates(std::vector{makeMember(number)}, Milliseconds(0));
    std::size_t sent = 0;
    for (int round = 0; round < 1000; ++round) {
        const auto updates = table.takeUpdates(6);
        REQUIRE(updates.size() <= 6);
        sent += updates.size();
    }
    REQUIRE(sent == std::size_t{19} * 3 * 5);
}
