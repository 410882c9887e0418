#include "repeatingpeer.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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
