#include "network/network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace sassafrasyard;

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

constexpr Milliseconds responseTimeout{3000};
/** Within this time an answer that is not waited for has been judged. */
constexpr Milliseconds judgedWithin{1000};

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** A server that sends the same bytes once on each connection. */
class RepeatingPeer
{
public:
    RepeatingPeer(net::io_context &context, std::string text, bool isClosed)
        : acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
        , text(std::move(text))
        , isClosed(isClosed)
    {
        net::co_spawn(
                context, [this, &context] { return this->accept(context); }, net::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    net::awaitable<void> accept(net::io_context &context)
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(
                    co_await this->acceptor.async_accept(net::use_awaitable));
            net::co_spawn(
                    context, [this, socket] { return this->respond(socket); }, net::detached);
        }
    }

    net::awaitable<void> respond(std::shared_ptr<tcp::socket> socket)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code code;
        co_await socket->async_read_some(net::buffer(bytes),
                                         net::redirect_error(net::use_awaitable, code));
        co_await net::async_write(*socket, net::buffer(this->text),
                                  net::redirect_error(net::use_awaitable, code));
        // An open connection is held until the client closes it.
        if (!this->isClosed)
            co_await socket->async_read_some(net::buffer(bytes),
                                             net::redirect_error(net::use_awaitable, code));
    }

    tcp::acceptor acceptor;
    std::string text;
    bool isClosed;
};

/** What the client made of an answer. */
struct Reading
{
    /** The status and body, if there is a complete response. */
    int status = 0;
    std::string body;
    Error reason;
    Milliseconds elapsed{0};
    bool isReusable = false;
    bool isOpen = false;
};

/** Sends a request to a server that answers with these bytes, and returns what the client made. */
Reading readAnswer(const std::string &bytes, bool isClosed = false)
{
    net::io_context context;
    const RepeatingPeer peer(context, bytes, isClosed);
    Reading reading;
    bool isDone = false;
    const auto task = [&]() -> net::awaitable<void> {
        const net::any_io_executor executor = context.get_executor();
        HttpConnection connection(executor, peer.endpoint());
        co_await connection.connect(Milliseconds(500), reading.reason);
        HttpRequest request;
        request.method = "POST";
        request.headers = {{"Host", "h"}};
        request.body = "body";
        const Milliseconds start = Clock::steady().now();
        const auto response =
                co_await connection.exchange(request, responseTimeout, reading.reason);
        if (response) {
            const auto body = co_await connection.readAll(1000, responseTimeout, reading.reason);
            reading.status = body ? response->status : 0;
            reading.body = body.value_or("");
        }
        reading.elapsed = Clock::steady().now() - start;
        reading.isReusable = connection.isReusable();
        reading.isOpen = connection.isIdle();
        isDone = true;
    };
    net::co_spawn(context, task, net::detached);
    while (!isDone)
        context.run_one();
    return reading;
}

void requireViolation(const Reading &reading)
{
    CHECK(reading.status == 0);
    CHECK(reading.reason.code == ErrorCode::ProtocolViolation);
    CHECK(reading.reason.runState == RunState::OutcomeUnknown);
    CHECK(reading.elapsed < judgedWithin);
    CHECK_FALSE(reading.isReusable);
    CHECK_FALSE(reading.isOpen);
}

/** The header fields and the body that follow a status line. */
struct Form
{
    const char *name;
    std::string text;
    /** Whether the server closes the connection after it. */
    bool isClosed = false;
};

std::string withLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Returns a status line and what follows it. */
std::string makeAnswer(const std::string &status, const std::string &rest)
{
    return "HTTP/1.1 " + status + " Text\r\n" + rest;
}

std::string chunked(const std::string &body)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return "Transfer-Encoding: chunked\r\n\r\n" + std::string(size.data()) + body + "\r\n0\r\n\r\n";
}

