#pragma once

#include "core/core.h"

#include <cstddef>

namespace sassafrasyard {

/** A token bucket that limits sent bytes per second; the largest burst is one second's bytes. */
class ByteBudget
{
public:
    /** Creates a full budget. @param bytesPerSecond must be positive. */
    explicit ByteBudget(double bytesPerSecond);

    /**
     * Takes the bytes of as many messages as the budget permits.
     *
     * @param requestedCount the number of messages to send.
     * @param messageBytes the size of each message in bytes.
     * @param now the steady time; must not decrease between calls.
     * @return the number of messages that may be sent now, at most requestedCount.
     */
    std::size_t take(std::size_t requestedCount, std::size_t messageBytes, Milliseconds now);

private:
    double bytesPerSecond;
    double availableBytes;
    Milliseconds refilledAt{0};
};

} // namespace sassafrasyard
