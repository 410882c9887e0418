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
    /** Its address. */
    Endpoint endpoint;
    /** Its share among the addresses. */
    int weight = 1;
    /** The text that binds a non-idempotent call to it. */
    std::string incarnation;
};

/** The entry hosts as one failure domain's callers know them; the answer is kept as long as told.
 */
class EntryAddressCache
{
public:
    /** Creates an empty book. @param bootstrap entry hosts that are asked first. */
    EntryAddressCache(std::vector<Endpoint> bootstrap, std::string failureDomain,
                      std::string apiKey, std::uint64_t seed);
    EntryAddressCache(const EntryAddressCache &) = delete;
    EntryAddressCache &operator=(const EntryAddressCache &) = delete;

    /** Chooses an address by weight; asks for the list if the kept one is too old. */
    boost::asio::awaitable<std::optional<EntryAddress>> choose();

    /** Makes the next choose() ask again, after an address did not answer. */
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
