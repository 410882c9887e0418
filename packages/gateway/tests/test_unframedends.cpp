#include "logcapture.h"
#include "rawserver.h"
#include "strandedhosts.h"
#include "unframedengines.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace net = boost::asio;

namespace {

RunStopResult loseAnswer(const RunStopResult &)
{
    return {};
}

/** Returns an answer that lacks the memory of the run, as one to a repeated request. */
RunStopResult withoutMemory(RunStopResult answer)
{
    answer.memory.reset();
    answer.isCopied = false;
    return answer;
}

/** A stand-in for a peer that answers each call with the same bytes and closes the connection. */
class RawPeer
{
public:
    RawPeer(net::io_context &context, std::string response)
        : acceptor(context,
                   net::ip::tcp::endpoint(net::ip::make_address("127.0.0.1"), std::uint16_t{0}))
        , response(std::move(response))
    {
        net::co_spawn(
                context, [this] { return this->accept(); }, net::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /** The number of calls that were answered. */
    int callCount = 0;

private:
    net::awaitable<void> accept()
    {
        boost::system::error_code code;
        while (!code) {
            net::ip::tcp::socket socket = co_await this->acceptor.async_accept(
                    net::redirect_error(net::use_awaitable, code));
            if (!code)
                co_await this->answer(socket);
        }
    }

    net::awaitable<void> answer(net::ip::tcp::socket &socket)
    {
        const std::string head = co_await readHead(socket);
        if (head.empty())
            co_return;
        ++this->callCount;
        co_await sendText(socket, this->response);
    }

    net::ip::tcp::acceptor acceptor;
    std::string response;
};

/** Returns the response of a peer to a call. @param framing its framing fields, as lines. */
std::string peerResponse(const std::string &framing, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" + framing
            + "\r\n" + body;
}

} // namespace

// Guards against a stream without a length and chunks that ends as complete where its engine
// stopped the run at this host's request.
TEST_CASE("An unframed stream goes on after its run was stopped", "[unframed]")
{
    UnframedEngines engines;
    engines.copiesMemory = GENERATE(true, false);
    engines.keepsMemory = !engines.copiesMemory;
    engines.hasBackups = GENERATE(true, false);
    const Milliseconds answerTime = GENERATE(Milliseconds(0), Milliseconds(150));
    engines.fixture.stopAnswerTime = [=](const MoveOrder &) {
        return answerTime;
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    CHECK(engines.runs.size() == 2);
}

// Guards against the same where the answer to the request was lost.
TEST_CASE("An unframed stream goes on after the answer to its stop was lost", "[unframed]")
{
    UnframedEngines engines;
    engines.changeAnswer = loseAnswer;
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    CHECK(engines.runs.size() == 2);
}

// Guards against a complete response although the end is unknown and no copy is left.
TEST_CASE("An unframed stream whose end is unknown does not look complete", "[unframed]")
{
    UnframedEngines engines;
    bool isFirst = true;
    engines.changeAnswer = [&](const RunStopResult &answer) {
        // The backup is lost with the stop.
        engines.hasBackups = false;
        return std::exchange(isFirst, false) ? RunStopResult{} : withoutMemory(answer);
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 0);
    CHECK(engines.runs.size() == 1);
}

// Guards against a sound stream that is cut or run again, because its run ends by itself while a
// request to stop it is under way, is declined or was never made.
TEST_CASE("An unframed stream that ends by itself is complete", "[unframed]")
{
    UnframedEngines engines;
    const bool isLeaving = GENERATE(true, false);
    engines.leavesBefore = isLeaving ? UnframedEngines::lastEvent - 1 : 0;
    engines.stopsRuns = false;
    engines.hasBackups = GENERATE(true, false);
    const bool isAbsent = GENERATE(true, false);
    engines.changeAnswer = [=](RunStopResult answer) {
        if (isAbsent)
            answer.state = RunStopResult::State::Stopped;
        return answer;
    };
    const Milliseconds answerTime = GENERATE(Milliseconds(0), Milliseconds(150));
    engines.fixture.stopAnswerTime = [=](const MoveOrder &) {
        return answerTime;
    };
    const HttpResponse answer = engines.call();
    CHECK(answer.status == 200);
    CHECK(answer.body == UnframedEngines::events());
    CHECK(engines.runs.size() == 1);
}

// Guards against a log that does not tell a stream that its engine stopped from one that ended.
TEST_CASE("The log tells what ended the body of a stream and what was asked", "[unframed]")
{
    UnframedEngines engines;
    engines.leavesBefore = 0;
    const LogCapture capture;
    REQUIRE(engines.call().status == 200);
    const auto lines = capture.lines("call_answered");
    REQUIRE(lines.size() == 1);
    CHECK(LogCapture::field(lines[0], "framing") == "close");
    CHECK(LogCapture::field(lines[0], "stop") == "none");
}

// Guards against a relayed stream that ends as complete although its peer, whose responses have a
// length or chunks, has ended inside it.
TEST_CASE("A relayed stream whose body has no framing does not look complete", "[unframed]")
{
    const std::string event = "id: 1\ndata: t\n\n";
    const auto [framing, body, isWhole] = GENERATE_COPY(table<std::string, std::string, bool>({
            {"Connection: close\r\n", event, false},
            {"Transfer-Encoding: chunked\r\n", "f\r\n" + event + "\r\n", false},
            {"Transfer-Encoding: chunked\r\n", "f\r\n" + event + "\r\n0\r\n\r\n", true},
            {"Content-Length: 15\r\n", event, true},
    }));
    REQUIRE(event.size() == 15);
    const auto refuse = [](const HttpRequest &request,
                           HttpResponder &responder) -> net::awaitable<void> {
        HttpResponse refusal = GatewayFixture::refusal(request);
        co_await responder.send(std::move(refusal));
    };
    StrandedHosts stranded(UnframedEngines::makeRoute(), StrandedHosts::Cut::Refused, refuse);
    RawPeer peer(*stranded.hosts.context, peerResponse(framing, body));
    stranded.setPeers({{"1", peer.address()}});
    stranded.notice();
    const HttpResponse answer = stranded.call("/stream/");
    CHECK(peer.callCount == 1);
    CHECK(answer.status == (isWhole ? 200 : 0));
    CHECK(stranded.hosts.hosts[0]->receivedBody == event);
}
