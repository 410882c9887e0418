#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** Controls the stand-in engines of a run over direct connections, without an entry host. */
class EngineFleet
{
public:
    /** Creates a fleet of the engines at these addresses. */
    explicit EngineFleet(std::vector<Endpoint> engines);
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /**
     * Sets the slowdown of some engines; engines that do not respond are skipped.
     *
     * @param first,count a range of the engines in the order of the constructor.
     * @param factor the multiple of the usual time per token.
     */
    boost::asio::awaitable<void> setSlowdown(std::size_t first, std::size_t count, double factor);

    /** Sums the preemptions and stall times that the engines report; skips unreachable engines. */
    boost::asio::awaitable<void> readTotals();

    /** Returns the preemptions that readTotals() read; 0 before. */
    std::uint64_t preemptions() const;

    /** Returns the stall time that readTotals() read, in milliseconds; 0 before. */
    std::uint64_t stallMilliseconds() const;

private:
    std::vector<Endpoint> engines;
    std::uint64_t preemptionTotal = 0;
    std::uint64_t stallTotal = 0;
};

} // namespace sassafrasyard
