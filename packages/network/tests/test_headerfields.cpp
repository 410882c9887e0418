#include "repeatingpeer.h"

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

/** A line of a header with what makes it no field. */
struct BrokenLine
{
    const char *defect;
    std::string text;
};

/** Returns lines that are no fields, each also with the names that frame a body. */
std::vector<BrokenLine> brokenLines()
{
    std::vector<BrokenLine> lines{
            {"no name", ": 1"},
            {"no colon", "X-Field"},
            {"only a control byte", std::string("\x01: 1")},
            {"byte above ASCII", "X\xa0-Field: 1"},
    };
    for (const std::string field : {"X-Field: 1", "Content-Length: 4", "Transfer-Encoding: chunked",
                                    "Connection: keep-alive"}) {
        const std::size_t colon = field.find(':');
        const auto with = [&field](std::size_t at, const std::string &text) {
            return std::string(field).insert(at, text);
        };
        lines.push_back({"blank before the colon", with(colon, " ")});
        lines.push_back({"tabulator before the colon", with(colon, "\t")});
        lines.push_back({"blank inside", with(3, " ")});
        lines.push_back({"blank before the name", with(0, " ")});
        lines.push_back({"tabulator before the name", with(0, "\t")});
        lines.push_back({"several blanks before the name", with(0, "  \t ")});
        for (const char control :
             {'\0', '\x01', '\x08', '\x0b', '\x0c', '\r', '\n', '\x1b', '\x1f', '\x7f'}) {
            lines.push_back({"control byte inside", with(3, std::string(1, control))});
            lines.push_back(
                    {"control byte before the colon", with(colon, std::string(1, control))});
            lines.push_back({"control byte before the name", with(0, std::string(1, control))});
        }
    }
    return lines;
}

/** Returns the ways to end a body of four bytes, with the fields that state them. */
struct Framing
{
    const char *name;
    std::vector<std::string> fields;
    std::string body;
    bool isClosed;
};

std::vector<Framing> framings()
{
    return {
            {"length", {"Content-Length: 4"}, "body", false},
            {"chunks", {"Transfer-Encoding: chunked"}, "4\r\nbody\r\n0\r\n\r\n", false},
            {"close", {"Connection: close"}, "body", true},
    };
}

std::string makeResponse(const std::vector<std::string> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const std::string &field : fields)
        text += field + "\r\n";
    return text + "\r\n" + body;
}

/** Returns the fields of a response with a line at each position in turn. */
std::vector<std::vector<std::string>> withLineAnywhere(const Framing &framing,
                                                       const std::string &line)
{
    std::vector<std::string> fields{"Content-Type: text/plain", "Signature: s"};
    fields.insert(fields.begin() + 1, framing.fields.begin(), framing.fields.end());
    std::vector<std::vector<std::string>> results;
    for (std::size_t at = 0; at <= fields.size(); ++at) {
        results.push_back(fields);
        results.back().insert(results.back().begin() + static_cast<std::ptrdiff_t>(at), line);
    }
    return results;
}

} // namespace

// Guards against an answer with a broken header that becomes a response, with that line passed on
// or, if the line would have framed the body, with another body.
TEST_CASE("A header with a line that is no field is a violation at once", "[heads]")
{
    for (const BrokenLine &line : brokenLines()) {
        for (const Framing &framing : framings()) {
            std::size_t position = 0;
            for (const auto &fields : withLineAnywhere(framing, line.text)) {
                CAPTURE(line.defect, line.text, framing.name, position++);
                requireViolation(readAnswer(makeResponse(fields, framing.body), framing.isClosed));
            }
        }
    }
}

// Guards against a broken line that would have framed the body and without which it ends elsewhere.
TEST_CASE("A broken framing line does not leave the body without framing", "[heads]")
{
    for (const BrokenLine &line : brokenLines()) {
        CAPTURE(line.defect, line.text);
        requireViolation(readAnswer(makeResponse({"Signature: s", line.text}, "body"), true));
        requireViolation(readAnswer(makeResponse({line.text, "Signature: s"}, "body"), true));
    }
}

