#include "entry/positions/positioncodec.h"

#include "entry/positions/sha256hasher.h"
#include "network/network.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <span>
#include <vector>

namespace sassafrasyard {

namespace {

constexpr std::size_t hmacBlockBytes = 64;
constexpr std::size_t macBytes = 12;
constexpr char separator = '/';

Sha256Hasher::Digest sha256(std::initializer_list<std::string_view> parts)
{
    return Sha256Hasher::forCurrentThread().digest(std::span(parts.begin(), parts.size()));
}

std::string_view toText(std::span<const unsigned char> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string toHexDigits(std::span<const unsigned char> bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

std::string authenticatedText(std::string_view fields, const PositionBinding &binding)
{
    std::string text(fields);
    text.push_back(separator);
    text += percentEncode(binding.account.toString());
    text.push_back(separator);
    text += binding.bodyDigest;
    return text;
}

} // namespace

RollingDigest RollingDigest::fromHex(std::string_view hex)
{
    RollingDigest digest;
    if (hex.size() != digest.bytes.size() * 2)
        return {};
    for (std::size_t index = 0; index < digest.bytes.size(); ++index) {
        const char *first = hex.data() + index * 2;
        unsigned value = 0;
        const auto [end, code] = std::from_chars(first, first + 2, value, 16);
        if (code != std::errc() || end != first + 2)
            return {};
        digest.bytes[index] = static_cast<unsigned char>(value);
    }
    return digest;
}

void RollingDigest::append(std::string_view token)
{
    const auto digest = sha256({toText(this->bytes), token});
    std::copy_n(digest.begin(), this->bytes.size(), this->bytes.begin());
}

std::string RollingDigest::toHex() const
{
    return toHexDigits(this->bytes);
}

PositionCodec::PositionCodec(std::string_view secret)
{
    std::string key(secret);
    if (key.size() > hmacBlockBytes) {
        key = toText(sha256({key}));
    }
    key.resize(hmacBlockBytes, '\0');
    for (const char character : key) {
        this->innerKey.push_back(static_cast<char>(character ^ 0x36));
        this->outerKey.push_back(static_cast<char>(character ^ 0x5c));
    }
}

std::string PositionCodec::encode(const StreamPosition &position,
                                  const PositionBinding &binding) const
{
    std::string text = percentEncode(position.server.toString());
    text.push_back(separator);
    text += percentEncode(position.address);
    text.push_back(separator);
    text += percentEncode(position.generation.toString());
    text.push_back(separator);
    text += std::to_string(position.index);
    text.push_back(separator);
    text += position.digest;
    const std::string mac = this->authenticationCode(authenticatedText(text, binding));
    text.push_back(separator);
    text += mac;
    return text;
}

std::optional<StreamPosition> PositionCodec::decode(std::string_view text,
                                                    const PositionBinding &binding,
                                                    Error &reason) const
{
    reason = {ErrorCode::InvalidPosition,
              RunState::NotRun,
              "the position is malformed or belongs to another request",
              {}};
    const std::vector<std::string_view> parts = split(text);
    if (parts.size() != 6)
        return std::nullopt;
    const std::string_view fields = text.substr(0, text.size() - parts[5].size() - 1);
    const std::string mac = this->authenticationCode(authenticatedText(fields, binding));
    if (mac.size() != parts[5].size()
        || CRYPTO_memcmp(mac.data(), parts[5].data(), mac.size()) != 0)
        return std::nullopt;
    StreamPosition position;
    position.server = BackendServerName(percentDecode(parts[0]));
    position.address = percentDecode(parts[1]);
    position.generation = GenerationName(percentDecode(parts[2]));
    std::from_chars(parts[3].data(), parts[3].data() + parts[3].size(), position.index);
    position.digest = parts[4];
    return position;
}

std::string PositionCodec::authenticationCode(std::string_view text) const
{
    const auto inner = sha256({this->innerKey, text});
    const auto outer = sha256({this->outerKey, toText(inner)});
    return toHexDigits(std::span(outer).first(macBytes));
}

} // namespace sassafrasyard
