#include "policy/quarantine/requestdigest.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace sassafrasyard {

std::string digestText(std::uint64_t requestDigest)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, requestDigest);
    return text.data();
}

} // namespace sassafrasyard
