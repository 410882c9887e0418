#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Header fields of an HTTP message, in order. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Returns the first value of a header field; names are compared case-insensitively. */
std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name);

/** An HTTP request. */
struct HttpRequest
{
    /** The method, such as "POST". */
    std::string method = "GET";
    /** The request target: path and query. */
    std::string target = "/";
    /** The header fields, without the Host and Content-Length that the client adds. */
    HttpHeaders headers;
    /** The body. */
    std::string body;

    /** Returns the path without the query. */
    std::string_view path() const;

    /** Returns a query parameter, percent-decoded, or nothing. */
    std::optional<std::string> query(std::string_view name) const;
};

/** An HTTP response. */
struct HttpResponse
{
    /** The status code. */
    int status = 200;
    /** The header fields, without the Content-Length that the server adds. */
    HttpHeaders headers;
    /** The body. */
    std::string body;
};

/**
 * Returns whether a response with this status precedes another one to the same request: 1xx, except
 * 101, which agrees to change the protocol and so ends the exchange.
 */
bool isProvisionalStatus(int status);

/** Returns whether a response with this status answers a request: 200 to 599. */
bool isFinalStatus(int status);

/** Decodes percent escapes; malformed escapes stay as they are. */
std::string percentDecode(std::string_view text);

/** Percent-encodes every byte except the unreserved characters of RFC 3986. */
std::string percentEncode(std::string_view text);

} // namespace sassafrasyard
