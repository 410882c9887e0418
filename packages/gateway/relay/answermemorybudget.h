#pragma once

#include <cstddef>

namespace sassafrasyard {

/**
 * Bounds the memory of all answers that are held until they are complete.
 *
 * One endless answer is cut at its own limit; many at once would fill a small host before that.
 */
class AnswerMemoryBudget
{
public:
    /** The memory of all held answers, in bytes; a fifth of the smallest host's 88 MB. */
    static constexpr std::size_t defaultLimit = 16U << 20U;

    /** Creates an empty account. @param limit in bytes. */
    explicit AnswerMemoryBudget(std::size_t limit = defaultLimit)
        : limit(limit)
    {
    }

    /** Takes memory. @return false, with nothing taken, if it would exceed the limit. */
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > this->limit - this->reserved)
            return false;
        this->reserved += bytes;
        return true;
    }

    /** Gives memory back. @param bytes as taken. */
    void releaseBytes(std::size_t bytes) { this->reserved -= bytes; }

    /** Returns the memory that is taken, in bytes. */
    std::size_t reservedBytes() const { return this->reserved; }

private:
    std::size_t limit;
    std::size_t reserved = 0;
};

} // namespace sassafrasyard
