#pragma once

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** A small deterministic pseudo-random generator (SplitMix64); not for secrets. */
class RandomSource
{
public:
    /** Creates a generator. @param seed equal seeds give equal sequences. */
    explicit RandomSource(std::uint64_t seed);

    /**
     * Returns a generator seeded from the operating system.
     *
     * @throws std::system_error if getrandom() fails.
     */
    static RandomSource fromSystem();

    /** Returns the next 64 random bits. */
    std::uint64_t next();

    /** Returns a number from 0 to limit - 1. @param limit must be positive. */
    std::uint64_t below(std::uint64_t limit);

    /** Returns a number from 0 (included) to 1 (excluded). */
    double unit();

    /** Returns the next 64 random bits as 16 hexadecimal digits. */
    std::string nextHex();

private:
    std::uint64_t state;
};

} // namespace sassafrasyard
