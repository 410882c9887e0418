#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <vector>

namespace sassafrasyard {

/** The stand-in engines of a run, reached past the entry hosts. */
class EngineFleet
{
public:
    /** Creates a fleet. */
    explicit EngineFleet(std::vector<Endpoint> engines);
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /** Slows some engines. @param first,count the engines in the order of the constructor. */
    boost::asio::awaitable<void> setSlowdown(std::size_t first, std::size_t count, double factor);

    /** Adds up the preemptions and the stall time that the engines report. */
    boost::asio::awaitable<void> readTotals();

    /** Returns the preemptions that readTotals() found. */
    std::uint64_t preemptions() const;

    /** Returns the stall time that readTotals() found, in milliseconds. */
    std::uint64_t stallMilliseconds() const;

private:
    std::vector<Endpoint> engines;
    std::uint64_t preemptionTotal = 0;
    std::uint64_t stallTotal = 0;
};

} // namespace sassafrasyard
