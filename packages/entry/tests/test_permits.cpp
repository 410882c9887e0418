#include "entry/entry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

namespace net = boost::asio;

/** Returns a port that is free now. */
std::uint16_t freePort(net::io_context &context)
{
    const net::ip::tcp::endpoint any(net::ip::make_address("127.0.0.1"), std::uint16_t{0});
    return net::ip::tcp::acceptor(context, any).local_endpoint().port();
}

/** A host that answers its peers. */
class PeerHost
{
public:
    PeerHost(net::io_context &context, const std::string &name,
             std::function<CallPermitReply(const CallPermitRequest &)> answer)
        : runtime(1)
        , entry(makeSettings(name, freePort(context)), HostIncarnation(name))
        , dispatch(this->entry, this->runtime, context, false)
        , peers(this->entry, this->dispatch, this->runtime, context, makeHooks(std::move(answer)))
    {
        Error reason;
        this->isListening = this->peers.start(reason);
    }

    /** Returns the member record by which other hosts know this one. */
    MemberRecord record() const
    {
        MemberRecord result;
        result.host = this->entry.settings.host;
        result.incarnation = this->entry.incarnation;
        result.peerAddress = this->address();
        return result;
    }

    std::string address() const { return this->entry.settings.peerAddress; }

    int registrations = 0;
    std::vector<CallLimitMessage> ownLimits;
    std::vector<CallLimitMessage> receivedLimits;
    bool acceptsRuns = true;
    std::vector<RunVersionMessage> receivedRuns;
    ActorRuntime runtime;
    EntryState entry;
    DispatchService dispatch;
    PeerService peers;
    bool isListening = false;

private:
    static Settings makeSettings(const std::string &name, std::uint16_t port)
    {
        Settings settings;
        settings.host = HostName(name);
        settings.peerAddress = "127.0.0.1:" + std::to_string(port);
        settings.positionSecret = "0123456789abcdef";
        return settings;
    }

    PeerHooks makeHooks(std::function<CallPermitReply(const CallPermitRequest &)> answer)
    {
        PeerHooks hooks;
        hooks.registry.registerHost = [this](MemberRecord) -> net::awaitable<bool> {
            ++this->registrations;
            co_return true;
        };
        hooks.registry.removeHost = []() -> net::awaitable<void> {
            co_return;
        };
        hooks.leavingServers = [] {
            return std::vector<BackendServerName>();
        };
        hooks.recordLeaving = [](const std::vector<BackendServerName> &) {
        };
        hooks.answerPermitRequest = std::move(answer);
        hooks.callLimits = [this] {
            return this->ownLimits;
        };
        hooks.recordCallLimits = [this](std::span<const CallLimitMessage> messages) {
            this->receivedLimits.assign(messages.begin(), messages.end());
        };
        hooks.recordRunVersions =
                [this](const RunVersionUpdate &update) -> std::optional<RunVersionUpdateReply> {
            if (!this->acceptsRuns)
                return std::nullopt;
            this->receivedRuns = update.runs;
            return RunVersionUpdateReply{update.sequence};
        };
        hooks.answerRunVersions = [this](const RunVersionRequest &request) {
            RunVersionReply reply{request.sequence, {}};
            for (const RunVersionMessage &run : this->receivedRuns)
                reply.answers.push_back({RunVersionResult::Known, run.version});
            return reply;
        };
        hooks.sharesConfiguration = false;
        return hooks;
    }
};

/** Asks for a permit and runs until the request has ended. */
std::optional<CallPermitReply> ask(net::io_context &context, PeerHost &host,
                                   const std::string &address, Error &reason)
{
    std::optional<CallPermitReply> reply;
    bool hasEnded = false;
    net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                CallPermitRequest request;
                request.limit = {"server/1", true, 2.0, 0, 7};
                reply = co_await host.peers.askPermit(address, request, Milliseconds(500), reason);
                hasEnded = true;
            },
            net::detached);
    while (!hasEnded)
        context.run_one();
    return reply;
}

} // namespace

// Guards against permits that get lost between hosts, and against a call that waits for a host that
// can't answer.
TEST_CASE("A host asks a peer for permits and notices one that does not answer", "[permits]")
{
    net::io_context context;
    PeerHost asking(context, "asking", {});
    PeerHost granter(context, "granter", [](const CallPermitRequest &request) {
        CallPermitReply reply;
        reply.sequence = request.sequence;
        reply.isGranted = true;
        reply.pauseMilliseconds = 250;
        reply.limit = request.limit;
        return reply;
    });
    REQUIRE(asking.isListening);
    REQUIRE(granter.isListening);
    Error reason;
    for (int time = 0; time < 3; ++time) {
        const auto reply = ask(context, asking, granter.address(), reason);
        REQUIRE(reply);
        REQUIRE(reply->isGranted);
        REQUIRE(reply->pauseMilliseconds == 250);
        REQUIRE(reply->limit.run == "server/1");
    }
    const Milliseconds start = Clock::steady().now();
    REQUIRE_FALSE(ask(context, granter, asking.address(), reason));
    REQUIRE_FALSE(ask(context, asking, "127.0.0.1:1", reason));
    REQUIRE_FALSE(ask(context, asking, "no address", reason));
    REQUIRE(Clock::steady().now() - start < Milliseconds(1000));
}

