#pragma once

#include "core/core.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An entry host that callers may use. */
struct EntryAddress
{
    /** Its address for callers. */
    Endpoint endpoint;
    /** Its relative weight when an address is chosen at random. */
    int weight = 1;
    /** The incarnation that binds a non-idempotent call to the host. */
    std::string incarnation;
};

/** Caches the entry hosts of one failure domain until their keep_ms has passed; thread-safe. */
class EntryAddressCache
{
public:
    /** Creates an empty cache. @param bootstrap entry hosts that are asked for the addresses. */
    EntryAddressCache(std::vector<Endpoint> bootstrap, std::string failureDomain,
                      std::string apiKey, std::uint64_t seed);
    EntryAddressCache(const EntryAddressCache &) = delete;
    EntryAddressCache &operator=(const EntryAddressCache &) = delete;

    /** Chooses an address by weight; refreshes an expired list first. @return nothing if empty. */
    boost::asio::awaitable<std::optional<EntryAddress>> choose();

    /** Makes the next choose() refresh the list, after an address did not answer. */
    void invalidate();

private:
    boost::asio::awaitable<void> refresh();

    std::vector<Endpoint> bootstrap;
    std::string failureDomain;
    std::string apiKey;
    std::mutex mutex;
    RandomSource random;
    std::vector<EntryAddress> addresses;
    Milliseconds expiresAt{0};
};

} // namespace sassafrasyard
