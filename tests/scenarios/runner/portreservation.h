#pragma once

#include <cstdint>

namespace sassafrasyard {

/**
 * Reserves a TCP port of the loopback address for the lifetime of the object.
 *
 * It holds a bound UDP socket of the same number, so that several runners never choose the
 * same port while a process that is to listen on it is not running. The range lies below the
 * kernel's range for outgoing connections.
 */
class PortReservation
{
public:
    /** Reserves a free port. @throws ScenarioError ProcessFailed if none is free. */
    PortReservation();
    /** Releases the port. */
    ~PortReservation();
    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    /** Returns the port. */
    std::uint16_t port() const;

private:
    int descriptor = -1;
    std::uint16_t number = 0;
};

} // namespace sassafrasyard
