#include "entryaddresscache.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr HttpTimeouts addressTimeouts{Milliseconds(1000), Milliseconds(2000)};
constexpr std::size_t maximumAttempts = 3;

std::vector<EntryAddress> parseAddresses(const json &document)
{
    std::vector<EntryAddress> addresses;
    for (const json &item : document.value("addresses", json::array())) {
        Error ignored;
        const auto endpoint = parseEndpoint(item.value("address", ""), ignored);
        if (endpoint)
            addresses.push_back(
                    {*endpoint, item.value("weight", 1), item.value("incarnation", "")});
    }
    return addresses;
}

} // namespace

EntryAddressCache::EntryAddressCache(std::vector<Endpoint> bootstrap, std::string failureDomain,
                                     std::string apiKey, std::uint64_t seed)
    : bootstrap(std::move(bootstrap))
    , failureDomain(std::move(failureDomain))
    , apiKey(std::move(apiKey))
    , random(seed)
{
}

net::awaitable<std::optional<EntryAddress>> EntryAddressCache::choose()
{
    bool isExpired = false;
    {
        const std::lock_guard lock(this->mutex);
        isExpired = Clock::steady().now() >= this->expiresAt;
    }
    if (isExpired)
        co_await this->refresh();
    const std::lock_guard lock(this->mutex);
    std::uint64_t total = 0;
    for (const EntryAddress &address : this->addresses)
        total += static_cast<std::uint64_t>(address.weight);
    if (total == 0)
        co_return std::nullopt;
    std::uint64_t remainingWeight = this->random.below(total);
    for (const EntryAddress &address : this->addresses) {
        if (remainingWeight < static_cast<std::uint64_t>(address.weight))
            co_return address;
        remainingWeight -= static_cast<std::uint64_t>(address.weight);
    }
    co_return std::nullopt;
}

void EntryAddressCache::invalidate()
{
    const std::lock_guard lock(this->mutex);
    this->expiresAt = Milliseconds(0);
}

net::awaitable<void> EntryAddressCache::refresh()
{
    HttpRequest request;
    request.target = "/v1/addresses?failure_domain=" + percentEncode(this->failureDomain);
    request.headers.emplace_back("Authorization", "Bearer " + this->apiKey);
    for (std::size_t attempt = 0; attempt < maximumAttempts; ++attempt) {
        Endpoint host;
        {
            const std::lock_guard lock(this->mutex);
            host = this->bootstrap[this->random.below(this->bootstrap.size())];
        }
        Error reason;
        const auto response = co_await sendHttpRequest(host, request, addressTimeouts, reason);
        if (!response || response->status != 200)
            continue;
        const json document = json::parse(response->body, nullptr, false);
        if (!document.is_object())
            continue;
        const std::lock_guard lock(this->mutex);
        this->addresses = parseAddresses(document);
        this->expiresAt = Clock::steady().now() + Milliseconds(document.value("keep_ms", 1000));
        co_return;
    }
}

} // namespace sassafrasyard
