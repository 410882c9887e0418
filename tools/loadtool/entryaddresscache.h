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
    /** The address at which the host accepts calls. */
    Endpoint endpoint;
    /** The relative weight of this address when one is chosen at random. */
    int weight = 1;
    /** The host's incarnation, which non-idempotent calls send back in Sassafrasyard-Incarnation.
     */
    std::string incarnation;
};

/**
 * Caches the entry hosts that GET /v1/addresses lists for one failure domain and one account.
 *
 * A list expires after the keep_ms of the answer. The functions may be called from several threads.
 */
class EntryAddressCache
{
public:
    /**
     * Creates an empty cache.
     *
     * @param bootstrap the entry hosts that are asked for the list; must not be empty.
     * @param failureDomain the failure domain for which addresses are requested.
     * @param apiKey the account's API key.
     * @param seed the seed of the random choices.
     */
    EntryAddressCache(std::vector<Endpoint> bootstrap, std::string failureDomain,
                      std::string apiKey, std::uint64_t seed);
    EntryAddressCache(const EntryAddressCache &) = delete;
    EntryAddressCache &operator=(const EntryAddressCache &) = delete;

    /**
     * Chooses an address at random by weight and refreshes the list first if it has expired.
     *
     * If the refresh fails, the expired list is used.
     *
     * @return nothing if no address is known.
     */
    boost::asio::awaitable<std::optional<EntryAddress>> choose();

    /** Expires the list, so that the next choose() refreshes it. Call it when an address fails. */
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
