#include "network/http/httpmessage.h"

#include <algorithm>
#include <cctype>

namespace sassafrasyard {

namespace {

constexpr int firstFinalStatus = 200;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
                == std::tolower(static_cast<unsigned char>(b));
    });
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (equalsIgnoringCase(field, name))
            return value;
    }
    return std::nullopt;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = this->target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(this->target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percentDecode(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

bool isProvisionalStatus(int status)
{
    constexpr int firstProvisionalStatus = 100;
    constexpr int switchingProtocolsStatus = 101;
    return status >= firstProvisionalStatus && status < firstFinalStatus
            && status != switchingProtocolsStatus;
}

bool isFinalStatus(int status)
{
    constexpr int firstUndefinedStatus = 600;
    return status >= firstFinalStatus && status < firstUndefinedStatus;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool hasDigits = text[index] == '%' && index + 2 < text.size();
        const int high = hasDigits ? hexValue(text[index + 1]) : -1;
        const int low = hasDigits ? hexValue(text[index + 2]) : -1;
        if (high < 0 || low < 0) {
            decoded.push_back(text[index]);
            continue;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        index += 2;
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_'
            || character == '~') {
            encoded.push_back(character);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 0xFU]);
    }
    return encoded;
}

} // namespace sassafrasyard
