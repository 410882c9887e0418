#include "membership/membership.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

MemberRecord member(int number)
{
    MemberRecord record;
    record.host = HostName("host" + std::to_string(number));
    record.incarnation = HostIncarnation("run" + std::to_string(number));
    record.peerAddress = "127.0.0.1:" + std::to_string(9000 + number);
    return record;
}

} // namespace

// Guards against a host that stays out of the addresses for an hour. This happens to a host that
// was cut off until its peers had used up the retransmissions of the update that declares it dead:
// it does not receive that update, and so does not refute it.
TEST_CASE("A dead member that probes again receives the update that declares it dead",
          "[membership]")
{
    MemberTable table(member(1), {});
    table.applyUpdates(std::vector{member(2), member(3)}, Milliseconds(0));
    table.recordProbeFailure(HostIncarnation("run2"), Milliseconds(100));
    table.advance(Milliseconds(3100));
    while (!table.takeUpdates(8).empty()) { }
    table.applyUpdates(std::vector{member(2)}, Milliseconds(20000));
    MemberTable returningTable(member(2), {});
    returningTable.applyUpdates(table.takeUpdates(8), Milliseconds(20000));
    table.applyUpdates(std::vector{returningTable.self()}, Milliseconds(20001));
    REQUIRE(table.find(HostIncarnation("run2"))->state == MemberState::Alive);
}
