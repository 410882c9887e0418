#include "gateway/runs/runkey.h"

#include "configuration/documents/configurationdocument.h"

#include <charconv>
#include <string>

namespace sassafrasyard {

namespace {

constexpr std::size_t digitsPerHalf = 16;

std::uint64_t parseHex(std::string_view digits)
{
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

} // namespace

RunKey RunKey::of(const ClientAccountName &account, std::string_view requestId)
{
    // With the size of the account first, no two pairs give the same text.
    std::string text = std::to_string(account.toString().size()) + ":" + account.toString();
    text += requestId;
    const std::string digest = sha256Hex(text);
    const std::string_view digits = digest;
    return {parseHex(digits.substr(0, digitsPerHalf)),
            parseHex(digits.substr(digitsPerHalf, digitsPerHalf))};
}

} // namespace sassafrasyard
