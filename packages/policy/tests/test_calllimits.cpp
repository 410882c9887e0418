#include "policy/policy.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

const BackendServerName run("server/1");

CallLimitStatement peerStatement(std::optional<double> limit, int statedAt, std::uint64_t id)
{
    return {run, limit, Milliseconds(statedAt), id, Milliseconds(0)};
}

} // namespace

// Guards against a limit that ends because an older response, sent before it was stated, arrives
// late.
TEST_CASE("Only a response to a later call ends a limit", "[limits]")
{
    CallLimitStatements statements(1);
    REQUIRE_FALSE(statements.recordResponse(run, {}, Milliseconds(0), Milliseconds(10)));
    REQUIRE(statements.recordResponse(run, 2.5, Milliseconds(20), Milliseconds(30)));
    REQUIRE_FALSE(statements.recordResponse(run, {}, Milliseconds(25), Milliseconds(40)));
    REQUIRE(statements.limit(run) == 2.5);
    REQUIRE(statements.recordResponse(run, {}, Milliseconds(31), Milliseconds(50)));
    REQUIRE_FALSE(statements.limit(run));
    REQUIRE(statements.recordResponse(run, 2.5, Milliseconds(60), Milliseconds(70)));
    REQUIRE(statements.limit(run) == 2.5);
}

// Guards against a limit of an earlier process that applies to the restarted server.
TEST_CASE("A limit applies to one process of a server", "[limits]")
{
    CallLimitStatements statements(1);
    statements.recordResponse(run, 1.0, Milliseconds(0), Milliseconds(10));
    REQUIRE_FALSE(statements.limit(BackendServerName("server/2")));
}

// Guards against an old statement that circulates among hosts and replaces a newer one.
TEST_CASE("A peer's statement replaces an older one only", "[limits]")
{
    CallLimitStatements statements(1);
    REQUIRE(statements.recordPeerStatement(peerStatement(3.0, 100, 7), Milliseconds(110)));
    REQUIRE_FALSE(statements.recordPeerStatement(peerStatement(3.0, 120, 7), Milliseconds(130)));
    REQUIRE(statements.find(run)->statedAt == Milliseconds(100));
    REQUIRE_FALSE(statements.recordPeerStatement(peerStatement(9.0, 90, 8), Milliseconds(140)));
    REQUIRE(statements.recordPeerStatement(peerStatement({}, 150, 9), Milliseconds(160)));
    REQUIRE_FALSE(statements.limit(run));
    REQUIRE_FALSE(statements.recordPeerStatement(peerStatement(3.0, 100, 7), Milliseconds(170)));
    REQUIRE_FALSE(statements.limit(run));
}

// Guards against updates to peers that grow with all servers that ever stated a limit.
TEST_CASE("Only recent statements are sent to peers", "[limits]")
{
    CallLimitStatements statements(1);
    const Milliseconds end = CallLimitStatements::announcementTime;
    statements.recordResponse(run, 1.0, Milliseconds(0), Milliseconds(0));
    REQUIRE(statements.recent(end - Milliseconds(1)).size() == 1);
    REQUIRE_FALSE(statements.recordResponse(run, 1.0, Milliseconds(1), end - Milliseconds(1)));
    REQUIRE(statements.recent(end).empty());
    REQUIRE(statements.recordPeerStatement(peerStatement(2.0, 20000, 7), Milliseconds(25000)));
    REQUIRE(statements.recent(Milliseconds(25000)).size() == 1);
}

// Guards against memory that grows with each server that ever stated a limit.
TEST_CASE("Old statements are removed", "[limits]")
{
    CallLimitStatements statements(1);
    statements.recordResponse(run, 1.0, Milliseconds(0), Milliseconds(0));
    statements.removeExpired(CallLimitStatements::retention - Milliseconds(1));
    REQUIRE(statements.limit(run) == 1.0);
    statements.removeExpired(CallLimitStatements::retention);
    REQUIRE(statements.all().empty());
    REQUIRE_FALSE(statements.recordPeerStatement(peerStatement(1.0, 0, 7),
                                                 CallLimitStatements::retention));
    REQUIRE_FALSE(statements.limit(run));
}
