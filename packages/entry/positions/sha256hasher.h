#pragma once

#include <array>
#include <memory>
#include <span>
#include <string_view>

namespace sassafrasyard {

/**
 * Computes SHA-256 digests with one reused context.
 *
 * OpenSSL's one-shot function looks the algorithm up at each call, which costs more than hashing a
 * token. Not safe for use from several threads at once.
 */
class Sha256Hasher
{
public:
    /** A digest. */
    using Digest = std::array<unsigned char, 32>;

    /** Sets up the context. */
    Sha256Hasher();
    ~Sha256Hasher();
    Sha256Hasher(const Sha256Hasher &) = delete;
    Sha256Hasher &operator=(const Sha256Hasher &) = delete;

    /** Returns the calling thread's hasher. */
    static Sha256Hasher &forCurrentThread();

    /** Returns the digest of the concatenation of the parts. */
    Digest digest(std::span<const std::string_view> parts);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
