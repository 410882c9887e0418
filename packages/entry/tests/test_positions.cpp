#include "entry/calls/callbinding.h"
#include "entry/positions/positioncodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

StreamPosition examplePosition()
{
    RollingDigest digest;
    digest.append("token");
    return {GenerationName("run/1"), BackendServerName("plan 1"), "127.0.0.1:9", 41,
            digest.toHex()};
}

PositionBinding exampleBinding()
{
    return {ClientAccountName("stores"), "0123"};
}

} // namespace

TEST_CASE("A position is decoded unchanged for the same account and body", "[entry]")
{
    const PositionCodec codec("0123456789abcdef");
    Error reason;
    const auto decoded = codec.decode(codec.encode(examplePosition(), exampleBinding()),
                                      exampleBinding(), reason);
    REQUIRE(decoded);
    REQUIRE(decoded->generation == examplePosition().generation);
    REQUIRE(decoded->server == examplePosition().server);
    REQUIRE(decoded->address == examplePosition().address);
    REQUIRE(decoded->index == 41);
    REQUIRE(decoded->digest == examplePosition().digest);
}

// Guards against a caller that resumes a stream of another account or request.
TEST_CASE("A position is refused for another account, body or secret", "[entry]")
{
    const PositionCodec codec("0123456789abcdef");
    const std::string text = codec.encode(examplePosition(), exampleBinding());
    Error reason;
    REQUIRE_FALSE(codec.decode(text, {ClientAccountName("other"), "0123"}, reason));
    REQUIRE_FALSE(codec.decode(text, {ClientAccountName("stores"), "9"}, reason));
    REQUIRE_FALSE(PositionCodec("another secret 123").decode(text, exampleBinding(), reason));
    REQUIRE(reason.code == ErrorCode::InvalidPosition);
}

// Guards against a caller that modifies a position to skip or repeat tokens.
TEST_CASE("A modified position is refused", "[entry]")
{
    rc::prop("any one changed byte makes the position invalid", [] {
        const PositionCodec codec("0123456789abcdef");
        const std::string text = codec.encode(examplePosition(), exampleBinding());
        std::string changed = text;
        const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
        changed[offset] = *rc::gen::distinctFrom(changed[offset]);
        Error reason;
        RC_ASSERT(!codec.decode(changed, exampleBinding(), reason));
    });
    rc::prop("arbitrary text is refused", [](const std::string &text) {
        Error reason;
        RC_ASSERT(!PositionCodec("0123456789abcdef").decode(text, exampleBinding(), reason));
    });
}

TEST_CASE("The rolling digest depends on every token and on token boundaries", "[entry]")
{
    RollingDigest first;
    first.append("ab");
    first.append("c");
    RollingDigest second;
    second.append("a");
    second.append("bc");
    REQUIRE(first.toHex() != second.toHex());
    REQUIRE(RollingDigest::fromHex(first.toHex()).toHex() == first.toHex());
}

// Guards against a caller that forges a binding so that a second host dispatches its call.
TEST_CASE("A call binding is accepted only as issued", "[entry]")
{
    const PositionCodec codec("0123456789abcdef");
    const CallBinding binding{HostIncarnation("00ff"), Milliseconds(1234)};
    const std::string text = formatCallBinding(binding, codec);
    Error reason;
    const auto parsed = parseCallBinding(text, codec, reason);
    REQUIRE(parsed);
    REQUIRE(parsed->incarnation == binding.incarnation);
    REQUIRE(parsed->issuedAt == binding.issuedAt);
    REQUIRE_FALSE(parseCallBinding("00fe" + text.substr(4), codec, reason));
    REQUIRE_FALSE(parseCallBinding("", codec, reason));
    REQUIRE(reason.runState == RunState::NotRun);
}
