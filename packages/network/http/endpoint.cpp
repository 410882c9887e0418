#include "network/http/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace sassafrasyard {

std::string Endpoint::toString() const
{
    const bool isV6 = this->address.find(':') != std::string::npos;
    return (isV6 ? "[" + this->address + "]" : this->address) + ":" + std::to_string(this->port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text, Error &reason)
{
    const std::size_t colon = text.rfind(':');
    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    bool isValid = colon != std::string_view::npos;
    if (isValid) {
        const std::string_view digits = text.substr(colon + 1);
        const auto [end, code] =
                std::from_chars(digits.data(), digits.data() + digits.size(), port);
        isValid = code == std::errc() && end == digits.data() + digits.size() && !digits.empty();
    }
    boost::system::error_code ignored;
    boost::asio::ip::make_address(std::string(host), ignored);
    if (!isValid || ignored) {
        reason = {ErrorCode::InvalidRequest, RunState::NotRun,
                  "not an address of the form IP:port: " + std::string(text), std::nullopt};
        return std::nullopt;
    }
    return Endpoint{std::string(host), port};
}

} // namespace sassafrasyard
