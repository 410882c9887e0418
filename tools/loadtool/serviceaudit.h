#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** Counts the orders that the stand-in services ran and finds those that ran more than once. */
class ServiceAudit
{
public:
    /** Creates an audit of the services at these addresses. */
    explicit ServiceAudit(std::vector<Endpoint> services);
    ServiceAudit(const ServiceAudit &) = delete;
    ServiceAudit &operator=(const ServiceAudit &) = delete;

    /** Reads the number of runs per idempotency key; services that do not respond are skipped. */
    boost::asio::awaitable<void> readRuns();

    /** Returns the number of distinct idempotency keys that ran; 0 before readRuns(). */
    std::uint64_t ordersRun() const;

    /** Returns the number of runs beyond the first one of each key, over all services. */
    std::uint64_t repeatedRuns() const;

private:
    std::vector<Endpoint> services;
    std::uint64_t orders = 0;
    std::uint64_t repeated = 0;
};

} // namespace sassafrasyard
