#pragma once

#include <cstddef>

namespace sassafrasyard {

/**
 * Bounds the memory of all answers that are held until they are complete.
 *
 * Each answer has a limit of its own, but many endless answers at once would exhaust a small
 * host before they reach it.
 */
class AnswerMemoryBudget
{
public:
    /** The default limit in bytes; a fifth of the 88 MB of the smallest host. */
    static constexpr std::size_t defaultLimit = 16U << 20U;

    /** Creates an unused budget. @param limit in bytes. */
    explicit AnswerMemoryBudget(std::size_t limit = defaultLimit)
        : limit(limit)
    {
    }

    /** Reserves memory. @return false, with nothing reserved, if it would exceed the limit. */
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > this->limit - this->used)
            return false;
        this->used += bytes;
        return true;
    }

    /** Releases memory. @param bytes as reserved before. */
    void releaseBytes(std::size_t bytes) { this->used -= bytes; }

    /** Returns the memory in use, in bytes. */
    std::size_t usedBytes() const { return this->used; }

private:
    std::size_t limit;
    std::size_t used = 0;
};

} // namespace sassafrasyard
