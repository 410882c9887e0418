#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** Asks the stand-in services which orders they ran. */
class ServiceAudit
{
public:
    /** Creates an audit of services. */
    explicit ServiceAudit(std::vector<Endpoint> services);
    ServiceAudit(const ServiceAudit &) = delete;
    ServiceAudit &operator=(const ServiceAudit &) = delete;

    /** Reads the runs of every key from all services. */
    boost::asio::awaitable<void> readRuns();

    /** Returns how many keys were run. */
    std::uint64_t ordersRun() const;

    /** Returns how many runs were second or later runs of a key, on any service. */
    std::uint64_t repeatedRuns() const;

private:
    std::vector<Endpoint> services;
    std::uint64_t orders = 0;
    std::uint64_t repeated = 0;
};

} // namespace sassafrasyard