std::vector<Form> answerForms()
{
    return {
            {"no field", "\r\n"},
            {"empty body", withLength("")},
            {"length", withLength("error")},
            {"length, body like a response", withLength(okResponse)},
            {"chunks", chunked("error")},
            {"chunks, body like a response", chunked(okResponse)},
            {"close", "Connection: close\r\n\r\nerror", true},
            {"close, body like a response", "Connection: close\r\n\r\n" + okResponse, true},
            {"upgrade", "Connection: Upgrade\r\nUpgrade: other\r\n\r\n" + okResponse},
    };
}

} // namespace

// Guards against the body of an answer with a status that HTTP does not define, or with a switch to
// another protocol, being read as the response; and against a wait for another one.
TEST_CASE("A status that is no response to a request is a violation at once", "[status]")
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        for (const Form &form : answerForms()) {
            CAPTURE(status, form.name);
            const Reading reading = readAnswer(makeAnswer(status, form.text), form.isClosed);
            requireViolation(reading);
            CHECK(reading.reason.detail.find("status " + status) != std::string::npos);
        }
    }
}

// Guards against the same after a provisional response.
TEST_CASE("A status that is no response is a violation after a provisional one", "[status]")
{
    for (const std::string status : {"000", "099", "101", "600"}) {
        CAPTURE(status);
        std::string text = makeAnswer("100", "\r\n");
        text += makeAnswer(status, withLength(okResponse));
        requireViolation(readAnswer(text));
    }
}

// Guards against a status line that is not one and that is waited out or read as a response.
TEST_CASE("A status without three digits is a violation at once", "[status]")
{
    for (const std::string status : {"", "0", "20", "2000", "-01", "2x0", "0x1"}) {
        CAPTURE(status);
        requireViolation(readAnswer(makeAnswer(status, withLength(okResponse))));
    }
}

// Guards against a provisional response that is taken for the final one or that fails the call.
TEST_CASE("Provisional responses before the final one are skipped", "[status]")
{
    for (const std::string status : {"100", "102", "103", "199"}) {
        for (const std::string fields : {"", "Link: </a>\r\n", "Content-Length: 0\r\n"}) {
            for (const int count : {1, 2, 16}) {
                CAPTURE(status, fields, count);
                std::string text;
                for (int index = 0; index < count; ++index)
                    text.append(makeAnswer(status, fields)).append("\r\n");
                text += okResponse;
                const Reading reading = readAnswer(text);
                CHECK(reading.status == 200);
                CHECK(reading.body == "ok");
                CHECK(reading.isReusable);
                CHECK(reading.elapsed < judgedWithin);
            }
        }
    }
}

// Guards against the body of a provisional response, which has none, being skipped or returned.
TEST_CASE("What follows a provisional response is the next one", "[status]")
{
    for (const std::string status : {"100", "102", "103"}) {
        CAPTURE(status);
        for (const Form &form : std::vector<Form>{
                     {"length", withLength("error")},
                     {"chunks", chunked("error")},
                     {"chunks, body like a response", chunked(okResponse)},
                     {"close", "Connection: close\r\n\r\nerror"},
             }) {
            CAPTURE(form.name);
            std::string text = makeAnswer(status, form.text);
            text += okResponse;
            requireViolation(readAnswer(text));
        }
        // Its fields don't change that it ends with its header.
        std::string text = makeAnswer(status, withLength(okResponse));
        const Reading reading = readAnswer(text);
        CHECK(reading.status == 200);
        CHECK(reading.body == "ok");
        text += okResponse;
        CHECK_FALSE(readAnswer(text).isReusable);
    }
}

// Guards against a connection that was closed after too many provisional responses and is kept for
// the next request.
TEST_CASE("A connection with too many provisional responses is not reused", "[status]")
{
    std::string text;
    for (int index = 0; index < 17; ++index)
        text += makeAnswer("100", "\r\n");
    requireViolation(readAnswer(text));
}
