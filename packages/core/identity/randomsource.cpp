#include "core/identity/randomsource.h"

#include <cassert>
#include <cerrno>
#include <system_error>

#include <sys/random.h>

namespace sassafrasyard {

RandomSource::RandomSource(std::uint64_t seed)
    : state(seed)
{
}

RandomSource RandomSource::fromSystem()
{
    // std::random_device may use the CPU's generator, which a simulation can't replay.
    std::uint64_t seed = 0;
    ssize_t length = 0;
    do
        length = ::getrandom(&seed, sizeof seed, 0);
    while (length < 0 && errno == EINTR);
    if (length != sizeof seed)
        throw std::system_error(errno, std::generic_category(), "getrandom");
    return RandomSource(seed);
}

std::uint64_t RandomSource::next()
{
    this->state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t RandomSource::below(std::uint64_t limit)
{
    assert(limit > 0);
    return this->next() % limit;
}

double RandomSource::unit()
{
    return static_cast<double>(this->next() >> 11U) * 0x1.0p-53;
}

std::string RandomSource::nextHex()
{
    static constexpr char digits[] = "0123456789abcdef";
    std::uint64_t bits = this->next();
    std::string text(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[bits & 0xFU];
        bits >>= 4U;
    }
    return text;
}

} // namespace sassafrasyard
