#include "policy/quarantine/requestdigest.h"

#include "policy/placement/stablehash.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace sassafrasyard {

namespace {

/** Part of the digest, so that all hosts apply the same rule to a request. */
constexpr std::uint64_t sharedBit = 1ULL << 63U;
/** Set in digests of parts of prompts, which hosts exchange and store like those of requests. */
constexpr std::uint64_t partBit = 1ULL << 62U;

} // namespace

std::uint64_t makeRequestDigest(std::string_view account, std::string_view target,
                                std::string_view body)
{
    const std::uint64_t hash =
            combineHashes(stableHash(account), combineHashes(stableHash(target), stableHash(body)));
    const std::uint64_t digest = hash & ~partBit;
    return body.empty() ? digest | sharedBit : digest & ~sharedBit;
}

std::uint64_t makePartDigest(std::uint64_t part)
{
    return part | partBit;
}

bool isPartDigest(std::uint64_t digest)
{
    return (digest & partBit) != 0;
}

bool isSharedDigest(std::uint64_t requestDigest)
{
    return (requestDigest & sharedBit) != 0;
}

std::string digestText(std::uint64_t requestDigest)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, requestDigest);
    return text.data();
}

std::string digestListText(std::span<const std::uint64_t> digests)
{
    std::string text;
    for (const std::uint64_t digest : digests)
        text += (text.empty() ? "" : ",") + digestText(digest);
    return text;
}

} // namespace sassafrasyard