// Guards against a request that fails because the peer has closed the connection it is sent on, and
// against idle connections without a limit.
TEST_CASE("A request is sent again on a new connection if its peer closed the idle one",
          "[permits]")
{
    net::io_context context;
    int accepted = 0;
    FrameServer server(context, [&](FrameConnection &connection) -> net::awaitable<void> {
        ++accepted;
        Error ignored;
        const auto payload = co_await connection.receive(Milliseconds(1000), ignored);
        const auto message = decodeMessage(payload.value_or(""), ignored);
        CallPermitReply reply;
        reply.sequence = std::get<CallPermitRequest>(*message).sequence;
        const PeerMessage answer = reply;
        const std::string encoded = encodeMessage(answer);
        co_await connection.send(encoded, Milliseconds(1000), ignored);
    });
    Error reason;
    const auto endpoint = server.listen({"127.0.0.1", 0}, reason);
    REQUIRE(endpoint);
    PeerHost asking(context, "asking", {});
    for (int time = 0; time < 3; ++time)
        REQUIRE(ask(context, asking, endpoint->toString(), reason));
    REQUIRE(accepted == 3);
    PeerConnections connections(Clock::steady(), 1);
    int replies = 0;
    for (int number = 0; number < 3; ++number) {
        net::co_spawn(
                context,
                [&]() -> net::awaitable<void> {
                    Error fault;
                    const CallPermitRequest request{7, {"server/1"}, false};
                    const auto reply = co_await connections.exchange<CallPermitReply>(
                            endpoint->toString(), request, Milliseconds(1000), fault);
                    replies += reply ? 1 : 0;
                },
                net::detached);
    }
    while (replies < 3)
        context.run_one();
    REQUIRE(connections.idleCount() == 1);
}

// Guards against software versions of streams that get lost between hosts, and against a host that
// takes an update which its peer did not accept for told.
TEST_CASE("A host tells and asks a peer the software versions of streams", "[runs]")
{
    net::io_context context;
    PeerHost first(context, "first", {});
    PeerHost second(context, "second", {});
    std::vector<bool> told;
    std::optional<RunVersionReply> reply;
    bool hasEnded = false;
    const RunVersionUpdate update{0, "first", {{1, 2, "service", "v1"}, {3, 4, "service", "v2"}}};
    const std::vector<bool> acceptances{true, false, true};
    const auto exchange = [&]() -> net::awaitable<void> {
        Error reason;
        for (const bool isAccepted : acceptances) {
            second.acceptsRuns = isAccepted;
            const bool isTold = co_await first.peers.tellRunVersions(second.address(), update,
                                                                     Milliseconds(1000), reason);
            told.push_back(isTold);
        }
        const RunVersionRequest request{0, {{1, 2, "service"}, {3, 4, "service"}}};
        reply = co_await first.peers.askRunVersions(second.address(), request, Milliseconds(1000),
                                                    reason);
        hasEnded = true;
    };
    net::co_spawn(context, exchange, net::detached);
    while (!hasEnded)
        context.run_one();
    REQUIRE(told == acceptances);
    REQUIRE(second.receivedRuns == update.runs);
    REQUIRE(reply);
    REQUIRE(reply->answers
            == std::vector<RunVersionAnswer>{{RunVersionResult::Known, "v1"},
                                             {RunVersionResult::Known, "v2"}});
}

// Guards against a limit that only the hosts keep which were told by the server itself.
TEST_CASE("A host tells its peers the call limits that it knows", "[permits]")
{
    net::io_context context;
    PeerHost first(context, "first", {});
    PeerHost second(context, "second", {});
    REQUIRE(first.isListening);
    REQUIRE(second.isListening);
    first.ownLimits = {{"server/1", true, 2.0, 5, 7}, {"server/2", false, 0.0, 6, 8}};
    first.peers.recordRegisteredHosts({second.record()});
    first.peers.requestLoadUpdate();
    const Milliseconds end = Clock::steady().now() + Milliseconds(3000);
    while (second.receivedLimits.empty() && Clock::steady().now() < end)
        context.run_for(std::chrono::milliseconds(10));
    REQUIRE(second.receivedLimits == first.ownLimits);
}

// Guards against a host that new hosts can't find, because its registration was lost with what the
// store had acknowledged.
TEST_CASE("A host registers again when its registration may have been lost", "[registration]")
{
    net::io_context context;
    PeerHost host(context, "host", {});
    context.run_for(std::chrono::milliseconds(300));
    REQUIRE(host.registrations == 1);
    host.peers.registerAgain();
    context.run_for(std::chrono::milliseconds(300));
    REQUIRE(host.registrations == 2);
}
