#pragma once

#include "core/core.h"

#include <cstddef>

namespace sassafrasyard {

/** Bounds the bytes that may be sent in a second, with a second's worth at once. */
class ByteBudget
{
public:
    /** Creates a full budget. @param bytesPerSecond must be
     * positive. */
    explicit ByteBudget(double bytesPerSecond);

    /**
     * Takes the bytes of some messages of one size from the budget.
     *
     * @param requestedCount how many messages are to be sent.
     * @return how many may be sent now, at most requestedCount.
     */
    std::size_t take(std::size_t requestedCount, std::size_t messageBytes, Milliseconds now);

private:
    double bytesPerSecond;
    double availableBytes;
    Milliseconds refilledAt{0};
};

} // namespace sassafrasyard
