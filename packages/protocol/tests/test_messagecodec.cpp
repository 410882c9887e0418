#include "protocol/protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

MemberRecord randomMember()
{
    MemberRecord record;
    record.host = HostName(*rc::gen::string<std::string>());
    record.incarnation = HostIncarnation(*rc::gen::string<std::string>());
    record.peerAddress = *rc::gen::string<std::string>();
    record.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
    record.version = *rc::gen::arbitrary<std::uint32_t>();
    return record;
}

} // namespace

TEST_CASE("A decoded message equals the encoded one", "[protocol]")
{
    rc::prop("a probe reply is unchanged", [] {
        ProbeReply reply;
        reply.sequence = *rc::gen::arbitrary<std::uint64_t>();
        reply.sender = randomMember();
        const int count = *rc::gen::inRange(0, 5);
        for (int index = 0; index < count; ++index)
            reply.gossip.members.push_back(randomMember());
        reply.gossip.load.push_back({"a", *rc::gen::arbitrary<std::uint32_t>(), 2});
        reply.gossip.quarantine.push_back({*rc::gen::arbitrary<std::uint64_t>(), 1, 7,
                                           *rc::gen::arbitrary<std::uint64_t>(), 5});
        reply.gossip.accounts.push_back({"north", *rc::gen::arbitrary<std::uint32_t>(), 2.5});
        Error reason;
        const auto decoded = decodeMessage(encodeMessage(reply), reason);
        RC_ASSERT(decoded.has_value());
        const auto &copy = std::get<ProbeReply>(*decoded);
        RC_ASSERT(copy.sequence == reply.sequence);
        RC_ASSERT(copy.sender == reply.sender);
        RC_ASSERT(copy.gossip == reply.gossip);
    });
}

// Guards against a crash or an exception on a corrupt or malicious frame.
TEST_CASE("Corrupt payloads result in ProtocolViolation", "[protocol]")
{
    rc::prop("any bytes decode or fail with ProtocolViolation", [] {
        std::string payload = *rc::gen::string<std::string>();
        if (*rc::gen::arbitrary<bool>())
            payload = std::string("\x01\x06", 2) + payload;
        Error reason;
        if (!decodeMessage(payload, reason))
            RC_ASSERT(reason.code == ErrorCode::ProtocolViolation);
    });
    rc::prop("a truncated message fails", [] {
        const std::string payload = encodeMessage(ForwardCall{1, "i", "a", "s", "p", "k", "body"});
        const auto length = *rc::gen::inRange<std::size_t>(0, payload.size());
        Error reason;
        RC_ASSERT(!decodeMessage(payload.substr(0, length), reason));
    });
}

// Guards against a short frame that makes the process allocate gigabytes because it declares a
// huge list.
TEST_CASE("A list with a declared size beyond its content is rejected", "[protocol]")
{
    std::string payload = encodeMessage(LoadUpdate());
    payload.resize(2);
    for (int depth = 0; depth < 64; ++depth)
        payload += std::string("\xdd\x00\x10\x00\x00", 5);
    Error reason;
    REQUIRE_FALSE(decodeMessage(payload, reason));
    REQUIRE(reason.code == ErrorCode::ProtocolViolation);
    payload.resize(2);
    payload += std::string("\xdd\xff\xff\xff\xff", 5);
    REQUIRE_FALSE(decodeMessage(payload, reason));
    REQUIRE(reason.code == ErrorCode::ProtocolViolation);
}

// Guards against fields of a permit or a limit that are lost or swapped by the codec.
TEST_CASE("Decoded permits and call limits equal the encoded ones", "[protocol]")
{
    const CallLimitMessage limit{"server/1", true, 2.25, 30, 4};
    Error reason;
    auto decoded = decodeMessage(encodeMessage(CallPermitRequest{5, limit, true}), reason);
    REQUIRE(decoded);
    const auto &request = std::get<CallPermitRequest>(*decoded);
    REQUIRE(request.sequence == 5);
    REQUIRE(request.limit == limit);
    REQUIRE(request.isUrgent);
    decoded = decodeMessage(encodeMessage(CallPermitReply{6, true, 70, limit}), reason);
    REQUIRE(decoded);
    const auto &reply = std::get<CallPermitReply>(*decoded);
    REQUIRE(reply.sequence == 6);
    REQUIRE(reply.isGranted);
    REQUIRE(reply.pauseMilliseconds == 70);
    REQUIRE(reply.limit == limit);
    decoded = decodeMessage(encodeMessage(CallLimitUpdate{{limit, {"server/2"}}}), reason);
    REQUIRE(decoded);
    const auto &update = std::get<CallLimitUpdate>(*decoded);
    REQUIRE(update.limits == std::vector<CallLimitMessage>{limit, {"server/2"}});
}

// Guards against fields of the question whether a host reaches a service that the codec loses or
// swaps.
TEST_CASE("Decoded messages on the contact to a service equal the encoded ones", "[protocol]")
{
    Error reason;
    auto decoded = decodeMessage(encodeMessage(ServiceContactRequest{5, "service"}), reason);
    REQUIRE(decoded);
    const auto &request = std::get<ServiceContactRequest>(*decoded);
    REQUIRE(request.sequence == 5);
    REQUIRE(request.service == "service");
    decoded =
            decodeMessage(encodeMessage(ServiceContactReply{6, true, "10.0.0.1:7202", 9}), reason);
    REQUIRE(decoded);
    const auto &reply = std::get<ServiceContactReply>(*decoded);
    REQUIRE(reply.sequence == 6);
    REQUIRE(reply.isReached);
    REQUIRE(reply.relayAddress == "10.0.0.1:7202");
    REQUIRE(reply.configurationVersion == 9);
}

