#include "entry/peers/peerservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
#include <string>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

constexpr Milliseconds frameTimeout{1000};

Settings testSettings()
{
    Settings settings;
    settings.host = HostName("entry-1");
    settings.positionSecret = "0123456789abcdef";
    return settings;
}

/** A host that forwards calls to a stand-in for another host, which answers with a status. */
struct ForwardFixture
{
    ForwardFixture()
        : runtime(1)
        , state(testSettings(), HostIncarnation("run"))
        , dispatch(this->state, this->runtime, this->context)
        , peers(this->state, this->dispatch, this->runtime, this->context, PeerHooks())
        , owner(this->context,
                [this](FrameConnection &connection) { return this->answer(connection); })
    {
        Error reason;
        MemberRecord record;
        record.host = HostName("entry-2");
        record.incarnation = HostIncarnation("other-run");
        record.peerAddress = this->owner.listen({"127.0.0.1", 0}, reason)->toString();
        this->state.publishMembers({record}, 1);
    }

    net::awaitable<void> answer(FrameConnection &connection)
    {
        Error reason;
        const auto frame = co_await connection.receive(frameTimeout, reason);
        const auto message = frame ? decodeMessage(*frame, reason) : std::nullopt;
        const auto *call = message ? std::get_if<ForwardCall>(&*message) : nullptr;
        if (call == nullptr)
            co_return;
        ForwardReply reply;
        reply.sequence = call->sequence;
        reply.status = this->status;
        reply.body = "answer";
        const std::string payload = encodeMessage(PeerMessage(reply));
        co_await connection.send(payload, frameTimeout, reason);
    }

    HttpResponse forward(std::uint32_t answeredStatus)
    {
        this->status = answeredStatus;
        std::optional<HttpResponse> response;
        net::co_spawn(
                this->context,
                [&]() -> net::awaitable<void> {
                    const ServiceCall call{ClientAccountName("a"), "service", "/x", "key", "body"};
                    response = co_await this->peers.forward(HostIncarnation("other-run"), call);
                },
                net::detached);
        while (!response)
            this->context.run_one();
        return *response;
    }

    net::io_context context;
    ActorRuntime runtime;
    EntryState state;
    DispatchService dispatch;
    PeerService peers;
    FrameServer owner;
    std::uint32_t status = 0;
};

} // namespace

// Guards against a caller that gets a status that HTTP does not define from another host, such as
// one of an older version.
TEST_CASE("A forwarded call is not answered with an undefined status", "[status]")
{
    ForwardFixture fixture;
    for (const std::uint32_t status : {0U, 1U, 99U, 100U, 101U, 600U, 999U, 1000U, 4294967295U}) {
        CAPTURE(status);
        const HttpResponse response = fixture.forward(status);
        CHECK(response.status == 409);
        CHECK(response.body.find("host_incarnation_unknown") != std::string::npos);
        CHECK(response.body.find("outcome_unknown") != std::string::npos);
    }
    for (const std::uint32_t status : {200U, 204U, 404U, 409U, 503U, 599U}) {
        CAPTURE(status);
        const HttpResponse response = fixture.forward(status);
        CHECK(response.status == static_cast<int>(status));
        CHECK(response.body == "answer");
    }
}
