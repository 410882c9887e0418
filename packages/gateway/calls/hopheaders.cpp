#include "gateway/calls/hopheaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace sassafrasyard {

namespace {

constexpr std::array<std::string_view, 10> hopFields = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Content-Length"};

/** Returns the field names listed in the Connection fields. */
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const auto &[field, value] : headers) {
        if (!isSameField(field, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            std::string_view name = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
            const std::size_t first = name.find_first_not_of(" \t");
            if (first == std::string_view::npos)
                continue;
            name = name.substr(first, name.find_last_not_of(" \t") - first + 1);
            names.emplace_back(name);
        }
    }
    return names;
}

} // namespace

bool isSameField(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
                == std::tolower(static_cast<unsigned char>(b));
    });
}

HttpHeaders withoutHopFields(const HttpHeaders &headers)
{
    const std::vector<std::string> options = connectionOptions(headers);
    const auto isHopField = [&](std::string_view name) {
        const auto matches = [name](std::string_view other) {
            return isSameField(name, other);
        };
        return std::any_of(hopFields.begin(), hopFields.end(), matches)
                || std::any_of(options.begin(), options.end(), matches);
    };
    HttpHeaders endToEndFields;
    for (const auto &field : headers) {
        if (!isHopField(field.first))
            endToEndFields.push_back(field);
    }
    return endToEndFields;
}

std::string mediaTypeOf(const HttpHeaders &headers)
{
    std::string type = findHeader(headers, "Content-Type").value_or("");
    type.resize(std::min(type.find(';'), type.size()));
    while (!type.empty() && type.back() == ' ')
        type.pop_back();
    std::transform(type.begin(), type.end(), type.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return type;
}

} // namespace sassafrasyard