// Guards against fields of a request for a place that are lost or swapped by the codec.
TEST_CASE("A decoded request for a place equals the encoded one", "[protocol]")
{
    const PlacePermitRequest request{5,     "host-run", 6, "server/1", "service", true,
                                     false, 7,          8, 9,          2.5,       10};
    Error reason;
    const auto decoded = decodeMessage(encodeMessage(request), reason);
    REQUIRE(decoded);
    REQUIRE(std::get<PlacePermitRequest>(*decoded) == request);
}

// Guards against fields of a reply that are lost or swapped by the codec.
TEST_CASE("A decoded reply to a store read equals the encoded one", "[protocol]")
{
    ObjectReadReply reply;
    reply.sequence = 1;
    reply.result = ObjectReadResult::HistoryGone;
    reply.revision = 2;
    reply.newestRevision = 3;
    reply.ageMilliseconds = 4;
    reply.digest = 5;
    reply.objects = {{"a", 6, "{}", true}, {"b", 7, "", false}};
    Error reason;
    const auto decoded = decodeMessage(encodeMessage(reply), reason);
    REQUIRE(decoded);
    const auto &copy = std::get<ObjectReadReply>(*decoded);
    REQUIRE(copy.sequence == 1);
    REQUIRE(copy.result == ObjectReadResult::HistoryGone);
    REQUIRE(copy.revision == 2);
    REQUIRE(copy.newestRevision == 3);
    REQUIRE(copy.ageMilliseconds == 4);
    REQUIRE(copy.digest == 5);
    REQUIRE(copy.objects == reply.objects);
}

// Guards against fields of a stream's software version that are lost or swapped by the codec.
TEST_CASE("Decoded software versions of streams equal the encoded ones", "[protocol]")
{
    rc::prop("an update is unchanged", [] {
        RunVersionUpdate update;
        update.sequence = *rc::gen::arbitrary<std::uint64_t>();
        update.sender = *rc::gen::string<std::string>();
        const int count = *rc::gen::inRange(0, 5);
        for (int index = 0; index < count; ++index)
            update.runs.push_back(
                    {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
                     *rc::gen::string<std::string>(), *rc::gen::string<std::string>()});
        Error reason;
        const auto decoded = decodeMessage(encodeMessage(update), reason);
        RC_ASSERT(decoded.has_value());
        const auto &copy = std::get<RunVersionUpdate>(*decoded);
        RC_ASSERT(copy.sequence == update.sequence);
        RC_ASSERT(copy.sender == update.sender);
        RC_ASSERT(copy.runs == update.runs);
    });
    Error reason;
    auto decoded = decodeMessage(encodeMessage(RunVersionUpdateReply{3}), reason);
    REQUIRE(decoded);
    REQUIRE(std::get<RunVersionUpdateReply>(*decoded).sequence == 3);
    const std::vector<RunKeyMessage> keys{{4, 5, "service"}, {6, 7, "other"}};
    decoded = decodeMessage(encodeMessage(RunVersionRequest{8, keys}), reason);
    REQUIRE(decoded);
    const auto &request = std::get<RunVersionRequest>(*decoded);
    REQUIRE(request.sequence == 8);
    REQUIRE(request.runs == keys);
    const std::vector<RunVersionAnswer> answers{{RunVersionResult::Known, "v"},
                                                {RunVersionResult::Ambiguous, ""}};
    decoded = decodeMessage(encodeMessage(RunVersionReply{9, answers}), reason);
    REQUIRE(decoded);
    const auto &reply = std::get<RunVersionReply>(*decoded);
    REQUIRE(reply.sequence == 9);
    REQUIRE(reply.answers == answers);
}

// Guards against a malformed frame that counts as a statement on a stream.
TEST_CASE("Malformed frames on software versions of streams are rejected", "[protocol]")
{
    std::string payload = encodeMessage(RunVersionReply{7, {{RunVersionResult::Ambiguous, ""}}});
    Error reason;
    REQUIRE(decodeMessage(payload, reason));
    // The result is the last byte before the empty version.
    payload[payload.size() - 2] = 3;
    REQUIRE_FALSE(decodeMessage(payload, reason));
    REQUIRE(reason.code == ErrorCode::ProtocolViolation);
    rc::prop("a truncated update fails", [] {
        const std::string whole =
                encodeMessage(RunVersionUpdate{1, "sender", {{1, 2, "s", "v"}, {3, 4, "s", "w"}}});
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
        Error fault;
        RC_ASSERT(!decodeMessage(whole.substr(0, length), fault));
    });
}

// Guards against a lost field of the request for a permit at a cold server.
TEST_CASE("A request for a permit at a cold server is decoded as it was encoded", "[codec]")
{
    const ColdPermitRequest request{7, "server/1", 21.5, 1400, true};
    Error reason;
    const auto decoded = decodeMessage(encodeMessage(request), reason);
    REQUIRE(decoded);
    REQUIRE(std::get<ColdPermitRequest>(*decoded) == request);
}

// Guards against a lost field of the speeds that hosts tell each other.
TEST_CASE("An update of speeds is decoded as it was encoded", "[codec]")
{
    const SpeedUpdate update{3, {{"engine-1", 7.25, 4.0}, {"engine-2", 17.0, 1.5}}};
    Error reason;
    const auto decoded = decodeMessage(encodeMessage(update), reason);
    REQUIRE(decoded);
    REQUIRE(std::get<SpeedUpdate>(*decoded) == update);
}