// Guards against a folded line, which may be a field whose name begins with a blank, that becomes
// part of the value before it.
TEST_CASE("A folded header line is a violation at once", "[heads]")
{
    for (const std::string line : {" folded", "\tfolded", " ", "\t", "  Content-Length: 4"}) {
        for (const Framing &framing : framings()) {
            std::size_t position = 0;
            for (const auto &fields : withLineAnywhere(framing, line)) {
                CAPTURE(line, framing.name, position++);
                requireViolation(readAnswer(makeResponse(fields, framing.body), framing.isClosed));
            }
        }
    }
    requireViolation(readAnswer(makeResponse({"Content-Length:", " 4"}, "body")));
    requireViolation(readAnswer(makeResponse({"Transfer-Encoding:", "\tchunked"}, "0\r\n\r\n")));
}

// Guards against a broken line that is missed because the header arrives in pieces.
TEST_CASE("A broken header line in pieces is a violation", "[heads]")
{
    for (const std::string line : {" X-Field: 1", "X-Field : 1", "X\x01: 1", "\tfolded"}) {
        const std::string text = makeResponse({"Content-Length: 4", line, "Signature: s"}, "body");
        const std::size_t start = text.find("\r\n" + line);
        for (std::size_t split = start; split <= start + 4 + line.size(); ++split) {
            CAPTURE(line, split - start);
            requireViolation(readPieces({text.substr(0, split), text.substr(split)}));
        }
    }
}

// Guards against the same in a provisional response, which is skipped.
TEST_CASE("A provisional response with a broken line is a violation at once", "[heads]")
{
    for (const std::string line : {" X-Field: 1", "X-Field : 1", "X\x01: 1", "X Y: 1", " folded"}) {
        CAPTURE(line);
        const std::string provisional =
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n\r\n";
        requireViolation(readAnswer(provisional + makeResponse({"Content-Length: 4"}, "body")));
    }
}

// Guards against a broken trailer that ends a body as complete or frames it anew.
TEST_CASE("A trailer with a line that is no field is a violation at once", "[heads]")
{
    for (const BrokenLine &line : brokenLines()) {
        // A folded line is obsolete but allowed; trailers are not passed on.
        const bool isFolded = line.text.front() == ' ' || line.text.front() == '\t';
        for (const bool isFirst : {true, false}) {
            if (isFolded && !isFirst)
                continue;
            CAPTURE(line.defect, line.text, isFirst);
            const std::string trailer =
                    isFirst ? line.text + "\r\nX-Sum: 1\r\n" : "X-Sum: 1\r\n" + line.text + "\r\n";
            const std::string body = "4\r\nbody\r\n0\r\n" + trailer + "\r\n";
            requireViolation(readAnswer(makeResponse({"Transfer-Encoding: chunked"}, body)));
        }
    }
}

// Guards against a trailer that reaches callers as a field of the response, folded or not.
TEST_CASE("A trailer is not passed on", "[heads]")
{
    for (const std::string line : {"X-Other: 1", " X-Field: 1", "\tfolded"}) {
        CAPTURE(line);
        const std::string body = "4\r\nbody\r\n0\r\nX-Sum: 1\r\n" + line + "\r\n\r\n";
        const Reading reading = readAnswer(makeResponse({"Transfer-Encoding: chunked"}, body));
        CHECK(reading.status == 200);
        CHECK(reading.body == "body");
        CHECK(reading.headers == HttpHeaders{{"Transfer-Encoding", "chunked"}});
    }
}

// Guards against a check that rejects sound responses.
TEST_CASE("A response with unusual but sound fields is read", "[heads]")
{
    const std::vector<std::string> fields{"X-Empty:", "X-Blanks: \t a b\tc \t",
                                          "x!#$%&'*+-.^_`|~9: 1", "X-Text: \xc3\xa4",
                                          "X-Colon: a: b"};
    for (const Framing &framing : framings()) {
        std::vector<std::string> all = fields;
        all.insert(all.begin() + 2, framing.fields.begin(), framing.fields.end());
        const std::string text = makeResponse(all, framing.body);
        for (std::size_t split = 1; split < text.size(); split += 7) {
            CAPTURE(framing.name, split);
            const Reading reading =
                    readPieces({text.substr(0, split), text.substr(split)}, framing.isClosed);
            CHECK(reading.status == 200);
            CHECK(reading.body == "body");
            CHECK(findHeader(reading.headers, "X-Empty") == "");
            CHECK(findHeader(reading.headers, "X-Blanks") == "a b\tc");
            CHECK(findHeader(reading.headers, "X-Text") == "\xc3\xa4");
            CHECK(findHeader(reading.headers, "X-Colon") == "a: b");
            CHECK(reading.isReusable == !framing.isClosed);
        }
    }
}
